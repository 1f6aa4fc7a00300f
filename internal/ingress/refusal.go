package ingress

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// jitteredRetryAfter returns the Retry-After delay, with jitter, for a request that the endpoints
// did not run. Within this time their queues drain and failing endpoints are avoided.
func jitteredRetryAfter() time.Duration {
	return 200*time.Millisecond + rand.N(100*time.Millisecond)
}

// reject sends an error response to a request that would fail again if it were retried unchanged.
func (c *call) reject(status int, detail string) {
	event.LogFields(event.RequestRejected, "request", c.meta.ID, "status", status, "why", detail, "host", c.r.Host,
		"revision", c.admission.Revision, "age_ms", c.admission.SnapshotAge.Milliseconds())
	c.s.meter.requestEnded(c, "rejected")
	http.Error(c.w, detail, status)
}

// refuse sends an error response to a request that has not run. The caller may retry it after
// the delay, unless the route or the key is unknown.
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
		event.LogFields(event.ConfigUnknown, "request", c.meta.ID)
	}
	event.LogFields(event.RequestRefused, "request", c.meta.ID, "reason", reason, "retry_after_ms", after.Milliseconds(), "sends", c.attempts.count,
		"elapsed_ms", c.elapsed(), "revision", c.admission.Revision, "age_ms", c.admission.SnapshotAge.Milliseconds())
	c.s.meter.requestEnded(c, "refused")
	c.s.dialect.WriteRetryAfter(c.w.Header(), after)
	http.Error(c.w, "not run: "+reason.String(), http.StatusServiceUnavailable)
}

// giveUp sends the response to a request that gets no further attempt.
func (c *call) giveUp(reason control.Reason, after time.Duration) {
	switch {
	case c.response.deferredFailure != nil:
		c.writeDeferredFailure()
	case c.attempts.mayHaveRunCount == 0:
		c.refuse(reason, after)
	default:
		c.failUnknown(http.StatusBadGateway, reason.String())
	}
}

// deadlineExceeded sends the response to a request whose deadline has passed.
func (c *call) deadlineExceeded() {
	event.LogFields(event.RequestOverdue, "request", c.meta.ID, "limit_ms", c.deadline.Sub(c.arrivedAt).Milliseconds(),
		"sends", c.attempts.count, "may_have_run", c.attempts.mayHaveRunCount, "events", c.response.events)
	if c.response.deferredFailure != nil {
		c.writeDeferredFailure()
		return
	}
	c.failUnknown(http.StatusGatewayTimeout, "the time for the answer is over")
}

// failUnknown ends a request that may have run. If a stream has started, its connection is
// aborted so that the caller can tell that the stream is incomplete.
func (c *call) failUnknown(status int, detail string) {
	if c.response.started {
		status = c.response.status
	}
	event.LogFields(event.RequestUnknown, "request", c.meta.ID, "status", status, "why", detail, "sends", c.attempts.count,
		"may_have_run", c.attempts.mayHaveRunCount, "events", c.response.events, "cut", c.response.started, "elapsed_ms", c.elapsed())
	c.s.meter.requestEnded(c, "unknown")
	if c.response.started {
		panic(http.ErrAbortHandler)
	}
	http.Error(c.w, detail, status)
}

// recordAnswered records that the caller got the whole response.
func (c *call) recordAnswered() {
	event.LogFields(event.RequestAnswered, "request", c.meta.ID, "status", c.response.status, "sends", c.attempts.count,
		"events", c.response.events, "elapsed_ms", c.elapsed())
	c.s.meter.requestEnded(c, "answered")
}
