package callers

import (
	"encoding/json"
	"net/http"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

const (
	maxTicketBatch      = 256
	maxTicketsBodyBytes = 1 << 10
	defaultTicketCount  = 1
)

type ticketsRequest struct {
	Count int `json:"count"`
}

type ticketsResponse struct {
	Tickets    []string `json:"tickets"`
	TTLSeconds int64    `json:"ttl_seconds"`
}

// handleTickets serves POST /v1/tickets.
func (s *Server) handleTickets(rq *request) error {
	count, err := ticketCount(rq.body)
	if err != nil {
		return err
	}
	x, closeExchange, err := s.openExchange(rq.id)
	if err != nil {
		return err
	}
	defer closeExchange()
	s.post(core.TicketRequest{ID: x.id, APIKeyHash: rq.keyHash, Count: count})
	select {
	case cmd := <-x.commands:
		writeTickets(rq.w, x, cmd)
		return nil
	case <-s.closed:
		return &requestError{core.ReasonStopping, "this router stops"}
	}
}

func ticketCount(b []byte) (int, error) {
	rq := ticketsRequest{Count: defaultTicketCount}
	if len(b) > maxTicketsBodyBytes {
		return 0, &requestError{ReasonTooLarge, "the body is too large"}
	}
	if len(b) > 0 && json.Unmarshal(b, &rq) != nil {
		return 0, badRequest("the body is not a ticket request in JSON")
	}
	if rq.Count < 1 || rq.Count > maxTicketBatch {
		return 0, badRequest("count is out of range")
	}
	return rq.Count, nil
}

func writeTickets(w http.ResponseWriter, x *exchange, cmd command) {
	switch {
	case cmd.finish != nil:
		newProblem(*cmd.finish, "").write(w)
	case cmd.tickets.Reason != core.ReasonNone:
		newProblem(core.Finish{ID: x.id, Outcome: core.NotRun, Reason: cmd.tickets.Reason}, "").write(w)
	default:
		response := ticketsResponse{Tickets: cmd.tickets.Tickets, TTLSeconds: int64(cmd.tickets.TTL.Seconds())}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		// A write error means that the caller disconnected; unused tickets expire.
		_ = json.NewEncoder(w).Encode(response)
	}
}
