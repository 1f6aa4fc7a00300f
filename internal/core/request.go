package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/placement"
)

// phase is what a request is waiting for.
type phase uint8

const (
	phaseLimit   phase = iota + 1 // quota of its workspace
	phaseLease                    // a lease from an endpoint's owner
	phaseRedeem                   // the execution right for its ticket or key
	phaseAttempt                  // an endpoint's answer
	phaseBackoff                  // the delay before the next attempt
	phaseEnding                   // the end of an attempt whose caller is already answered
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
	maxOwnersAsked          = 4                      // lease owners asked per attempt
	sameRegionLeaseTimeout  = 100 * time.Millisecond // reply timeout of lease owners
	otherRegionLeaseTimeout = 300 * time.Millisecond // the same, with higher network latency
	maxLeaseResends         = 1
	overloadRetryAfter      = time.Second // used if no owner returned a retry-after
	notReadyRetryAfter      = time.Second
	maxStreamResumes        = 4                      // per stream
	minRemainingTime        = 5 * time.Millisecond   // a request with less time left is past its deadline
	queuedReplyMargin       = 200 * time.Millisecond // added to the queue wait before the owner counts as unresponsive
)

// request is one caller's request in progress.
type request struct {
	in         CallerRequest
	workspace  fleet.Workspace
	plan       fleet.Plan
	startedAt  time.Time
	deadline   time.Time
	phase      phase
	wakeAt     time.Time // timeout of the current phase; zero: none
	finished   bool      // Finish was returned
	callerGone bool      // the caller disconnected

	placement       placement.Plan
	ownersAsked     int
	suggested       []fleet.EndpointID // least loaded endpoints, as named by owners that refused
	retryAfter      time.Duration      // shortest retry-after of an owner
	lease           leaseState
	askedToQueue    bool                 // an owner was asked to queue the request
	unresponsiveDCs []fleet.DataCentreID // other data centres where an owner did not reply

	attempt    uint32 // number of the last Dispatch
	tries      int    // attempts that may have reached an endpoint
	resumes    int
	target     *fleet.Endpoint
	stream     string
	offset     uint64
	resuming   bool // the current or next dispatch continues the stream
	mayHaveRun bool // an attempt may have run

	redeem     redemption
	holdsQuota bool // holds quota of its workspace
	trace      []TraceStep

	dispatchedAt  time.Time // first attempt; zero: none
	hintUse       string    // whether and why the hint was used, for Explain
	limitsGranted bool
	limitsRefused bool // the request was over the limits
}

