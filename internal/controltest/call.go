package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/attempts"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// CallEnd is how a call ended for its caller.
type CallEnd uint8

// Ends of a call.
const (
	Answered        CallEnd = iota + 1 // the whole response of an endpoint
	FailureAnswered                    // an endpoint's own failure
	CallRefused                        // 503: not run
	CallRejected                       // 401 or 404
	BadGateway                         // 502
	GatewayTimeout                     // 504, or a stream that is cut at the deadline
	StreamCut                          // a stream without its end
	CallerLeft                         // the caller left first
	GatewayKilled                      // the gateway's process was killed
	CutAtStop                          // the gateway's process ended at the end of its grace period
)

// String returns the name of the end.
func (e CallEnd) String() string {
	return [...]string{"none", "answered", "failure answered", "refused", "rejected", "502", "504", "stream cut", "caller left", "gateway killed", "cut at stop"}[e]
}

// Call is a whole request of a caller that a gateway has read, with what became of it. The gateway handles it with the
// steps of package ingress, each as an event of its own, so that those of several calls interleave.
type Call struct {
	Request
	ID      fleet.RequestID
	Timeout time.Duration // that the caller gives
	LeaveAt time.Duration // after which the caller leaves; 0: it stays
	Events  int           // of the response, if the route is one of streams
	// Patience is the time after which the caller leaves if nothing has arrived; 0: it stays.
	Patience time.Duration

	ArrivedAt boottime.Instant
	EndedAt   boottime.Instant
	FirstAt   boottime.Instant // the first event, or the response, arrived at the gateway; 0: none did
	End       CallEnd          // 0: it has not ended
	Reason    control.Reason
	// RetryAfter belongs to a refusal.
	RetryAfter time.Duration
	Route      string
	Service    fleet.ServiceID
	Once       bool // it may run once at most
	Runs       int  // endpoints that began to run it
	BreakOffs  int  // endpoints that broke off or failed while they ran it
	Silenced   bool // an endpoint that ran it was silent
	AtWork     bool // an endpoint ran it when its gateway ended
}

// call is the state of a Call in its gateway.
type call struct {
	*Call
	n           *Node
	process     fleet.Incarnation
	admission   control.Admission
	deadline    boottime.Instant
	tried       []fleet.EndpointID
	givenUp     []fleet.EndpointID // endpoints of attempts given up for silence
	wentBack    bool               // the last attempt was at one of givenUp
	received    int                // events forwarded to the caller
	count       int                // attempts
	mayHaveRun  int                // attempts in which it may have run
	lastSent    bool
	lastResult  control.AttemptResult
	ownFailure  bool // an endpoint's own failure was received
	reserved    *control.Reservation
	attempt     *callAttempt
	onCallEnded func(*Call)
}

// Do sends a call to the gateway, whose process must run. It calls done when the call has ended.
func (n *Node) Do(c *Call, done func(*Call)) {
	c.ArrivedAt = n.World.Now()
	s := &call{Call: c, n: n, process: n.incarnation, onCallEnded: done}
	if n.calls == nil {
		n.calls = map[*call]bool{}
	}
	n.calls[s] = true
	s.step(s.admit)
	if c.LeaveAt > 0 {
		n.World.After(c.LeaveAt, func() { s.step(func() { s.abandon(CallerLeft) }) })
	}
	if c.Patience > 0 {
		n.World.After(c.Patience, func() {
			s.step(func() {
				if s.received == 0 {
					s.abandon(CallerLeft)
				}
			})
		})
	}
}

// step runs f in the gateway unless the call has ended, or the process that handles it.
func (c *call) step(f func()) {
	if c.End != 0 || c.n.incarnation != c.process {
		return
	}
	c.n.run(func() {
		if c.End == 0 && c.n.incarnation == c.process {
			f()
		}
	})
}

// refusedRetryAfter is the mean retry-after of a request that endpoints refused, as in package ingress.
const refusedRetryAfter = 250 * time.Millisecond

// stepDelay is the time between two steps of a call at a gateway with little processor time.
const stepDelay = 5 * time.Millisecond

// then runs f as the next step.
func (c *call) then(f func()) { c.n.World.After(stepDelay, func() { c.step(f) }) }

func (c *call) end(e CallEnd, r control.Reason) {
	if c.End != 0 {
		return
	}
	c.End, c.Reason, c.EndedAt = e, r, c.n.World.Now()
	if c.reserved != nil && c.n.State != nil {
		c.n.State.ReleaseRetry(c.n.World.Now(), c.reserved)
	}
	delete(c.n.calls, c)
	c.onCallEnded(c.Call)
}

