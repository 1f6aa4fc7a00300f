package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/placement"
)

// TestExplainNamesTheInputs checks the placement inputs in the explanation, for each way
// in which a hint can be used or ignored.
func TestExplainNamesTheInputs(t *testing.T) {
	w := limitedFleet(t)
	pool := fleet.Pool{Region: "region-1", Model: coretest.ModelID(0)}
	view := fleet.NewView(new(w.Platform.Config()), nil, &fleet.EndpointList{Endpoints: w.Platform.Endpoints()})
	hint := func(id fleet.EndpointID, age time.Duration) string {
		return placement.Hint{Endpoint: id, Issued: w.Now().Add(-age).Unix()}.Format()
	}
	tests := []struct {
		hint, want string
		first      bool // the hinted endpoint serves the request
	}{
		{"", "none given", false},
		{"?", "not used: malformed", false},
		{hint("e005", 2*time.Hour), "not used: older than 1h0m0s", false},
		{hint("s001", 0), "not used: endpoint s001 is not in service or not of the request's pools", false},
		{hint("e005", 0), "used: endpoint e005 first", true},
	}
	for i, tt := range tests {
		ranked := placement.Rank(view, pool, uint64(i), w.Nodes[0].DC)
		id := w.Request(w.Nodes[0], core.CallerRequest{
			APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(i)), Model: pool.Model, Idempotent: true, Hint: tt.hint, Affinity: uint64(i), MaxTokens: 10,
		}, nil)
		w.Run(20 * time.Second)
		e, ok := w.Nodes[0].Core.Explain(id)
		if !ok || e.Hint != tt.want || e.QuotaDecision != "granted" || e.DeadlineMS != 60_000 || e.WaitedMS < 1 || e.WaitedMS > 500 {
			t.Errorf("hint %q: %+v", tt.want, e)
		}
		if want := []fleet.EndpointID{ranked[0].ID, ranked[1].ID, ranked[2].ID, ranked[3].ID}; !slices.Equal(e.Ranked, want) {
			t.Errorf("ranked %v, want %v", e.Ranked, want)
		}
		served := ranked[0].ID
		if tt.first {
			served = "e005"
		}
		if e.Endpoint != served {
			t.Errorf("hint %q: served by %s, want %s", tt.want, e.Endpoint, served)
		}
	}
}

// TestExplainTellsWhatLimitsDecided exceeds the limits of one workspace.
func TestExplainTellsWhatLimitsDecided(t *testing.T) {
	w := limitedFleet(t)
	seen := map[string]core.Reason{}
	ask := func(key string) {
		id := w.NextID()
		w.Request(w.Nodes[0], core.CallerRequest{ID: id, APIKeyHash: key, Model: coretest.ModelID(0), Idempotent: true, MaxTokens: 10}, func(f core.Finish) {
			e, _ := w.Nodes[0].Core.Explain(id)
			seen[e.QuotaDecision] = f.Reason
		})
		if e, ok := w.Nodes[0].Core.Explain(id); ok && e.Outcome == "" {
			seen[e.QuotaDecision] = ""
		}
	}
	ask("stranger")
	for range 40 {
		ask(coretest.KeyHash(coretest.WorkspaceID(0)))
	}
	w.Run(20 * time.Second)
	want := map[string]core.Reason{"not asked": core.ReasonUnauthenticated, "not decided": "", "granted": "", "refused": core.ReasonRateLimited}
	for decision, reason := range want {
		if got, ok := seen[decision]; !ok || got != reason {
			t.Errorf("limits %q: reason %q, seen %t, want %q", decision, got, ok, reason)
		}
	}
}
