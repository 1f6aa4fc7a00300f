package ingress

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// retryAfterFailure is about when a caller should return whose request endpoints did not
// run: their queues empty, and the failing ones are avoided, within it.
func retryAfterFailure() time.Duration {
	return 200*time.Millisecond + rand.N(100*time.Millisecond)
}

// reject answers a request that is not to be sent again as it is.
func (c *call) reject(status int, why string) {
	event.Record(event.RequestRejected, "request", c.head.ID, "status", status, "why", why, "host", c.r.Host,
		"revision", c.admission.Revision, "age_ms", c.admission.SnapshotAge.Milliseconds())
	c.s.meter.ended(c, "rejected")
	http.Error(c.w, why, status)
}

// refuse answers a request that has not run.
func (c *call) refuse(reason control.Reason, after time.Duration) {
	switch reason {
	case control.ReasonNoRoute:
		c.reject(http.StatusNotFound, "no such route")
		return
	case control.ReasonUnauthenticated:
		c.reject(http.StatusUnauthorized, "unknown key")
		return
	}
	if reason == control.ReasonNoConfig {
		event.Record(event.ConfigUnknown, "request", c.head.ID)
	}
	event.Record(event.RequestRefused, "request", c.head.ID, "reason", reason, "retry_after_ms", after.Milliseconds(), "sends", c.attempts.sends,
		"elapsed_ms", c.elapsed(), "revision", c.admission.Revision, "age_ms", c.admission.SnapshotAge.Milliseconds())
	c.s.meter.ended(c, "refused")
	c.s.dialect.WriteRetryAfter(c.w.Header(), after)
	http.Error(c.w, "not run: "+reason.String(), http.StatusServiceUnavailable)
}

// giveUp answers a request that is offered to no further endpoint.
func (c *call) giveUp(reason control.Reason, after time.Duration) {
	switch {
	case c.answer.held != nil:
		c.writeHeld()
	case c.attempts.ran == 0:
		c.refuse(reason, after)
	default:
		c.unknown(http.StatusBadGateway, reason.String())
	}
}

// timeOver answers a request whose time has passed.
func (c *call) timeOver() {
	event.Record(event.RequestOverdue, "request", c.head.ID, "limit_ms", c.deadline.Sub(c.arrived).Milliseconds(),
		"sends", c.attempts.sends, "may_have_run", c.attempts.ran, "events", c.answer.events)
	if c.answer.held != nil {
		c.writeHeld()
		return
	}
	c.unknown(http.StatusGatewayTimeout, "the time for the answer is over")
}

// unknown ends a request that may have run. A stream that has begun is cut off, so that
// it cannot be taken for whole.
func (c *call) unknown(status int, why string) {
	if c.answer.started {
		status = c.answer.status
	}
	event.Record(event.RequestUnknown, "request", c.head.ID, "status", status, "why", why, "sends", c.attempts.sends,
		"may_have_run", c.attempts.ran, "events", c.answer.events, "cut", c.answer.started, "elapsed_ms", c.elapsed())
	c.s.meter.ended(c, "unknown")
	if c.answer.started {
		panic(http.ErrAbortHandler)
	}
	http.Error(c.w, why, status)
}

// finished notes that the caller has its whole answer.
func (c *call) finished() {
	event.Record(event.RequestAnswered, "request", c.head.ID, "status", c.answer.status, "sends", c.attempts.sends,
		"events", c.answer.events, "elapsed_ms", c.elapsed())
	c.s.meter.ended(c, "answered")
}
