package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/callerconn"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// defaultRequestTimeout applies to requests for which neither the caller nor the route sets a
// timeout.
const defaultRequestTimeout = time.Minute

// endedRetryAfter is the retry-after of requests that arrive when the event loop has ended, shortly before
// the end of the process. Other gateways serve them.
const endedRetryAfter = 100 * time.Millisecond

// call is the state of one request of a caller.
type call struct {
	s         *Server
	w         *answerWriter
	r         *http.Request
	arrivedAt time.Time

	meta           RequestMetadata
	affinityKey    uint64
	admission      control.Admission
	body           *bytebudget.Body
	fingerprint    crasher.Fingerprint
	shares         crasher.Shares
	deadline       time.Time
	origin         streamOrigin
	triedEndpoints []fleet.EndpointID
	attempts       attemptHistory
	reserved       *control.Reservation // of the next attempt, made while the last one ran; nil: none
	response       callerResponse
}

func (c *call) serve() {
	c.boundWrites(defaultRequestTimeout)
	meta, err := c.s.codec.ReadRequest(c.r.Header)
	c.meta = meta
	if err != nil {
		c.reject(http.StatusBadRequest, err.Error())
		return
	}
	c.affinityKey = PromptAffinity(meta.Prompt)
	c.admit()
	c.boundWrites(max(c.deadline.Sub(c.arrivedAt), meta.CallerTimeout))
	if c.admission.Reason != control.ReasonNone {
		c.respondNotRun(c.admission.Reason, c.admission.RetryAfter)
		return
	}
	if c.refuseForStop() || c.headerTooLarge() || !c.readBody() {
		return
	}
	defer c.releaseBodies()
	if !callerconn.HasMemory(c.r.Context()) {
		c.respondNotRun(control.ReasonNoMemory, jitteredRetryAfter())
		return
	}
	c.fingerprint, c.shares = c.computeFingerprint(), c.findShares()
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.s.stopped, cancel)()
	c.awaitEvidence(ctx)
	if !c.findOrigin(ctx) || c.endIfDone(ctx) || c.refuseForStop() {
		return
	}
	c.run(ctx)
}

// refuseForStop refuses the request if a planned stop ends before its deadline, and reports whether it did. The stop may have begun while the
// body was read, or while the request waited.
func (c *call) refuseForStop() bool {
	if !c.s.callers.endsBefore(c.deadline) {
		return false
	}
	c.respondNotRun(control.ReasonStopping, endedRetryAfter)
	return true
}

func (c *call) admit() {
	// The result if the event loop has ended.
	c.admission = control.Admission{Reason: control.ReasonNoConfig, RetryAfter: endedRetryAfter}
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		c.s.callers.setLimits(st.Limits())
		c.admission = st.Admit(now, control.AdmissionRequest{
			Host:          c.r.Host,
			Path:          routePath(c.r.URL),
			APIKey:        c.meta.Key,
			CallerTimeout: c.meta.CallerTimeout,
			Affinity:      c.affinityKey,
			Resumed:       c.meta.LastEventID != "" || c.meta.Resumes != "",
		})
	})
	admission := &c.admission
	timeout := admission.Timeout
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c.deadline = c.arrivedAt.Add(timeout)
	if admission.Reason == control.ReasonNone {
		event.LogFields(event.RequestAdmitted, "request", c.meta.ID, "route", admission.Route.Name, "kind", admission.Route.Kind, "service", admission.Service,
			"workspace", admission.Workspace, "parts", partIDs(c.meta.Prompt), "resumes", c.meta.Resumes, "after_event", c.meta.LastEventID, "urgency", admission.Priority, "limit_ms", timeout.Milliseconds(), "revision", admission.Revision, "age_ms", admission.SnapshotAge.Milliseconds())
	}
}

// PromptAffinity returns the affinity key of a prompt: a hash of its last shared part and the
// number of shared parts, or 0 without a prompt. All parts but the last are shared with other
// requests; if there is only one part, it counts as shared.
func PromptAffinity(prompt []PromptPart) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	shared := prompt[:max(len(prompt)-1, 1)]
	return fleet.Weight(shared[len(shared)-1].ID, uint64(len(shared)))
}

// headerTooLarge reports whether the request's header exceeds the published limit, in which case
// it has rejected the request.
func (c *call) headerTooLarge() bool {
	limit, size := c.admission.HeaderLimit, len(c.r.RequestURI)
	for name, values := range c.r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if limit <= 0 || size <= limit {
		return false
	}
	c.reject(http.StatusRequestHeaderFieldsTooLarge, "the header is larger than allowed")
	return true
}

// readBody reads the whole request body. It returns false if it has rejected the request.
func (c *call) readBody() bool {
	if c.r.ContentLength == 0 {
		return true // net/http reads from the connection already: a deadline would look like the caller's leaving
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.deadline)
	limit := requestBodyLimit(c.admission.BodyLimit)
	callerconn.LimitBody(c.r.Context(), limit)
	callerconn.BeginBody(c.r.Context())
	body, err := c.s.memory.readRequest(c.w.ResponseWriter, c.r, limit)
	callerconn.EndBody(c.r.Context())
	_ = rc.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, bytebudget.ErrTooLarge):
		c.reject(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
		return false
	case errors.Is(err, bytebudget.ErrExhausted), errors.Is(err, callerconn.ErrMemory):
		c.respondNotRun(control.ReasonNoMemory, jitteredRetryAfter())
		return false
	case err != nil && !time.Now().Before(c.deadline):
		c.w.bodyLate = true
		c.reject(http.StatusRequestTimeout, "the body did not arrive in time")
		return false
	case err != nil:
		c.reject(http.StatusBadRequest, "the body cannot be read")
		return false
	}
	c.body, c.w.bodyRead = body, true
	return true
}

// run sends the request to one endpoint after another until the response is complete or no
// further attempt is allowed.
func (c *call) run(ctx context.Context) {
	defer c.releaseReserved()
	p := c.place(c.placementRequest(false))
	for p.Reason == control.ReasonNone {
		d := c.runAttempt(ctx, p.Attempt)
		c.attempts.add(d, p.Attempt)
		c.attempts.endedBack()
		if d.complete {
			c.recordCompleted()
			return
		}
		if c.endIfDone(ctx) {
			return
		}
		c.awaitProcessEnd(ctx, p.Attempt)
		p = c.placeNext(ctx)
		if p.Reason != control.ReasonNone && c.endIfDone(ctx) {
			return
		}
	}
	c.endAttempts(p.Reason, p.RetryAfter)
}

// endIfDone ends the request if the caller has disconnected, the deadline has passed or a planned stop ends it, and
// reports whether it did.
func (c *call) endIfDone(ctx context.Context) bool {
	if c.r.Context().Err() != nil || c.response.callerDisconnected {
		c.endDisconnected()
	}
	if ctx.Err() == nil {
		return false
	}
	if c.s.stopped.Err() != nil {
		c.endAttempts(control.ReasonStopping, endedRetryAfter)
		return true
	}
	c.respondDeadlineExceeded()
	return true
}

func (c *call) elapsed() int64 { return time.Since(c.arrivedAt).Milliseconds() }
