package contention

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// Reason is why a request is rejected.
type Reason uint8

// Reasons for a rejection.
const (
	ReasonNone     Reason = iota
	ReasonShare           // the workspace is above its share
	ReasonOrder           // more urgent requests take the room
	ReasonDeadline        // the request would start after its deadline or its caller's patience
)

// String returns the reason's stable name in logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonShare:
		return "share"
	case ReasonOrder:
		return "order"
	case ReasonDeadline:
		return "deadline"
	default:
		return "invalid"
	}
}

// Request holds the properties of a request that Admit evaluates.
type Request struct {
	WorkspacePriority    int // 0 is the most urgent
	RoutePriority        int // 0 is the most urgent
	HasWorkspacePriority bool
	Workspace            uint32        // low 32 bits of the hash of the workspace's ID
	TimeLeft             time.Duration // until the deadline; 0: there is none
	UsualTimeLimit       time.Duration // that the caller gives a first request; 0: not known
	Goal                 time.Duration // for the first event
	PauseGoal            time.Duration // between events; 0: not a stream
}

// Decision is the result of Admit.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // of a rejection
	Rank       int           // position among 1,000 recent requests of this gateway, 0 first; 0 without contention
	Reason     Reason        // of a rejection
	AboveShare bool          // the request waits behind those within their workspaces' shares of the same priority; false without queueing
}

// rankScale is the number of requests to which ranks are scaled.
const rankScale = 1000

// assessment is the place of a request in the order, and what follows from it under contention.
type assessment struct {
	observed observed
	rank     int
	chance   float64 // of admission; 1 or more: certain
	reason   Reason  // of a rejection
}

// Admit counts a request and decides whether it is admitted.
func (c *Controller) Admit(now boottime.Instant, r Request) Decision {
	c.sample.sequence++
	v := variate(c.seed, c.sample.sequence)
	c.countUsual(now, r.Workspace)
	aboveShare := c.aboveQueueShare(now, &r, v)
	if !c.contended(now) {
		c.sample.push(observed{at: now, key: c.key(&r, false), workspace: r.Workspace, weight: 1, variate: v, admitted: true})
		return Decision{Admitted: true, AboveShare: aboveShare}
	}
	c.sample.expire(now, &c.opts)
	a := c.assess(now, &c.sample, &r, v)
	d := Decision{Rank: a.rank, AboveShare: aboveShare}
	if a.reason == ReasonDeadline {
		d.Reason, d.RetryAfter = ReasonDeadline, c.retryAfter(now, &r)
		return d
	}
	d.Admitted = a.chance >= 1 || c.rng.Float64() < a.chance
	if !d.Admitted {
		d.Reason, d.RetryAfter = a.reason, c.retryAfter(now, &r)
	}
	a.observed.admitted = d.Admitted
	c.sample.push(a.observed)
	return d
}

// assess assesses a request among those of a sample without expired ones. It has no effects.
func (c *Controller) assess(now boottime.Instant, sample *requestSample, r *Request, variate float32) assessment {
	o := observed{at: now, workspace: r.Workspace, variate: variate, preferred: c.mayPrefer(sample, r)}
	o.key = c.markShare(c.key(r, o.preferred), c.shares.within(o.workspace), o.variate)
	o.weight = c.shares.weight(o.workspace)
	var before, same, notLater float32
	total := o.weight
	for i := range sample.len {
		e := sample.at(i)
		total += e.weight
		if e.key < o.key {
			before += e.weight
		} else if e.key == o.key {
			same += e.weight
		}
		if e.key>>levelShift <= o.key>>levelShift {
			notLater += e.weight
		}
	}
	own := o.weight // of the request and, in a small sample, of its assumed equals
	if missing := float32(c.opts.MinSample) - total; missing > 0 {
		own, total = own+missing, total+missing
	}
	a := assessment{observed: o, rank: min(int(before/total*rankScale), rankScale-1), reason: ReasonOrder}
	if c.startsTooLate(r, float64((notLater+own)/total)) {
		a.reason = ReasonDeadline
		return a
	}
	if o.key&aboveBit != 0 {
		a.reason = ReasonShare
	}
	a.chance = (c.loop.share*float64(total) - float64(before)) / float64(same+own)
	a.chance = max(a.chance, c.opts.MinShare)
	return a
}

// key returns the position of a request in the order, without regard to its workspace's share.
func (c *Controller) key(r *Request, preferred bool) uint32 {
	key := level(r) << levelShift
	left := r.TimeLeft
	if !preferred {
		key |= newBit
		// A returning caller has less time left than a new one. Beyond its bounded precedence
		// it is ordered by the limit of its first request, or the order by time left would prefer it.
		if c.returning(r) {
			left = r.UsualTimeLimit
		}
	}
	if left == 0 {
		return key | maxTime
	}
	steps := max(left+c.opts.TimeStep/2, 0) / c.opts.TimeStep
	return key | uint32(min(steps, maxTime))
}

func (c *Controller) returning(r *Request) bool {
	return r.TimeLeft != 0 && float64(r.TimeLeft) < c.opts.ReturningBelow*float64(r.UsualTimeLimit)
}

// mayPrefer reports whether a request comes from a returning caller that precedes new ones: those that did are less than the
// allowed part of the recently admitted requests of their level.
func (c *Controller) mayPrefer(sample *requestSample, r *Request) bool {
	if !c.returning(r) {
		return false
	}
	admitted, preferred := 0, 0
	for i := range sample.len {
		if o := sample.at(i); o.admitted && o.key>>levelShift == level(r) {
			admitted++
			if o.preferred {
				preferred++
			}
		}
	}
	return float64(preferred+1) <= c.opts.ReturningFraction*float64(admitted+1)
}

// startsTooLate reports whether a request would start after its deadline or its caller's patience.
// Endpoints serve urgent requests first, so only the given part of the queues, that of the
// requests that are not less urgent, is before it.
func (c *Controller) startsTooLate(r *Request, part float64) bool {
	wait := time.Duration(max(c.loop.utilization-1, 0) * part * float64(c.loop.hold))
	return wait > c.opts.Patience(r.Goal, r.PauseGoal) || r.TimeLeft != 0 && wait > r.TimeLeft
}

// retryAfter returns the time in which the excess that has been turned away drains, with jitter.
func (c *Controller) retryAfter(now boottime.Instant, r *Request) time.Duration {
	low, high := c.retryAfterBounds(now, r)
	return time.Duration(low + c.rng.Float64()*(high-low))
}

// retryAfterBounds returns the bounds of the jittered Retry-After, in nanoseconds.
// The jitter stays between the bounds and below the part of the time left, since a value that many callers
// are cut to would bring them back at the same time.
func (c *Controller) retryAfterBounds(now boottime.Instant, r *Request) (low, high float64) {
	mean := (1/max(c.loop.share, c.opts.MinShare) - 1) * float64(now.Sub(c.loop.since))
	mean = min(max(mean, float64(c.opts.MinRetryAfter)), float64(c.opts.MaxRetryAfter))
	low = max(mean/2, float64(c.opts.MinRetryAfter))
	high = min(mean*3/2, float64(c.opts.MaxRetryAfter))
	if r.TimeLeft != 0 {
		high = min(high, c.opts.RetryTimeShare*float64(max(r.TimeLeft, 0)))
		if low > high {
			low = high / 2
		}
	}
	return low, high
}
