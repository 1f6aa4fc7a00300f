package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// callerResponse writes the response to a caller. It receives the responses of the successive attempts, and ends when
// the core finishes the request.
type callerResponse interface {
	upstream.ResponseSink
	// prepareAttempt prepares for the response of an attempt. It returns false when that response cannot
	// continue what has already been sent to the caller.
	prepareAttempt(d core.Dispatch) bool
	// finish completes the response after the core has finished the request.
	finish(f core.Finish)
}

// serve posts a request to the core and executes the core's commands for it until the request is finished.
func (s *Server) serve(r *http.Request, x *exchange, ev core.CallerRequest, up *upstream.Request, resp callerResponse) {
	s.post(ev) // before CallerGone can be posted, because the core ignores events of unknown requests
	stop := context.AfterFunc(r.Context(), func() { s.postCallerGone(x) })
	defer stop()
	for {
		select {
		case cmd := <-x.commands:
			if cmd.finish != nil {
				resp.finish(*cmd.finish)
				return
			}
			s.post(s.runAttempt(x, *cmd.dispatch, up, resp))
		case <-s.closed:
			resp.finish(core.Finish{ID: ev.ID, Outcome: core.Unknown, Reason: core.ReasonStopping})
			return
		}
	}
}

func (s *Server) postCallerGone(x *exchange) {
	x.goneOnce.Do(func() { s.post(core.CallerGone{ID: x.id}) })
}

// runAttempt runs one dispatched attempt and returns the event that ends it.
func (s *Server) runAttempt(x *exchange, d core.Dispatch, up *upstream.Request, resp callerResponse) core.Event {
	ctx, cancel := x.startAttempt(d.Attempt)
	defer cancel(nil)
	if !resp.prepareAttempt(d) {
		return core.AttemptNotSent{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseCancelled}
	}
	return s.runner.Run(ctx, d, up, resp, func(st core.AttemptStarted) { s.post(st) })
}

// request is a caller's request during validation.
type request struct {
	w       http.ResponseWriter
	r       *http.Request
	id      fleet.RequestID
	keyHash string // hash of the bearer key
	body    []byte
}

// receive returns a handler that checks that a request has a bearer key, reads its body and calls next. It rejects
// the request if a step fails. A request counts as in progress only after its body has been read.
func (s *Server) receive(next func(rq *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rq := &request{w: w, r: r, id: newRequestID()}
		w.Header().Set(headerRequestID, string(rq.id))
		defer s.setFinalWriteDeadline(w)
		var ok bool
		if rq.keyHash, ok = bearerKeyHash(r); !ok {
			reject(w, rq.id, &requestError{core.ReasonUnauthenticated, "a bearer key is missing"})
			return
		}
		b, err := s.readBody(w, r)
		if err != nil {
			reject(w, rq.id, err)
			return
		}
		defer b.release()
		rq.body = b.bytes
		if err := next(rq); err != nil {
			reject(w, rq.id, err)
		}
	}
}

// setFinalWriteDeadline limits the time of the flush that net/http does after the handler returns.
func (s *Server) setFinalWriteDeadline(w http.ResponseWriter) {
	// Not every ResponseWriter supports deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout))
}

// openExchange registers a request as in progress. The returned function removes it.
func (s *Server) openExchange(id fleet.RequestID) (*exchange, func(), error) {
	x := s.exchanges.add(id)
	if x == nil {
		return nil, nil, &requestError{core.ReasonOverloaded, "too many requests in progress"}
	}
	return x, func() { s.exchanges.remove(id) }, nil
}
