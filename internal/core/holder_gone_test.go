package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TestHolderThatIsGoneEndsPending kills a router that runs a request under a ticket issued
// by another router. A repeated request must get ReasonTicketPending only while the killed
// router may still settle the ticket.
func TestHolderThatIsGoneEndsPending(t *testing.T) {
	unlist := func(w *faultyWorld, n *coretest.Node) {
		w.Platform.PublishInstances(slices.DeleteFunc(slices.Clone(w.Platform.Instances()), func(in fleet.Instance) bool {
			return in.ID == n.ID
		}))
	}
	for _, tc := range []struct {
		name  string
		after func(*faultyWorld, *coretest.Node)
		want  core.Reason
	}{
		{"silent", func(*faultyWorld, *coretest.Node) {}, core.ReasonTicketPending},
		{"started anew", func(_ *faultyWorld, n *coretest.Node) { n.Start() }, core.ReasonIssuerGone},
		{"not listed", unlist, core.ReasonIssuerGone},
	} {
		w := newFaultyWorld(4, 10*time.Second)
		for _, e := range w.Endpoints {
			e.Serve = func(*coretest.Endpoint, core.Dispatch, bool) time.Duration { return 3 * time.Second }
		}
		issuer, holder, other := w.Nodes[0], w.Nodes[1], w.Nodes[2]
		j := &job{}
		w.RequestTickets(issuer, coretest.KeyHash(coretest.WorkspaceID(0)), 1, func(a core.TicketReply) { j.ticket = a.Tickets[0] })
		send := func(n *coretest.Node) *attempt {
			a := &attempt{id: w.NextID(), call: w.Now()}
			j.attempts = append(j.attempts, a)
			w.Request(n, core.CallerRequest{
				ID: a.id, APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Service: coretest.GateService, Ticket: j.ticket, RequestHash: 7,
			}, func(f core.Finish) { a.finish, a.ret = f, w.Now(); a.finishes++ })
			return a
		}
		send(holder)
		w.Run(time.Second)
		holder.Kill()
		tc.after(w, holder)
		w.Run(10 * time.Second)
		a := send(other)
		w.Run(time.Second)
		if a.finish.Outcome != core.Unknown || a.finish.Reason != tc.want {
			t.Errorf("%s: %v %s, want %s", tc.name, a.finish.Outcome, a.finish.Reason, tc.want)
		}
		w.check(t, j)
		if n := j.runs(w.World); n != 1 {
			t.Errorf("%s: ran %d times", tc.name, n)
		}
	}
}
