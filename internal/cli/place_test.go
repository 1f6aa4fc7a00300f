package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// startPlaceFleet starts fake operators' listeners of the gateways g-1 and g-2 at the same port of two addresses, and returns the
// first one's. Both know a third gateway, at whose address nothing listens.
func startPlaceFleet(t *testing.T) string {
	t.Helper()
	first := httptest.NewServer(placeFleetMember("g-1"))
	t.Cleanup(first.Close)
	addr := strings.TrimPrefix(first.URL, "http://")
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.2:"+port)
	if err != nil {
		t.Fatal(err)
	}
	second := httptest.NewUnstartedServer(placeFleetMember("g-2"))
	_ = second.Listener.Close()
	second.Listener = l
	second.Start()
	t.Cleanup(second.Close)
	return addr
}

// placeFleetMember is a fake operators' listener of a gateway. The path of the request that is asked about selects the answer.
func placeFleetMember(id fleet.InstanceID) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/dump" {
			fmt.Fprint(w, `{"members": [{"id": "g-1", "control_addr": "127.0.0.1:7"}, {"id": "g-2", "control_addr": "127.0.0.2:7"}, {"id": "g-3", "control_addr": "127.0.0.3:7"}]}`)
			return
		}
		q := r.URL.Query()
		switch {
		case r.URL.Path != "/place" || q.Get("path") == "/old":
			http.NotFound(w, r)
		case q.Get("path") == "/often":
			http.Error(w, "too many queries", http.StatusTooManyRequests)
		case q.Get("parts") == "x":
			http.Error(w, `parts has the entry "x", want ID:TOKENS`, http.StatusBadRequest)
		default:
			_ = json.NewEncoder(w).Encode(fakeExplanation(id, q.Get("path"), q.Get("workspace")))
		}
	}
}

func fakeExplanation(id fleet.InstanceID, path, workspace string) control.Explanation {
	x := control.Explanation{Gateway: id, DataCentre: "a", Conditions: []control.Condition{}, Revision: 7, StoreAgeMS: 40, Services: []control.ServiceShare{}, Rule: "none"}
	if path == "/starting" {
		x.Conditions = []control.Condition{control.ConditionStarting}
		x.Decision = control.ExplainedDecision{Reason: "no_config", RetryAfterMS: 500}
		return x
	}
	rank, share, bound := []int{0, 1, 2}, []float64{0.75, 0.25}, 4.5
	x.Route, x.Kind, x.Workspace, x.Priority, x.TimeLimitMS = "chat", "streaming", fleet.WorkspaceID(workspace), 2, 5000
	x.Service, x.MeanLoad, x.PeerCountsAgeMS = "llm", 2.5, 60
	x.Endpoints = []control.EndpointExplanation{
		{Position: 1, Endpoint: "e-2", DataCentre: "a", Load: 2, Unreported: 1, InFlight: 1, PeersInFlight: 1},
		{Position: 2, Endpoint: "e-3", DataCentre: "b", Load: 3, PeersInFlight: 3, Reported: &control.ReportedLoad{Running: 2, AgeMS: 900}},
		{Position: 3, Endpoint: "e-1", DataCentre: "a", Excluded: "paused", ExcludedForMS: 350, Load: 19, Reported: &control.ReportedLoad{Running: 16, Waiting: 3, AgeMS: 100, Used: true}},
	}
	if path == "/random" {
		x.Rule, x.Decision.Random = "random", true
		x.Endpoints[0].Share, x.Endpoints[1].Share = &share[0], &share[1]
		return x
	}
	x.Rule, x.LoadBound, x.Decision.Endpoint = "affinity", &bound, "e-2"
	for i, r := range []int{1, 2, 0} {
		x.Endpoints[i].Rank = &rank[r]
	}
	if id == "g-2" {
		x.Revision, x.Decision.Endpoint = 6, "e-1"
		x.Endpoints[2].Excluded, x.Endpoints[2].ExcludedForMS = "", 0
		x.Conditions = []control.Condition{control.ConditionOutdated}
	}
	return x
}

// TestPlaceTableUnderLoad: estimated times, the decision under contention and the workspace's share are shown, and control
// characters of any text are not.
func TestPlaceTableUnderLoad(t *testing.T) {
	x := fakeExplanation("g-\x1b[2J", "/chat/", "w")
	age, running := int64(80), 9
	x.Endpoints[0].Times = &control.EstimatedTimes{TotalMS: 130, WaitMS: 100, ReadMS: 25, DistanceMS: 5, PendingReadMS: 41, SpeedPercent: 250, SpeedAgeMS: &age, Compared: true}
	x.Endpoints[1].Times = &control.EstimatedTimes{SpeedPercent: 100}
	x.WorkspaceShare = &control.WorkspaceShare{Running: &running, Share: 0.125, AgeMS: 200}
	x.Contention = &control.ContentionDecision{SinceMS: 1500, Utilization: 1.6, Target: 1.1, AdmittedShare: 0.7, Rank: 3, Probability: 0.34, Reason: "share", RetryAfterMS: 800}
	x.Endpoints[1].Excluded = "\u009bbound"
	var out bytes.Buffer
	if err := writePlace(&out, &x); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"first_event_ms", "100+25+5", "250% (80 ms old)", "12% of the workspace's requests are within its share; it runs 9 requests (200 ms old)", "contended for 1500 ms", "?bound",
		"pending_prefill_ms", "41", "decision: e-2, if admitted: 34%, otherwise rejected: contention (share), Retry-After about 0.80 s\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "100%") {
		t.Errorf("a speed that was not reported is shown in\n%s", out.String())
	}
	if strings.ContainsAny(out.String(), "\x1b\u009b") {
		t.Errorf("control characters in %q", out.String())
	}
}
