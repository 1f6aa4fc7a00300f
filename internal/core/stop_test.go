package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// TestHandoverIsLoggedOnce checks the log details of a planned stop with and without a
// peer that can take over the records.
func TestHandoverIsLoggedOnce(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		want      string
	}{
		{"with a peer", 2, "2 groups of records passed on, 0 given up"},
		{"alone", 1, "0 groups of records passed on, 1 given up"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := coretest.New(1)
			w.Build(coretest.Shape{Regions: 1, DataCentres: 1, Instances: tt.instances, Engines: 1, Models: 1, Workspaces: 1, Capacity: 4})
			w.Run(10 * time.Second)
			w.RequestTickets(w.Nodes[0], coretest.KeyHash(coretest.WorkspaceID(0)), 3, func(core.TicketReply) {})
			var got []string
			w.OnLog = func(n *coretest.Node, e event.Number, detail string) {
				if n == w.Nodes[0] && (e == event.HandoverSent || e == event.ProcessStopped) {
					got = append(got, detail)
				}
			}
			w.Nodes[0].Stop()
			w.Run(20 * time.Second)
			if want := []string{tt.want, "0 requests cut off"}; !slices.Equal(got, want) {
				t.Errorf("logged %q, want %q", got, want)
			}
		})
	}
}