func (c *call) admit() {
	w := c.n.World
	c.admission = c.n.State.Admit(w.Now(), control.AdmissionRequest{Host: c.Host, Path: c.Path, APIKey: c.Key, CallerTimeout: c.Timeout, Affinity: c.Affinity})
	switch c.admission.Reason {
	case control.ReasonNone:
	case control.ReasonNoRoute, control.ReasonUnauthenticated:
		c.end(CallRejected, c.admission.Reason)
		return
	default:
		c.RetryAfter = c.admission.RetryAfter
		c.end(CallRefused, c.admission.Reason)
		return
	}
	c.Route, c.Service, c.Once = c.admission.Route.Name, c.admission.Service, !c.admission.Route.Retryable()
	c.deadline = c.ArrivedAt.Add(c.admission.Timeout)
	w.After(c.admission.Timeout, func() { c.step(func() { c.abandon(GatewayTimeout) }) })
	c.then(c.awaitEvidence)
}

// awaitEvidence holds the call while its gateway has just started.
func (c *call) awaitEvidence() {
	if c.n.State.AwaitsEvidence(c.n.World.Now()) {
		c.then(c.awaitEvidence)
		return
	}
	c.place()
}

// abandon ends the call and its attempt before there is a result.
func (c *call) abandon(e CallEnd) {
	if c.attempt != nil {
		c.attempt.close(control.Cancelled)
	}
	if e == GatewayTimeout && c.ownFailure {
		e = FailureAnswered
	}
	c.end(e, control.ReasonNone)
}

func (c *call) placementRequest() control.PlacementRequest {
	route := c.admission.Route
	req := control.PlacementRequest{
		Service: c.admission.Service, Affinity: c.Affinity, Tried: c.tried, Workspace: c.admission.Workspace, Cost: c.Size,
		Goal: cost.Goal{Latency: route.GoalLatency, EventGap: route.GoalEventGap, Priority: c.admission.Priority},
	}
	req.Cost.Service, req.Cost.Route = c.admission.Service, route.Name
	if c.received > 0 {
		req.Stream = c.ID
	}
	return req
}

func (c *call) place() {
	p := c.n.State.Place(c.n.World.Now(), c.placementRequest())
	if p.Pending {
		c.then(c.place)
		return
	}
	if p.Reason != control.ReasonNone {
		c.RetryAfter = p.RetryAfter
		c.endAttempts(p.Reason)
		return
	}
	c.send(p.Attempt)
}

// attemptEnded goes on after an attempt without a complete response.
func (c *call) attemptEnded(maybeSent, mayHaveRun bool) {
	c.count++
	c.lastSent = maybeSent
	if mayHaveRun {
		c.mayHaveRun++
	}
	if c.wentBack && (maybeSent || c.lastResult != control.ConnectTimedOut) {
		c.givenUp = nil
	}
	c.wentBack = false
	c.then(c.retry)
}

// retry reserves and places the next attempt, or ends the call.
func (c *call) retry() {
	if c.reserved != nil {
		a := c.reserved.Attempt
		c.reserved = nil
		c.send(a)
		return
	}
	p := c.placeElsewhere()
	if p.Pending {
		c.then(c.retry)
		return
	}
	if p.Reason != control.ReasonNone && len(c.givenUp) > 0 {
		p = c.placeBack()
	}
	switch {
	case p.Reason == control.ReasonNone:
		c.send(p.Attempt)
	case len(c.givenUp) > 0 && !c.ownFailure:
		c.n.World.After(overdueCheckInterval, func() { c.step(c.retry) })
	default:
		c.RetryAfter = p.RetryAfter
		c.endAttempts(p.Reason)
	}
}

func (c *call) placeElsewhere() control.Placement {
	if r := attempts.RetryDenied(c.count, c.mayHaveRun, 0, c.admission.Route); r != control.ReasonNone {
		return control.Placement{Reason: r}
	}
	return c.placeWithBudget(c.placementRequest())
}

// placeBack places an attempt at an endpoint of which an attempt was given up for silence.
func (c *call) placeBack() control.Placement {
	req := c.placementRequest()
	req.Tried, req.Among = nil, c.givenUp
	p := c.placeWithBudget(req)
	c.wentBack = p.Reason == control.ReasonNone
	return p
}

func (c *call) placeWithBudget(req control.PlacementRequest) control.Placement {
	if !c.lastSent {
		return c.n.State.Place(c.n.World.Now(), req)
	}
	return c.n.State.PlaceRetry(c.n.World.Now(), req, c.lastResult)
}

// endAttempts ends a call for which no further attempt is made.
func (c *call) endAttempts(r control.Reason) {
	switch {
	case c.ownFailure:
		c.end(FailureAnswered, r)
	case c.mayHaveRun == 0:
		if c.RetryAfter == 0 {
			c.RetryAfter = c.n.State.RetryAfter(c.n.World.Now(), control.PlacementRequest{Service: c.Service}, refusedRetryAfter)
		}
		c.end(CallRefused, r)
	case c.received > 0:
		c.end(StreamCut, r)
	default:
		c.end(BadGateway, r)
	}
}
