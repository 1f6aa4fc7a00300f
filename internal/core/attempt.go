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

// expectedAttempt is the time that a retry needs at the least to be worth making.
const expectedAttempt = 50 * time.Millisecond

// dispatch sends the request to the endpoint of its lease.
func (c *Core) dispatch(r *request) {
	l := &r.lease
	if r.tries == 0 {
		c.budget.FirstAttempt(r.ws.ID, l.endpoint.ID)
	}
	r.tries++
	l.used = true
	r.target = l.endpoint
	r.stream = streamName(r)
	r.resumed = false
	c.send(r, l.notAfter)
}

// streamName names the stream of one attempt, so that a retry at the same engine is a new stream.
func streamName(r *request) string { return fmt.Sprintf("%s-%d", r.in.ID, r.tries) }

// resume continues the stream of a broken attempt at the same engine.
func (c *Core) resume(r *request) {
	r.resumed = true
	c.log(event.StreamResumed, string(r.in.ID))
	c.send(r, r.deadline)
}

// resumeForCaller continues a stream that the caller lost, through this router. The
// engine still runs it, so no new lease is needed.
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
	r.ran = true
	c.resume(r)
}

func (c *Core) send(r *request, notAfter time.Time) {
	r.attempt++
	r.phase = phaseAttempt
	r.wake = time.Time{}
	if r.deadline.Before(notAfter) {
		notAfter = r.deadline
	}
	if r.redeem.have && r.redeem.runBefore.Before(notAfter) {
		notAfter = r.redeem.runBefore
	}
	c.stats.Attempts++
	if r.dispatched.IsZero() {
		r.dispatched = c.now
	}
	c.note(r, "dispatch", fmt.Sprintf("attempt %d, endpoint %s, offset %d", r.attempt, r.target.ID, r.offset))
	c.do(Dispatch{
		ID:           r.in.ID,
		Attempt:      r.attempt,
		Endpoint:     r.target.ID,
		Addr:         r.target.Addr,
		Kind:         r.target.Kind,
		Workspace:    r.ws.ID,
		Priority:     r.plan.Priority,
		NotAfter:     notAfter,
		Deadline:     r.deadline,
		Stream:       r.stream,
		Resume:       r.resumed,
		Offset:       r.offset,
		Hint:         c.hintFor(r),
		KeepResponse: r.redeem.needed,
	})
}

func (c *Core) hintFor(r *request) string {
	if r.target.Kind != fleet.Engine {
		return ""
	}
	return placement.Hint{Endpoint: r.target.ID, Incarnation: r.lease.inc, Issued: c.now.Unix()}.Format()
}

// running returns the request whose current attempt the event is about, or nil.
func (c *Core) running(id fleet.RequestID, attempt uint32) *request {
	r := c.requests[id]
	if r == nil || r.attempt != attempt || (r.phase != phaseAttempt && r.phase != phaseEnding) {
		return nil
	}
	return r
}

