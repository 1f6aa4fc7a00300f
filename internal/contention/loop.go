package contention

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// historyLength covers the longest delay and the longest slope at ticks of 40 ms.
const historyLength = 32

// loop is the control loop: it derives the share of requests to admit from the utilization.
//
// With the wait w in endpoint queues and the demand d in multiples of the capacity, dw/dt is
// share*d - 1. The share is therefore set to 1/d, the integral term, times a proportional term in
// the excess wait. Dividing by d makes the loop gain the same for all demands. The demand is not
// observed directly. Its estimate follows from the observed inflow, divided by the share that was
// in effect when the requests arrived. As the delay is unknown, the lowest and the highest share
// within the possible delays give bounds, and the estimate moves only if it is outside of them.
type loop struct {
	opts        *Options
	history     [historyLength]sample // ring, the newest at next-1
	next, count int

	valid       bool // the last utilization was usable
	updated     boottime.Instant
	utilization float64
	target      float64
	hold        time.Duration // service time used by the model
	demand      float64       // estimate, in multiples of the capacity
	inflow      float64       // as last observed, in multiples of the capacity
	share       float64       // to admit; 1 while not contended
	average     float64       // of the share, over the time for which requests run
	contended   bool
	since       boottime.Instant // beginning of the contention
	reduced     boottime.Instant // when the share was last below 1
}

type sample struct {
	at          boottime.Instant
	utilization float64
	share       float64 // in effect from then on
}

func (l *loop) at(age int) *sample {
	return &l.history[(l.next-1-age+2*historyLength)%historyLength]
}

// reset forgets everything; nothing is contended.
func (l *loop) reset() {
	*l = loop{opts: l.opts, target: 1, demand: 1, share: 1, average: 1}
}

// update sets the share for a new utilization.
func (l *loop) update(now boottime.Instant, load float64, slots int, serviceTime, wait time.Duration) {
	u := load / float64(slots)
	if slots <= 0 || math.IsNaN(u) || u < 0 || u > l.opts.MaxUtilization {
		l.reset()
		return
	}
	if l.count > 0 && now.Sub(l.updated) > l.opts.UpdateTimeout {
		l.reset()
	}
	elapsed := time.Duration(0)
	if l.count > 0 {
		elapsed = max(now.Sub(l.updated), 0)
	}
	l.hold, l.target = l.opts.UnknownHold, 1
	wait = max(wait, 0)
	if serviceTime > 0 {
		l.hold = min(max(serviceTime, l.opts.MinHold), l.opts.MaxHold)
		l.target = 1 + wait.Seconds()/l.hold.Seconds()
	}
	l.valid, l.updated, l.utilization = true, now, u
	l.history[l.next] = sample{at: now, utilization: u, share: l.share}
	l.next = (l.next + 1) % historyLength
	l.count = min(l.count+1, historyLength)
	l.estimateDemand(now, elapsed.Seconds(), slots)

	if !l.contended && u > l.target {
		l.contended, l.since, l.reduced, l.average = true, now, now, 1
	}
	if !l.contended {
		return
	}
	l.share = (1 - l.proportional(now)) / l.demand
	l.share = min(max(l.share, 0), 1)
	if l.share < 1 {
		l.reduced = now
	} else if now.Sub(l.reduced) >= l.opts.EndAfter {
		l.contended = false
	}
	l.at(0).share = l.share
}

// proportional returns the part by which the inflow is to be below the capacity. It depends on the excess wait
// that the utilization will show when it includes what was admitted within its age. The quadratic
// term stops the inflow while that does not drain within the longest delay, which cannot leave slots
// idle; near the target it is negligible.
func (l *loop) proportional(now boottime.Instant) float64 {
	excess := (l.utilization-l.target)*l.hold.Seconds() + l.unseen(now)
	p := excess / l.opts.DrainTime.Seconds()
	if excess <= 0 {
		return max(p, -l.opts.MaxRaise)
	}
	far := excess / l.opts.MaxDelay.Seconds()
	return min(p+far*far, 1)
}

// unseen returns the expected change of the wait, in seconds, by what was admitted and ended after the
// utilization was measured.
func (l *loop) unseen(now boottime.Instant) float64 {
	sum, end := 0.0, now
	for i := 1; i < l.count; i++ {
		s := l.at(i)
		from := max(s.at, now.Add(-l.opts.UsualDelay))
		sum += (max(s.share, l.opts.MinShare)*l.demand - 1) * end.Sub(from).Seconds()
		if end = s.at; from > s.at {
			break
		}
	}
	return max(sum, -max(l.utilization-1, 0)*l.hold.Seconds())
}

// estimateDemand updates the estimate of the demand from the observed inflow: the work that endpoints
// have done plus the growth of their queues.
func (l *loop) estimateDemand(now boottime.Instant, elapsed float64, slots int) {
	span := min(max(l.hold/2, l.opts.MinSlope), l.opts.MaxSlope)
	first := l.at(0)
	busy, n := 0.0, 0
	for i := range l.count {
		if s := l.at(i); now.Sub(s.at) <= span {
			first, busy, n = s, busy+min(s.utilization, 1), n+1
		}
	}
	if now.Sub(first.at) < span/2 || elapsed <= 0 {
		return
	}
	growth := l.hold.Seconds() * (l.utilization - first.utilization) / now.Sub(first.at).Seconds()
	inflow := max(busy/float64(n)+growth, 0)
	l.inflow = inflow

	low, high := l.sharesWithin(now, l.opts.MinDelay, l.opts.MaxDelay)
	bounded := min(max(l.demand, inflow/max(high, l.opts.MinShare)), inflow/max(low, l.opts.MinShare))
	// While little is admitted, the inflow is a small difference of large numbers.
	weight := min(1, max(inflow, high*l.demand))
	rate := weight * weight * l.significance(bounded/l.demand-1, slots, span)
	l.demand += (bounded - l.demand) * rate * min(1, elapsed/l.opts.DemandTime.Seconds())
	undrained := min(max((inflow-0.8)/0.2, 0), 1) // 0 while queues shrink fast
	if l.demand > 1 {
		l.demand -= (l.demand - 1) * min(1, elapsed*l.opts.LeakRate*undrained)
	}
	// Full queues at endpoints hide the demand: what they refuse does not raise the utilization.
	if over := min(l.utilization/l.target-1, 1); over > 0 {
		l.demand *= math.Exp(l.opts.IntegralRate * over * undrained * elapsed)
	}
	l.demand = min(max(l.demand, 1e-3), l.opts.MaxDemand)
}

// significance returns the rate at which a deviation of the inflow from the expected one is followed, 1 for a deviation that
// cannot be random. The standard deviation is that of the difference between the requests that
// arrive and those that end in the time, if both are random.
func (l *loop) significance(deviation float64, slots int, span time.Duration) float64 {
	variance := 2 * l.hold.Seconds() / (span.Seconds() * float64(slots))
	return min(max(deviation*deviation/(l.opts.Significant*l.opts.Significant*variance), l.opts.MinFollow), 1)
}

// sharesWithin returns the lowest and highest share that was in effect between the two ages.
func (l *loop) sharesWithin(now boottime.Instant, minAge, maxAge time.Duration) (low, high float64) {
	low, high = math.Inf(1), 0
	for i := range l.count {
		s := l.at(i)
		age := now.Sub(s.at)
		if age < minAge && i+1 < l.count {
			continue
		}
		low, high = min(low, s.share), max(high, s.share)
		if age > maxAge {
			break
		}
	}
	return low, high
}
