package core

import (
	"fmt"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/placement"
	"github.com/dandelionvane/dandelionvane/internal/retry"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// minAttemptTime is the minimum time that must be left until the deadline when a retry starts.
const minAttemptTime = 50 * time.Millisecond

// dispatch sends the request to the endpoint of its lease as a new attempt.
func (c *Core) dispatch(r *request) {
	l := &r.lease
	if r.leasedAttempts == 0 {
		c.budget.FirstAttempt(r.workspace.ID, l.endpoint.ID)
	}
	r.leasedAttempts++
	l.dispatched = true
	r.target = l.endpoint
	r.stream = streamName(r)
	r.resuming = false
	c.sendAttempt(r, l.notAfter)
}

// streamName returns a stream ID per attempt, so that a retry at the same engine is a new stream.
func streamName(r *request) string { return fmt.Sprintf("%s-%d", r.in.ID, r.leasedAttempts) }

// resumeStream continues the stream of an interrupted attempt at the same engine.
func (c *Core) resumeStream(r *request) {
	r.resuming = true
	c.log(event.StreamResumed, string(r.in.ID))
	c.sendAttempt(r, r.deadline)
}

// resumeForCaller continues an interrupted stream through this router at the caller's
// request. No lease is requested, because the stream already runs at the engine.
func (c *Core) resumeForCaller(r *request) {
	at := r.in.Resume
	e := c.view.Endpoint(at.Endpoint)
	if e == nil || e.Kind != fleet.Engine || e.Model != r.in.Model {
		c.finish(r, Unknown, ReasonStreamLost, 0)
		return
	}
	r.target = e
	r.stream = at.Stream
	r.offset = at.Offset
	r.mayHaveRun = true
	c.resumeStream(r)
}

func (c *Core) sendAttempt(r *request, notAfter time.Time) {
	r.lastAttempt++
	r.phase = phaseAttempt
	r.wakeAt = time.Time{}
	if r.deadline.Before(notAfter) {
		notAfter = r.deadline
	}
	if r.redeem.granted && r.redeem.runBefore.Before(notAfter) {
		notAfter = r.redeem.runBefore
	}
	c.stats.Attempts++
	if r.dispatchedAt.IsZero() {
		r.dispatchedAt = c.now
	}
	c.addTraceStep(r, "dispatch", fmt.Sprintf("attempt %d, endpoint %s, offset %d", r.lastAttempt, r.target.ID, r.offset))
	c.emit(Dispatch{
		ID:           r.in.ID,
		Attempt:      r.lastAttempt,
		Endpoint:     r.target.ID,
		Addr:         r.target.Addr,
		Kind:         r.target.Kind,
		Workspace:    r.workspace.ID,
		Priority:     r.plan.Priority,
		NotAfter:     notAfter,
		Deadline:     r.deadline,
		Stream:       r.stream,
		Resume:       r.resuming,
		Offset:       r.offset,
		Hint:         c.hintFor(r),
		KeepResponse: r.redeem.needed,
	})
}

func (c *Core) hintFor(r *request) string {
	if r.target.Kind != fleet.Engine {
		return ""
	}
	return placement.Hint{Endpoint: r.target.ID, Incarnation: r.lease.incarnation, Issued: c.now.Unix()}.Format()
}

// runningAttempt returns the request if the given attempt is its current one, else nil.
func (c *Core) runningAttempt(id fleet.RequestID, attempt uint32) *request {
	r := c.requests[id]
	if r == nil || r.lastAttempt != attempt || (r.phase != phaseAttempt && r.phase != phaseEnding) {
		return nil
	}
	return r
}

func (c *Core) onAttemptStarted(ev AttemptStarted) {
	r := c.runningAttempt(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	c.addTraceStep(r, "started", string(r.target.ID))
	if ev.Incarnation != 0 && ev.Incarnation != r.lease.incarnation && r.lease.id != 0 {
		u := c.leaseUpdateFor(r.lease.owner)
		u.Observed = append(u.Observed, wire.ObservedIncarnation{Endpoint: r.target.ID, Incarnation: ev.Incarnation})
	}
}

func (c *Core) onAttemptDone(ev AttemptDone) {
	r := c.runningAttempt(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	c.stats.Tokens += uint64(max(0, ev.Tokens))
	c.stats.CachedTokens += uint64(max(0, ev.CachedTokens))
	c.stats.PromptTokens += uint64(max(0, r.in.PromptTokens))
	if r.redeem.needed {
		r.redeem.newResponse = ev.Response
	}
	r.phase = 0
	r.mayHaveRun = true
	c.finish(r, Answered, ReasonNone, 0)
}

func (c *Core) onAttemptNotSent(ev AttemptNotSent) {
	r := c.runningAttempt(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	c.addTraceStep(r, "not sent", fmt.Sprintf("endpoint %s, %s", r.target.ID, causeNames[ev.Cause]))
	if r.phase == phaseEnding || r.callerGone {
		c.endAttempt(r, false)
		return
	}
	if r.resuming {
		c.resumeOrRetry(r, false)
		return
	}
	r.lease.dispatched = ev.Cause != CauseLeaseExpired
	c.releaseLease(r, r.lease.dispatched)
	if ev.RetryAfter > 0 {
		r.retryAfter = ev.RetryAfter
	}
	if r.redeem.granted && !c.now.Before(r.redeem.runBefore) {
		r.phase = 0
		c.finish(r, NotRun, ReasonDeadline, c.retryAfterFor(r))
		return
	}
	if ev.Cause == CauseLeaseExpired {
		r.leasedAttempts--
		c.planPlacement(r)
		r.ownersAsked = 0
		c.acquireLease(r)
		return
	}
	c.retryOrFinish(r, NotRun, ReasonEndpointFailed)
}

func (c *Core) onAttemptLost(ev AttemptLost) {
	r := c.runningAttempt(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	r.mayHaveRun = true
	r.offset = max(r.offset, ev.Offset)
	c.addTraceStep(r, "lost", fmt.Sprintf("endpoint %s, %s, offset %d", r.target.ID, causeNames[ev.Cause], r.offset))
	if r.phase == phaseEnding || r.callerGone {
		c.endAttempt(r, ev.Cause != CauseCancelled)
		return
	}
	if r.target.Kind == fleet.Engine {
		c.resumeOrRetry(r, ev.StreamGone)
		return
	}
	c.releaseLease(r, true)
	if !r.in.Idempotent || r.offset > 0 {
		r.phase = 0
		c.finish(r, Unknown, ReasonEndpointFailed, 0)
		return
	}
	c.retryOrFinish(r, Unknown, ReasonEndpointFailed)
}

// endAttempt removes a request whose attempt ended after Finish was returned or the caller
// disconnected.
func (c *Core) endAttempt(r *request, failed bool) {
	r.phase = 0
	c.releaseLease(r, failed)
	c.finish(r, NotRun, ReasonCallerGone, 0)
}

// resumeOrRetry resumes an interrupted stream at its engine. If the engine does not have the
// stream or maxStreamResumes is reached, the request is retried with a new lease, or finished if
// the caller has already received part of the response.
func (c *Core) resumeOrRetry(r *request, streamGone bool) {
	if !streamGone && r.resumes < maxStreamResumes {
		r.resumes++
		r.resuming = true
		c.scheduleBackoff(r, r.resumes)
		return
	}
	c.releaseLease(r, true)
	if r.offset > 0 || r.in.Resume != nil {
		r.phase = 0
		c.finish(r, Unknown, ReasonStreamLost, 0)
		return
	}
	r.resuming = false
	c.retryOrFinish(r, Unknown, ReasonEndpointFailed)
}

// retryOrFinish schedules another attempt if the retry budgets and the deadline allow it,
// and finishes the request otherwise.
func (c *Core) retryOrFinish(r *request, o Outcome, reason Reason) {
	r.phase = phaseBackoff
	delay := c.backoff.Delay(c.rng, r.leasedAttempts)
	if !retry.FitsDeadline(c.now, r.deadline, delay, minAttemptTime) {
		c.finish(r, o, reason, c.retryAfterFor(r))
		return
	}
	if v := c.budget.AllowRetry(r.workspace.ID, r.target.ID); v != retry.Allowed {
		c.counts.retriesDenied.add(v)
		c.addTraceStep(r, "no retry", v.String())
		c.finish(r, o, reason, c.retryAfterFor(r))
		return
	}
	c.stats.Retries++
	c.log(event.AttemptRetried, string(r.in.ID))
	r.wakeAt = c.now.Add(delay)
	r.ownersAsked = 0
}

func (c *Core) scheduleBackoff(r *request, n int) {
	r.phase = phaseBackoff
	r.wakeAt = c.now.Add(c.backoff.Delay(c.rng, n))
}

func (c *Core) afterBackoff(r *request) {
	if r.resuming {
		c.resumeStream(r)
		return
	}
	c.acquireLease(r)
}

var causeNames = [...]string{
	CauseLeaseExpired: "lease expired",
	CauseConnect:      "no connection",
	CauseRefused:      "refused by the endpoint",
	CauseReset:        "connection broke",
	CauseNoProgress:   "no progress",
	CauseProtocol:     "answer not understood",
	CauseCancelled:    "cancelled",
}
