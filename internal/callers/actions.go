package callers

import (
	"context"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

var errCommandQueueFull = errors.New("callers: command queue of a request is full; the core sent more commands than can be outstanding")

// Dispatch queues an attempt for the handler of its request. If the request is no longer in progress, it posts
// core.AttemptNotSent.
func (s *Server) Dispatch(d core.Dispatch) {
	if s.enqueue(d.ID, command{dispatch: &d}) {
		return
	}
	// The core's goroutine calls this method and also receives posted events, so a blocking post would deadlock.
	go s.post(core.AttemptNotSent{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseCancelled})
}

// CancelAttempt cancels an attempt and, for a stream of an engine, requests the engine to cancel the stream.
func (s *Server) CancelAttempt(c core.CancelAttempt) {
	if x := s.exchanges.get(c.ID); x != nil {
		x.cancelAttempt(c.Attempt)
	}
	if c.Kind == fleet.Engine && c.Stream != "" {
		// The error is ignored: an engine that does not receive the request ends the stream once its reader disconnects.
		go func() { _ = s.runner.CancelStream(context.Background(), c.Addr, c.Stream) }()
	}
}

// Finish ends a request: it cancels the running attempt and queues the final response for the handler.
func (s *Server) Finish(f core.Finish) {
	if x := s.exchanges.get(f.ID); x != nil {
		x.finish()
	}
	s.enqueue(f.ID, command{finish: &f})
}

// IssueTickets queues the result of a ticket request for its handler.
func (s *Server) IssueTickets(t core.TicketReply) {
	s.enqueue(t.ID, command{tickets: &t})
}

func (s *Server) enqueue(id fleet.RequestID, cmd command) bool {
	x := s.exchanges.get(id)
	if x == nil {
		return false
	}
	select {
	case x.commands <- cmd:
		return true
	default:
		panic(errCommandQueueFull)
	}
}
