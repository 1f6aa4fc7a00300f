package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/placement"
)

// phase is what a request waits for.
type phase uint8

const (
	phaseLimit   phase = iota + 1 // its workspace's limits
	phaseLease                    // an endpoint's owner
	phaseRedeem                   // the issuer of its ticket or the home of its key
	phaseAttempt                  // an endpoint's answer
	phaseBackoff                  // the time before the next attempt
	phaseEnding                   // the end of an attempt after the request was answered
)

// String returns the phase's name in dumps.
func (p phase) String() string {
	switch p {
	case phaseLimit:
		return "limits"
	case phaseLease:
		return "lease"
	case phaseRedeem:
		return "redemption"
	case phaseAttempt:
		return "attempt"
	case phaseBackoff:
		return "backoff"
	case phaseEnding:
		return "ending"
	default:
		return "new"
	}
}

const (
	maxAsks         = 4                      // owners asked for one attempt
	nearTimeout     = 100 * time.Millisecond // for the reply of an owner in this region
	farTimeout      = 300 * time.Millisecond // the same in another region
	leaseResends    = 1
	overloadRetry   = time.Second // when no owner said when to come back
	notReadyRetry   = time.Second
	maxResumes      = 4                    // of one stream
	minRemaining    = 5 * time.Millisecond // a deadline that is closer has passed
	queuedExtension = 200 * time.Millisecond
)

// request is one caller's request in progress.
type request struct {
	in       CallerRequest
	ws       fleet.Workspace
	plan     fleet.Plan
	started  time.Time
	deadline time.Time
	phase    phase
	wake     time.Time // of the current phase, zero: none
	finished bool      // the caller has its outcome
	gone     bool      // the caller went away

	place  placement.Plan
	asks   int
	room   []fleet.EndpointID // named by owners that refused
	retry  time.Duration      // shortest time that an owner named
	lease  holding
	waits  bool                 // the owner queued the request
	silent []fleet.DataCentreID // others than this one where an owner did not reply

	attempt uint32 // number of the last Dispatch
	tries   int    // attempts that may have reached an endpoint
	resumes int
	target  *fleet.Endpoint
	stream  string
	offset  uint64
	resumed bool // the next dispatch continues the stream
	ran     bool // an attempt broke off that may have run

	redeem redemption
	lent   bool // holds part of its workspace's limits
	trace  []Decision

	dispatched   time.Time // first attempt, zero: none
	hintUse      string    // for Explain
	passedLimits bool
	limited      bool // the limits had no room
}

func (c *Core) onCallerRequest(in CallerRequest) {
	if c.requests[in.ID] != nil {
		return // a process that repeats an ID is answered once
	}
	r := &request{in: in, started: c.now, deadline: c.deadlineOf(in)}
	r.redeem.needed = needsRedemption(&in)
	c.requests[in.ID] = r
	c.order = append(c.order, r)
	c.stats.Requests++
	if reason, after := c.accept(r); reason != ReasonNone {
		c.finish(r, NotRun, reason, after)
		return
	}
	c.note(r, "accepted", fmt.Sprintf("workspace %s, plan %s", r.ws.ID, r.plan.ID))
	if in.Resume != nil {
		c.resumeForCaller(r)
		return
	}
	c.seekRedemption(r)
}

func (c *Core) deadlineOf(in CallerRequest) time.Time {
	latest := c.now.Add(c.opts.MaxDeadline)
	if in.Deadline.IsZero() {
		return c.now.Add(min(c.opts.DefaultDeadline, c.opts.MaxDeadline))
	}
	if in.Deadline.After(latest) {
		return latest
	}
	return in.Deadline
}

// accept checks who calls, what the plan allows and whether this router takes work.
func (c *Core) accept(r *request) (Reason, time.Duration) {
	if !c.feed.Ready() {
		return ReasonNotReady, notReadyRetry
	}
	if len(c.requests) > c.opts.MaxRequests {
		return ReasonOverloaded, overloadRetry
	}
	var ok bool
	r.ws, r.plan, ok = c.view.WorkspaceByKey(r.in.KeyHash)
	if !ok {
		r.redeem.needed = false // keys and tickets are those of a workspace
		return ReasonUnauthenticated, 0
	}
	if !planAllows(r.plan, r.in.Model, r.in.Service) {
		return ReasonNotInPlan, 0
	}
	if r.deadline.Sub(c.now) < minRemaining {
		return ReasonDeadline, 0
	}
	c.plan(r)
	if r.place.Empty() && r.in.Resume == nil {
		return ReasonNoEndpoint, overloadRetry
	}
	return c.prepareRedemption(r), 0
}

func planAllows(p fleet.Plan, m fleet.ModelID, s fleet.ServiceID) bool {
	if m != "" {
		return slices.Contains(p.Models, m)
	}
	return slices.Contains(p.Services, s)
}

