package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// defaultRequestTimeout applies to requests for which neither the caller nor the route sets a
// timeout.
const defaultRequestTimeout = time.Minute

// endedRetryAfter is the retry-after of requests that arrive when the event loop has ended, shortly before
// the end of the process. Other gateways serve them.
const endedRetryAfter = 100 * time.Millisecond

// refusalBodyWait is how long a refusal waits for the rest of the request's body. If it arrives, the
// connection can be used again.
const refusalBodyWait = 100 * time.Millisecond

// call is the state of one request of a caller.
type call struct {
	s         *Server
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time

	meta           RequestMetadata
	affinityKey    uint64
	admission      control.Admission
	body           *bytebudget.Body
	deadline       time.Time
	origin         streamOrigin
	triedEndpoints []fleet.EndpointID
	attempts       attemptHistory
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
	c.affinityKey = promptAffinity(meta.Prompt)
	c.admit()
	c.boundWrites(max(c.deadline.Sub(c.arrivedAt), meta.CallerTimeout))
	if c.admission.Reason != control.ReasonNone {
		c.respondNotRun(c.admission.Reason, c.admission.RetryAfter)
		return
	}
	if c.headerTooLarge() || !c.readBody() {
		return
	}
	defer c.releaseBodies()
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	if !c.findOrigin(ctx) {
		return
	}
	c.run(ctx)
}

func (c *call) admit() {
	// The result if the event loop has ended.
	c.admission = control.Admission{Reason: control.ReasonNoConfig, RetryAfter: endedRetryAfter}
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		c.admission = st.Admit(now, control.AdmissionRequest{
			Host:          c.r.Host,
			Path:          c.r.URL.Path,
			APIKey:        c.meta.Key,
			CallerTimeout: c.meta.CallerTimeout,
			Affinity:      c.affinityKey,
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
			"workspace", admission.Workspace, "resumes", c.meta.Resumes, "after_event", c.meta.LastEventID, "urgency", admission.Priority, "limit_ms", timeout.Milliseconds(), "revision", admission.Revision, "age_ms", admission.SnapshotAge.Milliseconds())
	}
}

// promptAffinity returns the affinity key of a prompt: a hash of its last shared part and the
// number of shared parts, or 0 without a prompt. All parts but the last are shared with other
// requests; if there is only one part, it counts as shared.
func promptAffinity(prompt []PromptPart) uint64 {
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
	c.boundBodyWait(c.deadline)
	body, err := c.s.memory.readRequest(c.w, c.r, c.admission.BodyLimit)
	c.boundBodyWait(time.Time{})
	switch {
	case errors.Is(err, bytebudget.ErrTooLarge):
		c.reject(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
		return false
	case errors.Is(err, bytebudget.ErrExhausted):
		c.respondNotRun(control.ReasonNoMemory, jitteredRetryAfter())
		return false
	case err != nil && !time.Now().Before(c.deadline):
		c.reject(http.StatusRequestTimeout, "the body did not arrive in time")
		return false
	case err != nil:
		c.reject(http.StatusBadRequest, "the body cannot be read")
		return false
	}
	c.body = body
	return true
}

// boundBodyWait sets the time until which the rest of the request's body is awaited, by the reader
// of the body or by net/http, which waits for it before it sends a response.
func (c *call) boundBodyWait(until time.Time) {
	if c.r.Body != http.NoBody { // without a body, net/http takes a failed read for the caller's leaving
		_ = http.NewResponseController(c.w).SetReadDeadline(until) // not supported by recorders of tests
	}
}

// run sends the request to one endpoint after another until the response is complete or no
// further attempt is allowed.
func (c *call) run(ctx context.Context) {
	for {
		p := c.place()
		if p.Reason != control.ReasonNone {
			c.endAttempts(p.Reason, p.RetryAfter)
			return
		}
		d := c.runAttempt(ctx, p.Attempt)
		c.attempts.add(d)
		if d.complete {
			c.recordCompleted()
			return
		}
		if c.endIfDone(ctx) {
			return
		}
		if reason := c.reserveRetry(); reason != control.ReasonNone {
			c.endAttempts(reason, c.retryAfter())
			return
		}
	}
}

// endIfDone ends the request if the caller has disconnected or the deadline has passed, and
// reports whether it did.
func (c *call) endIfDone(ctx context.Context) bool {
	if c.r.Context().Err() != nil || c.response.callerDisconnected {
		event.LogFields(event.CallerLeft, "request", c.meta.ID, "after_ms", c.elapsed(), "attempts", c.attempts.count)
		c.s.meter.requestEnded(c, "caller_left")
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() == nil {
		return false
	}
	c.respondDeadlineExceeded()
	return true
}

// reserveRetry takes a retry from the service's retry budget and returns ReasonNone, or the
// reason that rules out another attempt. A retry needs no budget if no byte of the last attempt
// can have reached an endpoint.
func (c *call) reserveRetry() control.Reason {
	if r := c.attempts.retryDenied(c.admission.Route); r != control.ReasonNone {
		return r
	}
	allowed := true
	if c.attempts.lastMaybeSent {
		c.s.control.Do(func(st *control.State, now boottime.Instant) {
			allowed = st.AllowRetry(now, c.admission.Service, c.attempts.lastResult)
		})
	}
	if !allowed {
		return control.ReasonRetryBudget
	}
	event.LogFields(event.AttemptRetried, "request", c.meta.ID, "sends", c.attempts.count, "may_have_run", c.attempts.mayHaveRunCount, "left_ms", time.Until(c.deadline).Milliseconds())
	return control.ReasonNone
}

func (c *call) place() control.Placement {
	// The result if the event loop has ended.
	p := control.Placement{Reason: control.ReasonNoEndpoint, RetryAfter: endedRetryAfter}
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		if c.response.events > 0 {
			c.origin.version = st.StreamVersion(now, c.origin.stream)
			if c.origin.version == 0 {
				p = control.Placement{Reason: control.ReasonOriginUnknown}
				return
			}
		}
		p = st.Place(now, control.PlacementRequest{Service: c.admission.Service, Affinity: c.affinityKey, Tried: c.triedEndpoints, Version: c.origin.version})
	})
	return p
}

// retryAfter returns the retry-after of a request that endpoints have refused.
func (c *call) retryAfter() time.Duration {
	after := jitteredRetryAfter()
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		after = st.RetryAfter(now, control.PlacementRequest{Service: c.admission.Service, Version: c.origin.version}, after)
	})
	return after
}

func (c *call) elapsed() int64 { return time.Since(c.arrivedAt).Milliseconds() }
