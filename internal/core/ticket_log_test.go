package core_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// TestOnlyRefusedTicketsAreLogged redeems a ticket, repeats the request, and reuses the
// ticket for a different request. Only the last is logged as refused.
func TestOnlyRefusedTicketsAreLogged(t *testing.T) {
	w := coretest.New(1)
	w.Build(coretest.Coulee)
	w.Run(10 * time.Second)
	key := coretest.KeyHash(coretest.WorkspaceID(0))
	var ticket string
	w.RequestTickets(w.Nodes[0], key, 1, func(a core.TicketReply) { ticket = a.Tickets[0] })
	refused := 0
	w.OnLog = func(_ *coretest.Node, e event.Number, _ string) {
		if e == event.TicketRefused {
			refused++
		}
	}
	for _, tt := range []struct {
		requestHash uint64
		outcome     core.Outcome
		reason      core.Reason
		refused     int
	}{
		{1, core.Answered, core.ReasonNone, 0},
		{1, core.Answered, core.ReasonNone, 0},
		{2, core.NotRun, core.ReasonTicketMismatch, 1},
	} {
		var got core.Finish
		w.Request(w.Nodes[1], core.CallerRequest{APIKeyHash: key, Service: coretest.GateService, Ticket: ticket, RequestHash: tt.requestHash}, func(f core.Finish) { got = f })
		w.Run(10 * time.Second)
		if got.Outcome != tt.outcome || got.Reason != tt.reason || refused != tt.refused {
			t.Errorf("request hash %d: %s %s, %d refusals logged, want %+v", tt.requestHash, got.Outcome, got.Reason, refused, tt)
		}
	}
}
