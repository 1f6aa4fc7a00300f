package control

import (
	"encoding/json"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

func explainChat(req PlacementRequest) ExplainRequest {
	return ExplainRequest{
		Host: "h", Path: "/chat/x", Workspace: "w", Placement: req,
		PromptTokens: req.Cost.PromptTokens, SharedTokens: req.Cost.SharedTokens, MaxOutputTokens: req.Cost.MaxOutputTokens, LengthHint: req.Cost.LengthHint,
	}
}

// TestExplainAgreesWithPlace guards against an explanation that names another endpoint, rejection or probability than the
// placement of the same request in the same state.
func TestExplainAgreesWithPlace(t *testing.T) {
	checkExplainAgreesWithPlace(t, randomPlacement)
}

// checkExplainAgreesWithPlace compares explanations with placements in random states. It returns the explanations.
func checkExplainAgreesWithPlace(t *testing.T, generate func(seed uint64) (*State, boottime.Instant, PlacementRequest)) (explained []Explanation) {
	t.Helper()
	random := 0
	for seed := range uint64(randomPlacements) {
		s, now, req := generate(seed)
		x := s.Explain(now, explainChat(req))
		explained = append(explained, x)
		other, _, _ := generate(seed)
		number := other.rng.Float64()
		p := s.Place(now, req)
		if p.Reason != ReasonNone {
			d := time.Duration(x.Decision.RetryAfterMS) * time.Millisecond
			if x.Decision.Reason != p.Reason.String() || p.RetryAfter < d*3/4 || p.RetryAfter > d*5/4+time.Millisecond {
				t.Fatalf("seed %d: explained as %+v, placed as %+v", seed, x.Decision, p)
			}
			continue
		}
		want := x.Decision.Endpoint
		if x.Decision.Random {
			random++
			want = drawn(x, number)
		}
		if p.Attempt.Endpoint != want {
			t.Fatalf("seed %d: explained %s (%+v), placed at %s", seed, want, x.Decision, p.Attempt.Endpoint)
		}
	}
	if random < randomPlacements/50 {
		t.Errorf("only %d random choices", random)
	}
	return explained
}

// drawn returns the endpoint that a random number draws from the shares of an explanation.
func drawn(x Explanation, number float64) fleet.EndpointID {
	shares := slices.DeleteFunc(slices.Clone(x.Endpoints), func(e EndpointExplanation) bool { return e.Share == nil })
	slices.SortFunc(shares, func(a, b EndpointExplanation) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	for _, e := range shares {
		if number -= *e.Share; number < 0 {
			return e.Endpoint
		}
	}
	return ""
}

// TestExplainChangesNothing guards against effects of an explanation: probes, random numbers, counters, caches and actions.
func TestExplainChangesNothing(t *testing.T) {
	checkExplainChangesNothing(t, randomPlacement)
}

func checkExplainChangesNothing(t *testing.T, generate func(seed uint64) (*State, boottime.Instant, PlacementRequest)) {
	t.Helper()
	for seed := range uint64(600) {
		s, now, req := generate(seed)
		untouched, _, _ := generate(seed)
		if !reflect.DeepEqual(s, untouched) {
			t.Fatalf("seed %d: two equal states differ, so that the test shows nothing", seed)
		}
		req.Stream = []fleet.RequestID{"", "stream"}[seed%2]
		for _, path := range []string{"/chat/x", "/two/x", "/none"} {
			s.Explain(now, ExplainRequest{Host: "h", Path: path, Workspace: []fleet.WorkspaceID{"", "w", "unknown"}[seed%3], Placement: req})
		}
		if !reflect.DeepEqual(s, untouched) {
			t.Fatalf("seed %d: the state has changed", seed)
		}
	}
}

// TestExplanationOfExclusions: each endpoint is listed once with the first reason that excludes it, the chosen one first, and
// the document has no API key.
func TestExplanationOfExclusions(t *testing.T) {
	s, now := explainedState(t)
	s.services["s"][0].health.down = true
	s.services["s"][1].noRequestsUntil = now.Add(400 * time.Millisecond)
	s.services["s"][2].announcedLeaving = true
	s.services["s"][3].reported = reportedLoad{LoadReport: LoadReport{Running: 60, Waiting: 3}, at: now.Add(-100 * time.Millisecond)}
	x := s.Explain(now, ExplainRequest{Host: "h", Path: "/chat/x", Workspace: "w", Placement: PlacementRequest{Affinity: affinityOf(s.services["s"][3]), Tried: []fleet.EndpointID{"e-4"}}})
	got := map[fleet.EndpointID]string{}
	for _, e := range x.Endpoints {
		got[e.Endpoint] = e.Excluded
	}
	want := map[fleet.EndpointID]string{"e-0": "down", "e-1": "paused", "e-2": "leaving", "e-3": "bound", "e-4": "tried", "e-5": ""}
	if !reflect.DeepEqual(got, want) || x.Decision.Endpoint != "e-5" || x.Endpoints[0].Endpoint != "e-5" || x.Rule != "affinity" {
		t.Errorf("excluded %v, want %v; decision %+v", got, want, x.Decision)
	}
	if x.Workspace != "w" || x.Priority != s.table.Priority(s.table.WorkspaceByID("w"), s.table.Route("h", "/chat/x"), false) || x.Route != "chat" || len(x.Conditions) != 0 {
		t.Errorf("%+v", x)
	}
	for _, e := range x.Endpoints {
		if e.Endpoint == "e-3" && (e.Reported == nil || e.Reported.AgeMS != 100 || e.Rank == nil || *e.Rank != 0) || e.Endpoint == "e-1" && e.ExcludedForMS != 400 {
			t.Errorf("%+v", e)
		}
	}
	doc, err := json.Marshal(x)
	if err != nil || strings.Contains(string(doc), "secret-key") {
		t.Errorf("%s, error %v", doc, err)
	}
}

// affinityOf returns an affinity whose rendezvous order an endpoint leads.
func affinityOf(e *endpoint) uint64 {
	for a := uint64(1); ; a++ {
		best := true
		for _, id := range []string{"e-0", "e-1", "e-2", "e-3", "e-4", "e-5"} {
			best = best && fleet.Weight(a, fleet.Hash(id)) <= fleet.Weight(a, e.hash)
		}
		if best {
			return a
		}
	}
}

// explainedState returns the state of a single gateway with six sound endpoints.
func explainedState(t *testing.T) (*State, boottime.Instant) {
	t.Helper()
	s := New(testStart, Options{
		Self: mesh.Member{ID: "g-1", DataCentre: "a"}, Protocol: publishedtest.Protocol{}, LoadMultiple: 2, RetryWindow: 10 * time.Second, FirstStart: true,
		StrictRevoke: true, AuthStalenessBound: 4 * time.Second, DenialStalenessBound: 2 * time.Second,
	})
	s.join.seedReplied = true
	items := []published.Item{publishedtest.Config(&routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Streaming, Priority: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}},
			{Name: "two", Host: "h", Prefix: "/two/", Kind: routing.Idempotent, Targets: []routing.Target{{Service: "s", Weight: 1}, {Service: "other", Weight: 3}}},
		},
		Services:   []routing.Service{{ID: "s", Slots: 16}, {ID: "other"}},
		Workspaces: []routing.Workspace{{ID: "w", Keys: []string{"secret-key"}, Priority: 2, HasPriority: true}},
	})}
	for _, id := range []fleet.EndpointID{"e-0", "e-1", "e-2", "e-3", "e-4", "e-5"} {
		items = append(items, publishedtest.Endpoint(fleet.Endpoint{ID: id, Service: "s", Addr: "10.0.0.1:80", DataCentre: "a", Version: "v1", Incarnation: 1}, 1))
	}
	for i := range items {
		items[i].Revision = fleet.Revision(5 + i)
	}
	s.ReadDone(testStart, published.Update{Revision: 20, Confirmed: testStart, Items: items})
	return s, testStart.Add(time.Second)
}

