package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// defaultRequestTimeout bounds a request for which neither the caller nor its route names a time.
const defaultRequestTimeout = time.Minute

// defaultMaxBodyBytes bounds a body where the published limits name none, in bytes.
const defaultMaxBodyBytes = 4 << 20

// call is one request of a caller.
type call struct {
	s         *Server
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time

	head           RequestMetadata
	affinityKey    uint64
	admission      control.Admission
	body           []byte
	deadline       time.Time
	triedEndpoints []fleet.EndpointID
	attempts       attempts
	response       callerResponse
}

func (c *call) serve() {
	head, err := c.s.dialect.ReadRequest(c.r.Header)
	c.head = head
	if err != nil {
		c.reject(http.StatusBadRequest, err.Error())
		return
	}
	c.affinityKey = promptAffinity(head.Prompt)
	c.admit()
	if c.admission.Reason != control.ReasonNone {
		c.refuse(c.admission.Reason, c.admission.RetryAfter)
		return
	}
	if c.headerTooLarge() || !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
}

func (c *call) admit() {
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		c.admission = st.Admit(now, control.Arrival{
			Host:     c.r.Host,
			Path:     c.r.URL.Path,
			Key:      c.head.Key,
			Patience: c.head.CallerTimeout,
			Affinity: c.affinityKey,
		})
	})
	admission := &c.admission
	timeout := admission.TimeLimit
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c.deadline = c.arrivedAt.Add(timeout)
	if admission.Reason == control.ReasonNone {
		event.Record(event.RequestAdmitted, "request", c.head.ID, "route", admission.Route.Name, "kind", admission.Route.Kind, "service", admission.Service,
			"workspace", admission.Workspace, "urgency", admission.Urgency, "limit_ms", timeout.Milliseconds(), "revision", admission.Revision, "age_ms", admission.Age.Milliseconds())
	}
}

// promptAffinity hashes the last shared part of a prompt and its place: the last part of all
// belongs to the request or its session.
func promptAffinity(prompt []PromptPart) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	shared := prompt[:max(len(prompt)-1, 1)]
	return fleet.Weight(shared[len(shared)-1].ID, uint64(len(shared)))
}

// headerTooLarge tells whether the request's header breaks the published limit, after it
// has answered that.
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

// readBody reads the request whole. It returns false after it has answered.
func (c *call) readBody() bool {
	limit := c.admission.BodyLimit
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		c.reject(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
		return false
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.reject(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
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

// run offers the request to endpoints, one after the other, until it has an answer or
// must not be offered again.
func (c *call) run(ctx context.Context) {
	for {
		p := c.place()
		if p.Reason != control.ReasonNone {
			c.giveUp(p.Reason, p.RetryAfter)
			return
		}
		o := c.attempt(ctx, p.Ticket)
		c.attempts.add(o)
		if o.complete {
			c.recordAnswered()
			return
		}
		if c.endIfDone(ctx) {
			return
		}
		if reason := c.reserveRetry(); reason != control.ReasonNone {
			c.giveUp(reason, jitteredRetryAfter())
			return
		}
	}
}

// endIfDone ends a request whose caller has left or whose time has passed.
func (c *call) endIfDone(ctx context.Context) bool {
	if c.r.Context().Err() != nil || c.response.callerGone {
		event.Record(event.CallerLeft, "request", c.head.ID, "after_ms", c.elapsed(), "attempts", c.attempts.sends)
		c.s.meter.requestEnded(c, "caller_left")
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() == nil {
		return false
	}
	c.deadlineExceeded()
	return true
}

// reserveRetry asks whether the request may be offered to another endpoint.
func (c *call) reserveRetry() control.Reason {
	if r := c.attempts.retryDenied(c.admission.Route); r != control.ReasonNone {
		return r
	}
	allowed := true
	if c.attempts.lastDelivered {
		c.s.control.Do(func(st *control.State, now boottime.Instant) {
			allowed = st.Retry(now, c.admission.Service, c.attempts.lastResult)
		})
	}
	if !allowed {
		return control.ReasonRetryBudget
	}
	event.Record(event.AttemptRetried, "request", c.head.ID, "sends", c.attempts.sends, "may_have_run", c.attempts.mayHaveRunCount, "left_ms", time.Until(c.deadline).Milliseconds())
	return control.ReasonNone
}

func (c *call) place() (p control.Placement) {
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		p = st.Place(now, control.Want{Service: c.admission.Service, Affinity: c.affinityKey, Tried: c.triedEndpoints})
	})
	return p
}

func (c *call) elapsed() int64 { return time.Since(c.arrivedAt).Milliseconds() }
