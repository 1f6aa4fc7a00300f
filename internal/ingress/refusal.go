package ingress

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// jitteredRetryAfter returns a Retry-After delay of 200 to 300 ms for a request that no endpoint
// has run. In this time, queues of endpoints drain and failing endpoints become avoided. The
// jitter keeps callers from retrying at the same time.
func jitteredRetryAfter() time.Duration {
	return 200*time.Millisecond + rand.N(100*time.Millisecond)
}

// retryTimeShare is the most of its remaining time that a caller waits before it returns.
const retryTimeShare = 1.0 / 3

// limitRetryAfter returns a Retry-After delay, or less if the caller would not wait for so long.
func (c *call) limitRetryAfter(d time.Duration) time.Duration {
	left := time.Until(c.deadline)
	if c.meta.CallerTimeout > 0 { // a request that is rejected before it has a route has the default deadline
		left = min(left, time.Until(c.arrivedAt.Add(c.meta.CallerTimeout)))
	}
	return min(d, max(time.Duration(retryTimeShare*float64(left)), 0))
}

// reject sends an error response to a request that would fail again if it were retried unchanged.
func (c *call) reject(status int, detail string) {
	event.LogFields(event.RequestRejected, "request", c.meta.ID, "status", status, "why", detail, "host", c.r.Host,
		"revision", c.admission.Revision, "age_ms", c.admission.SnapshotAge.Milliseconds())
	c.s.meter.requestEnded(c, "rejected")
	c.writeError(status, detail)
}

// respondNotRun responds to a request that has not run: with 404 or 401 for an unknown route or
// key, otherwise with 503 and the delay after which the caller may retry.
func (c *call) respondNotRun(reason control.Reason, after time.Duration) {
	switch reason {
	case control.ReasonNoRoute:
		c.reject(http.StatusNotFound, "no such route")
		return
	case control.ReasonUnauthenticated:
		c.reject(http.StatusUnauthorized, "unknown key")
		return
	}
	after = c.limitRetryAfter(after)
	if reason == control.ReasonNoConfig {
		event.LogFields(event.ConfigUnknown, "request", c.meta.ID)
	}
	fields := []any{"request", c.meta.ID, "reason", reason, "retry_after_ms", after.Milliseconds(), "sends", c.attempts.count,
		"elapsed_ms", c.elapsed(), "revision", c.admission.Revision, "age_ms", c.admission.SnapshotAge.Milliseconds()}
	if reason == control.ReasonContention {
		fields = append(fields, "contention", c.admission.Contention, "route", c.admission.Route.Name, "workspace", c.admission.Workspace, "urgency", c.admission.Priority)
	}
	if reason == control.ReasonOnTrial {
		fields = append(fields, "fingerprint", c.fingerprint)
	}
	event.LogFields(event.RequestRefused, fields...)
	c.s.meter.requestEnded(c, "refused")
	c.s.codec.WriteRetryAfter(c.w.Header(), after)
	c.writeError(http.StatusServiceUnavailable, "not run: "+reason.String())
}

// endAttempts ends a request for which no further attempt is made.
func (c *call) endAttempts(reason control.Reason, after time.Duration) {
	switch {
	case c.response.deferredFailure != nil:
		c.writeDeferredFailure()
	case reason == control.ReasonCrashesEndpoints:
		c.respondBlocked()
	case c.attempts.mayHaveRunCount == 0:
		c.respondNotRun(reason, after)
	default:
		c.failOutcomeUnknown(http.StatusBadGateway, reason.String(), endCauseOf(reason))
	}
}

// respondDeadlineExceeded ends a request whose deadline has passed.
func (c *call) respondDeadlineExceeded() {
	event.LogFields(event.RequestOverdue, "request", c.meta.ID, "limit_ms", c.deadline.Sub(c.arrivedAt).Milliseconds(),
		"sends", c.attempts.count, "may_have_run", c.attempts.mayHaveRunCount, "events", c.response.events)
	if c.response.deferredFailure != nil {
		c.writeDeferredFailure()
		return
	}
	c.failOutcomeUnknown(http.StatusGatewayTimeout, "the time for the answer is over", EndDeadline)
}

// failOutcomeUnknown responds with an error to a request that may have run. If a stream has
// started, the caller's connection is cut for the given cause instead, so that the stream is seen to be incomplete.
func (c *call) failOutcomeUnknown(status int, detail string, cause EndCause) {
	if c.response.started {
		status = c.response.status
	}
	event.LogFields(event.RequestUnknown, "request", c.meta.ID, "status", status, "why", detail, "sends", c.attempts.count,
		"may_have_run", c.attempts.mayHaveRunCount, "events", c.response.events, "cut", c.response.started, "elapsed_ms", c.elapsed())
	c.s.meter.requestEnded(c, "unknown")
	if c.response.started {
		c.cut(cause)
	}
	c.writeError(status, detail)
}

// writeError writes an error response of this process. Its length is set because the response is flushed before the
// handler ends, see finishAnswer.
func (c *call) writeError(status int, detail string) {
	body := detail + "\n"
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.response.status = status
	c.w.WriteHeader(status)
	if _, err := io.WriteString(c.w, body); err != nil {
		c.response.writeFailed(err)
	}
}

// recordCompleted notes that the whole response was written. It is recorded as answered once it is also sent.
func (c *call) recordCompleted() { c.response.complete = true }

// recordAnswered records that the whole response was sent to the caller.
func (c *call) recordAnswered() {
	event.LogFields(event.RequestAnswered, "request", c.meta.ID, "status", c.response.status, "sends", c.attempts.count,
		"events", c.response.events, "elapsed_ms", c.elapsed())
	c.s.meter.requestEnded(c, "answered")
}
