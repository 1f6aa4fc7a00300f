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

// defaultTimeLimit bounds a request for which neither the caller nor its route names a time.
const defaultTimeLimit = time.Minute

// defaultBodyLimit bounds a body where the published limits name none, in bytes.
const defaultBodyLimit = 4 << 20

// call is one request of a caller.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	head      RequestMetadata
	affinity  uint64
	admission control.Admission
	body      []byte
	deadline  time.Time
	tried     []fleet.EndpointID
	attempts  attempts
	answer    answer
}

func (c *call) serve() {
	head, err := c.s.dialect.ReadRequest(c.r.Header)
	c.head = head
	if err != nil {
		c.reject(http.StatusBadRequest, err.Error())
		return
	}
	c.affinity = affinity(head.Prompt)
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
		c.admission = st.Admit(now, control.AdmissionRequest{
			Host:          c.r.Host,
			Path:          c.r.URL.Path,
			Key:           c.head.Key,
			CallerTimeout: c.head.CallerTimeout,
			Affinity:      c.affinity,
		})
	})
	ad := &c.admission
	limit := ad.Timeout
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	c.deadline = c.arrived.Add(limit)
	if ad.Reason == control.ReasonNone {
		event.Record(event.RequestAdmitted, "request", c.head.ID, "route", ad.Route.Name, "kind", ad.Route.Kind, "service", ad.Service,
			"workspace", ad.Workspace, "urgency", ad.Priority, "limit_ms", limit.Milliseconds(), "revision", ad.Revision, "age_ms", ad.SnapshotAge.Milliseconds())
	}
}

// affinity hashes the last shared part of a prompt and its place: the last part of all
// belongs to the request or its session.
func affinity(prompt []PromptPart) uint64 {
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
		limit = defaultBodyLimit
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
		o := c.attempt(ctx, p.Attempt)
		c.attempts.add(o)
		if o.whole {
			c.finished()
			return
		}
		if c.over(ctx) {
			return
		}
		if reason := c.again(); reason != control.ReasonNone {
			c.giveUp(reason, retryAfterFailure())
			return
		}
	}
}

// over ends a request whose caller has left or whose time has passed.
func (c *call) over(ctx context.Context) bool {
	if c.r.Context().Err() != nil || c.answer.callerGone {
		event.Record(event.CallerLeft, "request", c.head.ID, "after_ms", c.elapsed(), "attempts", c.attempts.sends)
		c.s.meter.ended(c, "caller_left")
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() == nil {
		return false
	}
	c.timeOver()
	return true
}

// again asks whether the request may be offered to another endpoint.
func (c *call) again() control.Reason {
	if r := c.attempts.mayRepeat(c.admission.Route); r != control.ReasonNone {
		return r
	}
	allowed := true
	if c.attempts.reached {
		c.s.control.Do(func(st *control.State, now boottime.Instant) {
			allowed = st.AllowRetry(now, c.admission.Service, c.attempts.result)
		})
	}
	if !allowed {
		return control.ReasonRetryBudget
	}
	event.Record(event.AttemptRetried, "request", c.head.ID, "sends", c.attempts.sends, "may_have_run", c.attempts.ran, "left_ms", time.Until(c.deadline).Milliseconds())
	return control.ReasonNone
}

func (c *call) place() (p control.Placement) {
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		p = st.Place(now, control.PlacementRequest{Service: c.admission.Service, Affinity: c.affinity, Tried: c.tried})
	})
	return p
}

func (c *call) elapsed() int64 { return time.Since(c.arrived).Milliseconds() }
