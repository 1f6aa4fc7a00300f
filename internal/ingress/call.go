package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// maxSends bounds the endpoints that one request is offered to, those that refused it
// included.
const maxSends = 4

// defaultTimeLimit bounds a request for which neither the caller nor its route names a time.
const defaultTimeLimit = time.Minute

// call is one request of a caller.
type call struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	head    Head
	arrived time.Time

	admission control.Admission
	body      []byte
	deadline  time.Time
	tried     []fleet.EndpointID
	ran       int  // endpoints at which it may have run
	started   bool // the head of an answer was sent to the caller
	lastEvent string
}

func (c *call) serve() {
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		c.admission = st.Admit(now, control.Arrival{
			ID:       c.head.ID,
			Host:     c.r.Host,
			Path:     c.r.URL.Path,
			Key:      c.head.Key,
			Patience: c.head.Patience,
			Affinity: affinity(c.head.Prompt),
		})
	})
	if c.admission.Reason != control.ReasonNone {
		c.refuse(c.admission.Reason, c.admission.RetryAfter)
		return
	}
	limit := c.admission.TimeLimit
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	c.deadline = c.arrived.Add(limit)
	if !c.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
}

// affinity hashes the shared parts of a prompt: all but the last one.
func affinity(prompt []PromptPart) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	shared := prompt[:max(len(prompt)-1, 1)]
	return fleet.Weight(shared[len(shared)-1].ID, uint64(len(shared)))
}

// readBody reads the request whole. It returns false after it has answered.
func (c *call) readBody() bool {
	var limit int64 = 4 << 20
	c.s.control.Do(func(st *control.State, _ boottime.Instant) {
		if n := st.Limits().BodyBytes; n > 0 {
			limit = n
		}
	})
	if c.r.ContentLength > limit {
		c.s.reject(c.w, http.StatusRequestEntityTooLarge, "the body is larger than allowed")
		return false
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.s.reject(c.w, http.StatusRequestEntityTooLarge, "the body is larger than allowed")
		return false
	case err != nil:
		c.s.reject(c.w, http.StatusBadRequest, "the body cannot be read")
		return false
	}
	c.body = body
	return true
}

// refuse answers a request that has not run.
func (c *call) refuse(reason control.Reason, after time.Duration) {
	switch reason {
	case control.ReasonNoRoute:
		c.s.reject(c.w, http.StatusNotFound, "no such route")
	case control.ReasonUnauthenticated:
		c.s.reject(c.w, http.StatusUnauthorized, "unknown key")
	default:
		c.s.dialect.WriteRetryAfter(c.w.Header(), after)
		c.s.reject(c.w, http.StatusServiceUnavailable, reason.String())
	}
}

// verdict is what one attempt leaves to do.
type verdict uint8

const (
	done    verdict = iota + 1 // the caller has its answer
	notRun                     // the endpoint did not run the request
	mayHave                    // the request may have run
	broken                     // a stream broke after its head was sent
)

func (c *call) run(ctx context.Context) {
	for len(c.tried) < maxSends {
		p := c.place()
		if p.Reason != control.ReasonNone {
			c.giveUp(p.Reason, p.RetryAfter)
			return
		}
		v := c.attempt(ctx, p)
		switch {
		case v == done:
			return
		case ctx.Err() != nil:
			c.timeOver()
			return
		case v == notRun:
			continue
		case !c.mayRepeat():
			c.unknown()
			return
		}
	}
	c.giveUp(control.ReasonNoEndpoint, retryAfterRefusals)
}

// retryAfterRefusals is when a caller should return whose request several endpoints
// refused: queues of endpoints empty within it.
const retryAfterRefusals = 300 * time.Millisecond

func (c *call) mayRepeat() bool {
	c.ran++
	return c.admission.Route.Repeatable() && c.ran < c.admission.Route.MaxAttempts
}

func (c *call) place() (p control.Placement) {
	c.s.control.Do(func(st *control.State, now boottime.Instant) {
		p = st.Place(now, c.admission.Service, affinity(c.head.Prompt), c.tried)
	})
	return p
}

func (c *call) ended(p control.Placement, r control.Result) {
	c.s.control.Do(func(st *control.State, now boottime.Instant) { st.Ended(now, p.Endpoint, r) })
}

// giveUp answers when no further endpoint is tried.
func (c *call) giveUp(reason control.Reason, after time.Duration) {
	switch {
	case c.started:
		panic(http.ErrAbortHandler)
	case c.ran > 0:
		c.s.reject(c.w, http.StatusBadGateway, "the request may have run")
	default:
		c.refuse(reason, after)
	}
}

func (c *call) unknown() {
	if c.started {
		panic(http.ErrAbortHandler)
	}
	c.s.reject(c.w, http.StatusBadGateway, "the request may have run")
}

// timeOver ends a request whose time is over or whose caller has left.
func (c *call) timeOver() {
	if c.started || c.r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	c.s.reject(c.w, http.StatusGatewayTimeout, "the time for the answer is over")
}

// attempt offers the request to one endpoint.
func (c *call) attempt(ctx context.Context, p control.Placement) verdict {
	c.tried = append(c.tried, p.Endpoint)
	a, err := c.s.client.Do(ctx, p.Addr, c.request(p))
	if err != nil {
		return c.failed(ctx, p, err)
	}
	defer a.Close()
	reply := c.s.dialect.ReadReply(a.Status, a.Header)
	switch {
	case reply.Misplaced && reply.Endpoint != p.Endpoint:
		c.ended(p, control.Misplaced)
		return notRun
	case reply.NotRun:
		c.ended(p, control.Full)
		return notRun
	case reply.RequestID != "" && reply.RequestID != c.head.ID:
		c.ended(p, control.Broken)
		return mayHave
	case a.Status < 300 && !reply.Signed:
		c.ended(p, control.Broken)
		return mayHave
	}
	if isStream(a) && a.Status == http.StatusOK {
		return c.stream(ctx, p, a)
	}
	return c.document(ctx, p, a)
}

func (c *call) failed(ctx context.Context, p control.Placement, err error) verdict {
	var xe *exchange.Error
	switch {
	case ctx.Err() != nil:
		c.ended(p, control.Cancelled)
	case errors.As(err, &xe) && xe.Connect:
		c.ended(p, control.Unreachable)
	default:
		c.ended(p, control.Broken)
	}
	if errors.As(err, &xe) && !xe.Sent {
		return notRun
	}
	return mayHave
}

func (c *call) request(p control.Placement) *exchange.Request {
	h := http.Header{}
	for name, values := range c.r.Header {
		if upstream.IsEndToEnd(name) {
			h[name] = values
		}
	}
	c.s.dialect.WriteForward(h, Forward{
		Expect:     p.Endpoint,
		Workspace:  c.admission.Workspace,
		TimeLeft:   time.Until(c.deadline),
		Urgency:    c.admission.Urgency,
		AfterEvent: c.lastEvent,
	})
	return &exchange.Request{
		Method: c.r.Method,
		Target: c.r.URL.RequestURI(),
		Host:   c.r.Host,
		Header: h,
		Body:   c.body,
	}
}
