package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
)

// tally counts what became of requests.
type tally struct{ all, inTime, late, refused, failed, left int }

func (a tally) String() string {
	return fmt.Sprintf("%d: %.1f%% in time, %d late, %d refused, %d failed, %d left", a.all, 100*a.shareInTime(), a.late, a.refused, a.failed, a.left)
}

func (a tally) shareInTime() float64   { return float64(a.inTime) / float64(max(a.all, 1)) }
func (a tally) shareAnswered() float64 { return float64(a.inTime+a.late) / float64(max(a.all, 1)) }

// add counts a request. An answer is in time if its first event, or the response, came within the goal of the first call.
func (a *tally) add(p *play, r *callerRequest) {
	a.all++
	if len(r.calls) == 0 {
		a.failed++
		return
	}
	last := r.calls[len(r.calls)-1]
	switch last.End {
	case controltest.Answered:
		if last.FirstAt.Sub(p.startInstant())-r.at <= playKinds[r.kind].route.GoalLatency {
			a.inTime++
		} else {
			a.late++
		}
	case controltest.CallRefused:
		a.refused++
	case controltest.CallerLeft:
		a.left++
	default:
		a.failed++
	}
}

// tallyOf counts the requests first sent from and until a time for which include returns true; nil: all.
func (p *play) tallyOf(from, until time.Duration, include func(*callerRequest) bool) tally {
	var a tally
	for _, r := range p.requests {
		if r.at >= from && r.at < until && (include == nil || include(r)) {
			a.add(p, r)
		}
	}
	return a
}

func (p *play) kindTally(k int, from, until time.Duration) tally {
	return p.tallyOf(from, until, func(r *callerRequest) bool { return r.kind == k })
}

// logOutcomes logs the outcomes by kind and phase.
func (p *play) logOutcomes() {
	for k := range playKinds {
		p.t.Logf("%-5s before %v | overload %v | recovery %v | after %v", playKinds[k].route.Name, p.kindTally(k, warmupTime, overloadAt),
			p.kindTally(k, overloadAt, overloadEnd), p.kindTally(k, overloadEnd, overloadEnd+recoveryTime), p.kindTally(k, overloadEnd+recoveryTime, arrivalsEnd))
	}
	reasons := map[control.Reason]int{}
	for _, r := range p.requests {
		for _, c := range r.calls {
			if c.End == controltest.CallRefused {
				reasons[c.Reason]++
			}
		}
	}
	p.t.Logf("%d requests, refusals %v, targets %v, %d of %d attempts above the load bound", len(p.requests), reasons, p.targets, p.over, p.attempts)
}

// checkAlways checks what holds under every load.
func (p *play) checkAlways(t *testing.T) {
	t.Helper()
	tooLong, open := 0, 0
	for _, r := range p.requests {
		if r.badRetryAfter != "" {
			if tooLong++; tooLong <= 3 {
				t.Errorf("%s at %v: %s", playKinds[r.kind].route.Name, r.at, r.badRetryAfter)
			}
		}
		for _, c := range r.calls {
			if c.End == 0 {
				open++
			}
			if c.End == controltest.CallRefused && c.Runs > 0 || c.Once && c.Runs > 1 {
				t.Errorf("%s: %v after %d runs", c.ID, c.End, c.Runs)
			}
		}
	}
	if tooLong > 0 {
		t.Errorf("%d Retry-Afters above a third of the time left", tooLong)
	}
	if open > 0 {
		t.Errorf("%d calls without an outcome", open)
	}
}

// checkRefusals checks that no request is refused for contention while the utilization is below its target.
func (p *play) checkRefusals(t *testing.T) {
	t.Helper()
	if len(p.tooEarly) > 0 {
		t.Errorf("%v of %d refusals for contention came when the utilization had been below its target %v for %v", p.tooEarly, p.refusals, p.targets, propagationTime)
	}
}

// sameShare is the difference of shares that is taken for none.
const sameShare = 0.02

// checkOrder checks that during the overload the share in time does not rise with lower urgency within a service.
func (p *play) checkOrder(t *testing.T) {
	t.Helper()
	for k := 1; k < len(playKinds); k++ {
		urgent, other := &playKinds[k-1].route, &playKinds[k].route
		if urgent.Targets[0].Service != other.Targets[0].Service {
			continue
		}
		a, b := p.kindTally(k-1, overloadAt, overloadEnd), p.kindTally(k, overloadAt, overloadEnd)
		if b.shareInTime() > a.shareInTime()+sameShare {
			t.Errorf("%s in time %.3f, the less urgent %s %.3f", urgent.Name, a.shareInTime(), other.Name, b.shareInTime())
		}
	}
}

// checkRecovery checks that recoveryTime after the overload requests are answered in time as before it.
func (p *play) checkRecovery(t *testing.T) {
	t.Helper()
	for k := range playKinds {
		before, after := p.kindTally(k, warmupTime, overloadAt), p.kindTally(k, overloadEnd+recoveryTime, arrivalsEnd)
		if after.shareInTime() < before.shareInTime()-sameShare {
			t.Errorf("%s in time %.3f after the overload, %.3f before", playKinds[k].route.Name, after.shareInTime(), before.shareInTime())
		}
	}
}

// checkReturns checks that requests of the overload whose callers return after it are served.
func (p *play) checkReturns(t *testing.T) {
	t.Helper()
	returned, unserved := 0, 0
	for _, r := range p.requests {
		if len(r.calls) != 2 || r.calls[0].End != controltest.CallRefused || !during(r.at) || r.calls[1].ArrivedAt.Sub(p.startInstant()) < overloadEnd {
			continue
		}
		if returned++; r.calls[1].End != controltest.Answered {
			unserved++
		}
	}
	if unserved > 0 {
		t.Errorf("%d of %d requests that returned after the overload were not served", unserved, returned)
	}
}

// checkNoneFailed checks that no request ended without an answer or a refusal.
func (p *play) checkNoneFailed(t *testing.T) {
	t.Helper()
	if a := p.tallyOf(warmupTime, arrivalsEnd, nil); a.failed+a.left > 0 {
		t.Errorf("requests without an answer or a refusal: %v", a)
	}
}

// checkSpread checks the load bound of every endpoint, and that each gets requests: with the share of exceptions that
// TestLoadBound allows, for loads that are not reported yet.
func (p *play) checkSpread(t *testing.T) {
	t.Helper()
	if 100*p.over > 3*p.attempts {
		t.Errorf("%d of %d attempts at endpoints above twice the mean load plus three, want at most 3%%", p.over, p.attempts)
	}
	ticks := float64(arrivalsEnd / (20 * time.Millisecond))
	for id, e := range p.w.Endpoints {
		mean, n := 0.0, 0.0
		for other, o := range p.w.Endpoints {
			if o.Service == e.Service {
				mean, n = mean+float64(p.samples[other])/ticks, n+1
			}
		}
		if own := float64(p.samples[id]) / ticks; p.arrivals[id] == 0 || own > 2*mean/n+3 {
			t.Errorf("%s got %d attempts and had a mean load of %.1f, the mean is %.1f", id, p.arrivals[id], own, mean/n)
		}
	}
}