func (c *Core) onCallerRequest(in CallerRequest) {
	if c.requests[in.ID] != nil {
		return // duplicate request ID
	}
	r := &request{in: in, startedAt: c.now, deadline: c.deadlineOf(in)}
	r.redeem.needed = needsRedemption(&in)
	c.requests[in.ID] = r
	c.byArrival = append(c.byArrival, r)
	c.stats.Requests++
	if reason, retryAfter := c.accept(r); reason != ReasonNone {
		c.finish(r, NotRun, reason, retryAfter)
		return
	}
	c.addTraceStep(r, "accepted", fmt.Sprintf("workspace %s, plan %s", r.workspace.ID, r.plan.ID))
	if in.Resume != nil {
		c.resumeForCaller(r)
		return
	}
	c.acquireRedemption(r)
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

// accept checks the router's readiness and load, the caller's key and plan, and the deadline.
func (c *Core) accept(r *request) (Reason, time.Duration) {
	if !c.feed.Ready() {
		return ReasonNotReady, notReadyRetryAfter
	}
	if len(c.requests) > c.opts.MaxRequests {
		return ReasonOverloaded, overloadRetryAfter
	}
	var ok bool
	r.workspace, r.plan, ok = c.view.WorkspaceByKey(r.in.APIKeyHash)
	if !ok {
		r.redeem.needed = false // tickets and keys belong to a workspace
		return ReasonUnauthenticated, 0
	}
	if !planAllows(r.plan, r.in.Model, r.in.Service) {
		return ReasonNotInPlan, 0
	}
	if r.deadline.Sub(c.now) < minRemainingTime {
		return ReasonDeadline, 0
	}
	c.planPlacement(r)
	if r.placement.Empty() && r.in.Resume == nil {
		return ReasonNoEndpoint, overloadRetryAfter
	}
	return c.prepareRedemption(r), 0
}

func planAllows(p fleet.Plan, m fleet.ModelID, s fleet.ServiceID) bool {
	if m != "" {
		return slices.Contains(p.Models, m)
	}
	return slices.Contains(p.Services, s)
}

// poolsFor returns the pools that may serve a request, this region's pool first.
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

// planPlacement ranks the endpoints for a request.
func (c *Core) planPlacement(r *request) {
	hinted, hintUse := c.hintedEndpoint(r)
	r.placement = placement.NewPlan(c.view, c.poolsFor(r), r.in.Affinity, c.opts.DataCentre, hinted)
	r.hintUse = hintUse
	if hinted != "" && r.placement.Hinted() == nil {
		r.hintUse = fmt.Sprintf("not used: endpoint %s is not in service or not of the request's pools", hinted)
	}
}

// hintedEndpoint returns the endpoint that a request's hint names, and why the hint is used or not.
func (c *Core) hintedEndpoint(r *request) (id fleet.EndpointID, hintUse string) {
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

// finish answers the caller, at most once, and removes the request unless an attempt is
// still running. The outcome is never NotRun if an earlier attempt, through this or
// another router, may have run.
func (c *Core) finish(r *request, o Outcome, reason Reason, retryAfter time.Duration) {
	if o == NotRun && (r.mayHaveRun || r.redeem.needed && !r.redeem.notRun) {
		o = Unknown
	}
	if !r.finished {
		r.finished = true
		c.addTraceStep(r, "finished", fmt.Sprintf("%s %s", o, reason))
		c.countOutcome(o, reason)
		c.logOutcome(r, o, reason)
		c.emit(Finish{ID: r.in.ID, Outcome: o, Reason: reason, RetryAfter: retryAfter, Response: r.redeem.priorResponse})
		c.explanations.add(c.explain(r, o, reason))
	}
	if r.phase == phaseAttempt {
		r.phase = phaseEnding
		r.wakeAt = time.Time{}
		return
	}
	c.settleRedemption(r, o)
	c.releaseLease(r, false)
	c.releaseQuota(r)
	r.phase = 0
	delete(c.requests, r.in.ID)
}

func (c *Core) logOutcome(r *request, o Outcome, reason Reason) {
	switch o {
	case NotRun:
		c.logf(event.RequestRefused, "%s %s", r.in.ID, reason)
	case Unknown:
		c.logf(event.RequestUnknown, "%s %s", r.in.ID, reason)
	}
}

func (c *Core) onCallerGone(ev CallerGone) {
	r := c.requests[ev.ID]
	if r == nil || r.callerGone {
		return
	}
	r.callerGone = true
	if r.phase != phaseAttempt {
		c.finish(r, NotRun, ReasonCallerGone, 0)
		return
	}
	if r.target.Kind != fleet.Engine {
		return // the service's answer determines whether the request ran
	}
	if r.in.Resumable {
		r.wakeAt = c.now.Add(c.opts.ResumeGrace)
		return
	}
	c.cancel(r, ReasonCallerGone)
}

// cancel aborts the running attempt and answers the caller with Unknown.
func (c *Core) cancel(r *request, reason Reason) {
	c.emit(CancelAttempt{
		ID:       r.in.ID,
		Attempt:  r.attempt,
		Endpoint: r.target.ID,
		Addr:     r.target.Addr,
		Stream:   r.stream,
		Kind:     r.target.Kind,
	})
	c.finish(r, Unknown, reason, 0)
}

// tickRequests handles the deadlines and timeouts of all requests.
func (c *Core) tickRequests() {
	kept := c.byArrival[:0]
	for _, r := range c.byArrival {
		if r.phase == 0 {
			continue
		}
		kept = append(kept, r)
	}
	clear(c.byArrival[len(kept):])
	c.byArrival = kept
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
	if r.wakeAt.IsZero() || c.now.Before(r.wakeAt) {
		return
	}
	r.wakeAt = time.Time{}
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
	c.finish(r, NotRun, ReasonDeadline, c.retryAfterFor(r))
}

func (c *Core) retryAfterFor(r *request) time.Duration {
	if r.retryAfter > 0 {
		return r.retryAfter
	}
	return overloadRetryAfter
}
