package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// answer is an upstream.Answer that can start over and be ended by the core.
type answer interface {
	upstream.ResponseSink
	// restart prepares for an attempt. It returns false when the attempt cannot go on
	// from what the caller has.
	restart(d core.Dispatch) bool
	finish(f core.Finish)
}

// serve takes one request through the core until it is finished.
func (s *Server) serve(r *http.Request, x *exchange, ev core.CallerRequest, rq *upstream.Request, a answer) {
	s.post(ev) // before the core can be told that the caller is gone
	stop := context.AfterFunc(r.Context(), func() { s.callerGone(x) })
	defer stop()
	for {
		select {
		case o := <-x.orders:
			if o.finish != nil {
				a.finish(*o.finish)
				return
			}
			s.post(s.attempt(x, *o.dispatch, rq, a))
		case <-s.closed:
			a.finish(core.Finish{ID: ev.ID, Outcome: core.Unknown, Reason: core.ReasonStopping})
			return
		}
	}
}

func (s *Server) callerGone(x *exchange) {
	x.gone.Do(func() { s.post(core.CallerGone{ID: x.id}) })
}

// attempt carries out one dispatch and returns the event that ends it.
func (s *Server) attempt(x *exchange, d core.Dispatch, rq *upstream.Request, a answer) core.Event {
	ctx, cancel := x.start(d.Attempt)
	defer cancel(nil)
	if !a.restart(d) {
		return core.AttemptNotSent{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseCancelled}
	}
	return s.runner.Run(ctx, d, rq, a, func(st core.AttemptStarted) { s.post(st) })
}

// request is a caller's request whose form is being checked.
type request struct {
	w    http.ResponseWriter
	r    *http.Request
	id   fleet.RequestID
	key  string // hash of the bearer key
	body []byte
}

// receive reads a request and passes it to next, or refuses it. A request counts
// as in progress from the moment that it has arrived whole.
func (s *Server) receive(next func(rq *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rq := &request{w: w, r: r, id: newRequestID()}
		w.Header().Set(headerRequestID, string(rq.id))
		defer s.boundFlush(w)
		var ok bool
		if rq.key, ok = keyHash(r); !ok {
			refuse(w, rq.id, &formError{core.ReasonUnauthenticated, "a bearer key is missing"})
			return
		}
		b, err := s.readBody(w, r)
		if err != nil {
			refuse(w, rq.id, err)
			return
		}
		defer b.release()
		rq.body = b.bytes
		if err := next(rq); err != nil {
			refuse(w, rq.id, err)
		}
	}
}

// boundFlush bounds the writing of what the server still holds of an answer.
func (s *Server) boundFlush(w http.ResponseWriter) {
	// Not every ResponseWriter has deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout))
}

// open registers a request until the returned function is called.
func (s *Server) open(id fleet.RequestID) (*exchange, func(), error) {
	x := s.exchanges.add(id)
	if x == nil {
		return nil, nil, &formError{core.ReasonOverloaded, "too many requests in progress"}
	}
	return x, func() { s.exchanges.remove(id) }, nil
}