// TestExplainedServices: a random choice of the service is shown as shares, and the endpoints are those of the likeliest service
// or of the one that is asked for.
func TestExplainedServices(t *testing.T) {
	s, now := explainedState(t)
	x := s.Explain(now, ExplainRequest{Host: "h", Path: "/two/x"})
	if x.Service != "other" || len(x.Services) != 2 || math.Abs(x.Services[0].Share-0.25) > 1e-9 || x.Decision.Reason != "no_endpoint" {
		t.Errorf("%+v", x)
	}
	x = s.Explain(now, ExplainRequest{Host: "h", Path: "/two/x", Placement: PlacementRequest{Service: "s"}})
	if x.Service != "s" || !x.Decision.Random || len(x.Endpoints) != 6 {
		t.Errorf("%+v", x)
	}
	x = s.Explain(now, ExplainRequest{Host: "h", Path: "/chat/x", Placement: PlacementRequest{Service: "other"}})
	if x.Decision.Reason != "no_route" || len(x.Endpoints) != 0 {
		t.Errorf("a service that the route does not have: %+v", x)
	}
}

// TestExplainedConditions: a gateway that starts, or whose copy of the store is old, says so, and rejects as Admit does.
func TestExplainedConditions(t *testing.T) {
	start := newTestState().Explain(testStart, ExplainRequest{Host: "h", Path: "/"})
	if !slices.Contains(start.Conditions, ConditionStarting) || start.Decision.Reason != "no_config" || start.Decision.RetryAfterMS == 0 {
		t.Errorf("%+v", start)
	}
	s, _ := explainedState(t)
	for _, tc := range []struct {
		age       time.Duration
		failing   bool
		path      string
		workspace fleet.WorkspaceID
		reason    string
		want      []Condition
	}{
		{time.Second, true, "/chat/x", "w", "", []Condition{}},
		{time.Second, false, "/none", "w", "no_route", []Condition{}},
		{time.Second, false, "/chat/x", "unknown", "unauthenticated", []Condition{}},
		{3 * time.Second, false, "/none", "w", "stale_config", []Condition{ConditionOutdated}},
		{3 * time.Second, true, "/chat/x", "w", "", []Condition{ConditionCutOff, ConditionOutdated}},
		{5 * time.Second, true, "/chat/x", "w", "stale_config", []Condition{ConditionCutOff, ConditionOutdated}},
		{5 * time.Second, true, "/chat/x", "", "stale_config", []Condition{ConditionCutOff, ConditionOutdated}},
	} {
		s.reader.failing = tc.failing
		x := s.Explain(testStart.Add(tc.age), ExplainRequest{Host: "h", Path: tc.path, Workspace: tc.workspace})
		if x.Decision.Reason != tc.reason || !slices.Equal(x.Conditions, tc.want) {
			t.Errorf("%+v: conditions %q, decision %+v", tc, x.Conditions, x.Decision)
		}
	}
}