// poolsFor returns the pools that may serve a request: this region's first, then the others'.
func (c *Core) poolsFor(r *request) []fleet.Pool {
	home := c.view.Region(c.opts.DataCentre)
	pools := []fleet.Pool{{Region: home, Model: r.in.Model, Service: r.in.Service}}
	for _, region := range c.view.Regions() {
		if region != home {
			pools = append(pools, fleet.Pool{Region: region, Model: r.in.Model, Service: r.in.Service})
		}
	}
	return pools
}

// plan ranks the endpoints for a request.
func (c *Core) plan(r *request) {
	hinted, use := c.hinted(r)
	r.place = placement.NewPlan(c.view, c.poolsFor(r), r.in.Affinity, c.opts.DataCentre, hinted)
	r.hintUse = use
	if hinted != "" && r.place.Hinted() == nil {
		r.hintUse = fmt.Sprintf("not used: endpoint %s is not in service or not of the request's pools", hinted)
	}
}

// hinted returns the endpoint that a request's hint names and whether it is used, or why not.
func (c *Core) hinted(r *request) (id fleet.EndpointID, use string) {
	if r.in.Hint == "" {
		return "", "none given"
	}
	h, err := placement.ParseHint(r.in.Hint)
	if err != nil {
		return "", "not used: malformed"
	}
	if !h.Fresh(c.now) {
		return "", fmt.Sprintf("not used: older than %s", placement.HintTTL)
	}
	return h.Endpoint, fmt.Sprintf("used: endpoint %s first", h.Endpoint)
}

// finish answers the caller, once, and forgets the request unless an attempt still
// runs. A request that an earlier attempt, here or elsewhere, may have run does not end as NotRun.
func (c *Core) finish(r *request, o Outcome, why Reason, after time.Duration) {
	if o == NotRun && (r.ran || r.redeem.needed && !r.redeem.unused) {
		o = Unknown
	}
	if !r.finished {
		r.finished = true
		c.note(r, "finished", fmt.Sprintf("%s %s", o, why))
		c.countOutcome(o, why)
		c.logOutcome(r, o, why)
		c.do(Finish{ID: r.in.ID, Outcome: o, Reason: why, RetryAfter: after, Response: r.redeem.response})
		c.explained.add(c.explain(r, o, why))
	}
	if r.phase == phaseAttempt {
		r.phase = phaseEnding
		r.wake = time.Time{}
		return
	}
	c.settle(r, o)
	c.endLease(r, false)
	c.endLoan(r)
	r.phase = 0
	delete(c.requests, r.in.ID)
}

func (c *Core) logOutcome(r *request, o Outcome, why Reason) {
	switch o {
	case NotRun:
		c.logf(event.RequestRefused, "%s %s", r.in.ID, why)
	case Unknown:
		c.logf(event.RequestUnknown, "%s %s", r.in.ID, why)
	}
}

func (c *Core) onCallerGone(ev CallerGone) {
	r := c.requests[ev.ID]
	if r == nil || r.gone {
		return
	}
	r.gone = true
	if r.phase != phaseAttempt {
		c.finish(r, NotRun, ReasonCallerGone, 0)
		return
	}
	if r.target.Kind != fleet.Engine {
		return // the service's answer settles whether it ran
	}
	if r.in.Resumable {
		r.wake = c.now.Add(c.opts.ResumeGrace)
		return
	}
	c.cancel(r, ReasonCallerGone)
}

// cancel aborts the running attempt and answers the caller.
func (c *Core) cancel(r *request, why Reason) {
	c.do(CancelAttempt{
		ID:       r.in.ID,
		Attempt:  r.attempt,
		Endpoint: r.target.ID,
		Addr:     r.target.Addr,
		Stream:   r.stream,
		Kind:     r.target.Kind,
	})
	c.finish(r, Unknown, why, 0)
}

// tickRequests wakes the requests whose time has come.
func (c *Core) tickRequests() {
	kept := c.order[:0]
	for _, r := range c.order {
		if r.phase == 0 {
			continue
		}
		kept = append(kept, r)
	}
	clear(c.order[len(kept):])
	c.order = kept
	for _, r := range kept {
		c.tickRequest(r)
	}
}

func (c *Core) tickRequest(r *request) {
	if r.phase == phaseEnding || r.phase == 0 {
		return
	}
	if !c.now.Before(r.deadline) {
		c.onDeadline(r)
		return
	}
	if r.wake.IsZero() || c.now.Before(r.wake) {
		return
	}
	r.wake = time.Time{}
	switch r.phase {
	case phaseLease:
		c.onLeaseTimeout(r)
	case phaseAttempt:
		c.cancel(r, ReasonCallerGone)
	case phaseBackoff:
		c.afterBackoff(r)
	}
}

func (c *Core) onDeadline(r *request) {
	if r.phase == phaseAttempt {
		c.cancel(r, ReasonDeadline)
		return
	}
	c.finish(r, NotRun, ReasonDeadline, c.retryAfter(r))
}

func (c *Core) retryAfter(r *request) time.Duration {
	if r.retry > 0 {
		return r.retry
	}
	return overloadRetry
}
