package lists

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

var (
	hashA = strings.Repeat("a", 64)
	hashB = strings.Repeat("b", 64)

	goodPlans = "[[workspace]]\nid = 'w1'\nplan = 'gold'\nkeys = ['sha256:" + hashA + "', 'sha256:" + hashB + "']\n"
	goodEnts  = "[[plan]]\nid = 'gold'\nmodels = ['m']\nservices = ['s']\npriority = 9\n[plan.limits]\nrequests_per_second = 2\ntokens_per_second = 1.5\nconcurrent = 3\n"
	goodState = "[[data_centre]]\nid = 'a'\nregion = 'r'\n[[data_centre]]\nid = 'b'\nregion = 'r'\nin_service = false\n[[endpoint]]\nid = 'e1'\nin_service = false\n[[endpoint]]\nid = 'e2'\n"
)

func TestParseBuildsTheConfiguration(t *testing.T) {
	got, faults := Parse(7, goodPlans, goodEnts, goodState)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := &fleet.Configuration{
		Revision:   7,
		Workspaces: map[fleet.WorkspaceID]fleet.Workspace{"w1": {ID: "w1", Plan: "gold", KeyHashes: []string{hashA, hashB}}},
		Plans: map[fleet.PlanID]fleet.Plan{"gold": {ID: "gold", Models: []fleet.ModelID{"m"}, Services: []fleet.ServiceID{"s"}, Priority: 9,
			Limits: fleet.Limits{RequestsPerSecond: 2, TokensPerSecond: 1.5, Concurrent: 3}}},
		DataCentres:           map[fleet.DataCentreID]fleet.DataCentre{"a": {ID: "a", Region: "r"}, "b": {ID: "b", Region: "r", OutOfService: true}},
		EndpointsOutOfService: map[fleet.EndpointID]bool{"e1": true},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

func TestEachFaultIsFound(t *testing.T) {
	tests := []struct {
		name              string
		plans, ents, stat string // appended to the good lists; "-" empties one
		list              string
		line              int
	}{
		{name: "unknown key", plans: "colour = 1", list: Plans, line: 5},
		{name: "unknown plan", plans: "[[workspace]]\nid='x'\nplan='tin'\nkeys=['sha256:" + strings.Repeat("c", 64) + "']", list: Plans, line: 7},
		{name: "duplicate workspace", plans: "[[workspace]]\nplan='gold'\nid='w1'\nkeys=['sha256:" + strings.Repeat("c", 64) + "']", list: Plans, line: 7},
		{name: "key of two workspaces", plans: "[[workspace]]\nid='x'\nplan='gold'\nkeys=['sha256:" + hashA + "']", list: Plans, line: 8},
		{name: "key itself", plans: "[[workspace]]\nid='x'\nplan='gold'\nkeys=['secret']", list: Plans, line: 8},
		{name: "short hash", plans: "[[workspace]]\nid='x'\nplan='gold'\nkeys=['sha256:abc']", list: Plans, line: 8},
		{name: "no workspace", plans: "-", list: Plans, line: 1},
		{name: "syntax", plans: "[[workspace", list: Plans, line: 5},
		{name: "no plan id", ents: "[[plan]]\nmodels=['m']", list: Entitlements, line: 10},
		{name: "duplicate plan", ents: "[[plan]]\nid='gold'\nmodels=['m']", list: Entitlements, line: 11},
		{name: "duplicate model", ents: "[[plan]]\nid='x'\nmodels=['m',\n'm']", list: Entitlements, line: 13},
		{name: "no plan", ents: "-", list: Entitlements, line: 1},
		{name: "duplicate service", ents: "[[plan]]\nid='x'\nservices=['s','s']", list: Entitlements, line: 12},
		{name: "bad model", ents: "[[plan]]\nid='x'\nmodels=['a b']", list: Entitlements, line: 12},
		{name: "negative rate", ents: "[[plan]]\nid='x'\nmodels=['m']\nlimits.requests_per_second = -1", list: Entitlements, line: 13},
		{name: "rate not a number", ents: "[[plan]]\nid='x'\nmodels=['m']\nlimits.tokens_per_second = nan", list: Entitlements, line: 13},
		{name: "negative concurrency", ents: "[[plan]]\nid='x'\nmodels=['m']\nlimits.concurrent = -1", list: Entitlements, line: 13},
		{name: "priority", ents: "[[plan]]\nid='x'\nmodels=['m']\npriority = 256", list: Entitlements, line: 13},
		{name: "no data centre", stat: "-", list: State, line: 1},
		{name: "no region", stat: "[[data_centre]]\nid='c'", list: State, line: 13},
		{name: "duplicate data centre", stat: "[[data_centre]]\nid='a'\nregion='r'", list: State, line: 14},
		{name: "duplicate endpoint", stat: "[[endpoint]]\nid='e1'", list: State, line: 14},
		{name: "wrong type", stat: "[[endpoint]]\nid='e3'\nin_service='no'", list: State, line: 15},
	}
	for _, tt := range tests {
		cfg, faults := Parse(1, edit(goodPlans, tt.plans), edit(goodEnts, tt.ents), edit(goodState, tt.stat))
		if cfg != nil || len(faults) != 1 || faults[0].File != tt.list || faults[0].Line != tt.line || faults[0].Fix == "" {
			t.Errorf("%s: faults %v, want one at %s:%d", tt.name, faults, tt.list, tt.line)
		}
	}
}

func edit(good, change string) string {
	if change == "-" {
		return ""
	}
	return good + change
}

func TestFaultsOfAllListsAtOnce(t *testing.T) {
	_, faults := Parse(1, "[[workspace]]\nid=1\n", "[[plan]]\nx=1\n", "y=1\n")
	var files []string
	for _, f := range faults {
		files = append(files, fmt.Sprint(f.File))
	}
	for _, list := range []string{Plans, Entitlements, State} {
		if !slices.Contains(files, list) {
			t.Errorf("no fault of %s in %v", list, faults)
		}
	}
}

func TestWarningsDoNotRefuse(t *testing.T) {
	tests := []struct{ name, plans, ents, state string }{
		{"all out", goodPlans, goodEnts, "[[data_centre]]\nid='a'\nregion='r'\nin_service=false\n"},
		{"no key", goodPlans + "[[workspace]]\nid='x'\nplan='gold'\n", goodEnts, goodState},
		{"nothing allowed", goodPlans, goodEnts + "[[plan]]\nid='x'\n", goodState},
	}
	for _, tt := range tests {
		cfg, faults := Parse(1, tt.plans, tt.ents, tt.state)
		if cfg == nil || len(faults) != 1 || !faults[0].Warning {
			t.Errorf("%s: %v, want one warning and a configuration", tt.name, faults)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(goodPlans, goodEnts, goodState)
	f.Add("", "[[plan]]\nid='a'\n[plan.limits]\nconcurrent=-1\n", "[[endpoint]]\nin_service=3\n")
	f.Fuzz(func(t *testing.T, plans, ents, state string) {
		cfg, faults := Parse(1, plans, ents, state)
		if (cfg != nil) == tomldoc.HasErrors(faults) {
			t.Fatalf("configuration %v with faults %v", cfg, faults)
		}
		if cfg == nil {
			return
		}
		checkAccepted(t, cfg)
	})
}

// checkAccepted holds an accepted configuration to what the rest of the router assumes.
func checkAccepted(t *testing.T, cfg *fleet.Configuration) {
	owner := map[string]fleet.WorkspaceID{}
	for id, w := range cfg.Workspaces {
		if _, ok := cfg.Plans[w.Plan]; !ok || id == "" {
			t.Errorf("workspace %q is on unknown plan %q", id, w.Plan)
		}
		for _, h := range w.KeyHashes {
			if other, ok := owner[h]; ok || len(h) != 64 {
				t.Errorf("key %q of %q and %q", h, id, other)
			}
			owner[h] = id
		}
	}
	for id, p := range cfg.Plans {
		l := p.Limits
		if !(l.RequestsPerSecond >= 0 && l.TokensPerSecond >= 0 && l.Concurrent >= 0) {
			t.Errorf("plan %q has limits %+v", id, l)
		}
	}
}