func (c *Core) onAttemptStarted(ev AttemptStarted) {
	r := c.running(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	c.note(r, "started", string(r.target.ID))
	if ev.Incarnation != 0 && ev.Incarnation != r.lease.inc && r.lease.id != 0 {
		u := c.updateFor(r.lease.owner)
		u.Observed = append(u.Observed, wire.ObservedIncarnation{Endpoint: r.target.ID, Incarnation: ev.Incarnation})
	}
}

func (c *Core) onAttemptDone(ev AttemptDone) {
	r := c.running(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	c.stats.Tokens += uint64(max(0, ev.Tokens))
	c.stats.CachedTokens += uint64(max(0, ev.CachedTokens))
	c.stats.PromptTokens += uint64(max(0, r.in.PromptTokens))
	if r.redeem.needed {
		r.redeem.stored = ev.Response
	}
	r.phase = 0
	r.ran = true
	c.finish(r, Answered, ReasonNone, 0)
}

func (c *Core) onAttemptNotSent(ev AttemptNotSent) {
	r := c.running(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	c.note(r, "not sent", fmt.Sprintf("endpoint %s, %s", r.target.ID, causeNames[ev.Cause]))
	if r.phase == phaseEnding || r.gone {
		c.endAttempt(r, false)
		return
	}
	if r.resumed {
		c.resumeOrLose(r, false)
		return
	}
	r.lease.used = ev.Cause != CauseLeaseExpired
	c.endLease(r, r.lease.used)
	if ev.RetryAfter > 0 {
		r.retry = ev.RetryAfter
	}
	if r.redeem.have && !c.now.Before(r.redeem.runBefore) {
		r.phase = 0
		c.finish(r, NotRun, ReasonDeadline, c.retryAfter(r))
		return
	}
	if ev.Cause == CauseLeaseExpired {
		r.tries--
		c.plan(r)
		r.asks = 0
		c.seekLease(r)
		return
	}
	c.retryOrFinish(r, NotRun, ReasonEndpointFailed)
}

func (c *Core) onAttemptLost(ev AttemptLost) {
	r := c.running(ev.ID, ev.Attempt)
	if r == nil {
		return
	}
	r.ran = true
	r.offset = max(r.offset, ev.Offset)
	c.note(r, "lost", fmt.Sprintf("endpoint %s, %s, offset %d", r.target.ID, causeNames[ev.Cause], r.offset))
	if r.phase == phaseEnding || r.gone {
		c.endAttempt(r, ev.Cause != CauseCancelled)
		return
	}
	if r.target.Kind == fleet.Engine {
		c.resumeOrLose(r, ev.StreamGone)
		return
	}
	c.endLease(r, true)
	if !r.in.Idempotent || r.offset > 0 {
		r.phase = 0
		c.finish(r, Unknown, ReasonEndpointFailed, 0)
		return
	}
	c.retryOrFinish(r, Unknown, ReasonEndpointFailed)
}

// endAttempt forgets a request whose attempt ended after the caller had its outcome or went away.
func (c *Core) endAttempt(r *request, failed bool) {
	r.phase = 0
	c.endLease(r, failed)
	c.finish(r, NotRun, ReasonCallerGone, 0)
}

// resumeOrLose continues a broken stream at its engine, or, if the engine does not have
// it, starts again elsewhere while the caller has nothing of the answer.
func (c *Core) resumeOrLose(r *request, gone bool) {
	if !gone && r.resumes < maxResumes {
		r.resumes++
		r.resumed = true
		c.backOff(r, r.resumes)
		return
	}
	c.endLease(r, true)
	if r.offset > 0 || r.in.Resume != nil {
		r.phase = 0
		c.finish(r, Unknown, ReasonStreamLost, 0)
		return
	}
	r.resumed = false
	c.retryOrFinish(r, Unknown, ReasonEndpointFailed)
}

// retryOrFinish makes another attempt elsewhere if the budgets and the deadline allow it.
func (c *Core) retryOrFinish(r *request, o Outcome, why Reason) {
	r.phase = phaseBackoff
	delay := c.backoff.Delay(c.rng, r.tries)
	if !retry.FitsDeadline(c.now, r.deadline, delay, expectedAttempt) {
		c.finish(r, o, why, c.retryAfter(r))
		return
	}
	if v := c.budget.Retry(r.ws.ID, r.target.ID); v != retry.Allowed {
		c.counts.retriesDenied.add(v)
		c.note(r, "no retry", v.String())
		c.finish(r, o, why, c.retryAfter(r))
		return
	}
	c.stats.Retries++
	c.log(event.AttemptRetried, string(r.in.ID))
	r.wake = c.now.Add(delay)
	r.asks = 0
}

func (c *Core) backOff(r *request, n int) {
	r.phase = phaseBackoff
	r.wake = c.now.Add(c.backoff.Delay(c.rng, n))
}

func (c *Core) afterBackoff(r *request) {
	if r.resumed {
		c.resume(r)
		return
	}
	c.seekLease(r)
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
