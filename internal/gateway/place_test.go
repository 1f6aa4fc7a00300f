package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

func get(h http.Handler, target string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	return w
}

func explanation(t *testing.T, h http.Handler, target string) control.Explanation {
	t.Helper()
	w := get(h, target)
	var x control.Explanation
	if err := json.Unmarshal(w.Body.Bytes(), &x); err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, error %v: %s", w.Code, err, w.Body.String())
	}
	if strings.Contains(w.Body.String(), "secret-key") {
		t.Errorf("the key is in the answer: %s", w.Body.String())
	}
	return x
}

// TestPlaceQuery: a starting gateway says so; one with a configuration names the endpoint; a retried query gives the same answer.
func TestPlaceQuery(t *testing.T) {
	p, h := startOperatorListener(t)
	const target = "/place?host=h&path=/chat/x&workspace=w&parts=5c1e07a2:800,91bd3f06:410&tokens=1460,80&hint=40&deadline_ms=900.5&version=v1"
	if x := explanation(t, h, target); !slices.Contains(x.Conditions, control.ConditionStarting) || x.Decision.Reason != "no_config" || x.Decision.RetryAfterMS == 0 {
		t.Errorf("before the first configuration: %+v", x)
	}
	config := publishedtest.Config(&routing.Config{
		Version:    1,
		Routes:     []routing.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Streaming, Timeout: 5 * time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
		Workspaces: []routing.Workspace{{ID: "w", Keys: []string{"secret-key"}}},
	})
	endpoint := publishedtest.Endpoint(fleet.Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", DataCentre: "a", Version: "v1", Incarnation: 1}, 1)
	config.Revision, endpoint.Revision = 5, 6
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.ReadDone(now, published.Update{Revision: 7, Snapshot: true, Confirmed: now, Items: []published.Item{config, endpoint}})
	})
	for range 2 {
		x := explanation(t, h, target)
		if x.Decision.Endpoint != "e-1" || x.Workspace != "w" || x.Rule != "affinity" || x.TimeLimitMS != 900 || len(x.Endpoints) != 1 || x.Endpoints[0].InFlight != 0 {
			t.Errorf("%+v", x)
		}
	}
	if x := explanation(t, h, "/place?host=h&path=/chat/x&workspace=w&version=v2"); x.Decision.Reason != "version_gone" || x.Endpoints[0].Excluded != "version" {
		t.Errorf("%+v", x)
	}
}

// TestPlaceQueriesAreLimited: beyond the burst, queries are answered 429 and do not reach the control loop.
func TestPlaceQueriesAreLimited(t *testing.T) {
	_, h := startOperatorListener(t)
	limited := 0
	for range 3 * placeQueryBurst {
		if w := get(h, "/place?host=h&path=/"); w.Code == http.StatusTooManyRequests && w.Header().Get("Retry-After") != "" {
			limited++
		} else if w.Code != http.StatusOK {
			t.Fatalf("status %d: %s", w.Code, w.Body.String())
		}
	}
	if limited < placeQueryBurst {
		t.Errorf("%d of %d queries limited", limited, 3*placeQueryBurst)
	}
}

// TestMalformedPlaceQuery guards against queries that are explained as other requests than the operator means, and against values
// of unknown parameters, which may be keys, in the answer.
func TestMalformedPlaceQuery(t *testing.T) {
	for _, q := range []string{
		"", "host=h", "path=/x", "host=h&path=x", "host=h&path=/&key=secret-key", "host=h&path=/&host=i", "host=h&path=/&parts=xyz:1", "host=h&path=/&parts=1:-1",
		"host=h&path=/&tokens=a", "host=h&path=/&tokens=1,-1", "host=h&path=/&hint=x", "host=h&path=/&deadline_ms=soon", "host=h&path=/&deadline_ms=NaN",
		"host=h&path=/&deadline_ms=-1", "%zz=secret-key",
	} {
		if _, err := parsePlaceQuery(q); err == nil || strings.Contains(err.Error(), "secret-key") {
			t.Errorf("%q: error %v", q, err)
		}
	}
	req, err := parsePlaceQuery("host=h&path=/&parts=1:30,2:40,3:5&tokens=75,9&hint=4&deadline_ms=1e300")
	if err != nil || req.SharedTokens != 70 || req.PromptTokens != 75 || req.MaxOutputTokens != 9 || req.LengthHint != 4 || req.CallerTimeout != maxPlaceDeadline || req.Placement.Affinity == 0 {
		t.Errorf("%+v, error %v", req, err)
	}
}

// TestPlaceQueryOfEndedLoop: a gateway whose control loop has ended says so instead of answering with an empty document.
func TestPlaceQueryOfEndedLoop(t *testing.T) {
	p := &process{}
	p.loop = newLoop(nil, nil)
	close(p.loop.done)
	if w := get(p.placeHandler(), "/place?host=h&path=/"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d: %s", w.Code, w.Body.String())
	}
}

// TestPlaceQueryOfBusyGateway: a query that waited for longer than a tick says that the gateway is busy.
func TestPlaceQueryOfBusyGateway(t *testing.T) {
	p, h := startOperatorListener(t)
	running := make(chan struct{})
	go p.loop.Do(func(*control.State, boottime.Instant) {
		close(running)
		time.Sleep(12 * tickInterval) // long enough for the query to arrive meanwhile
	})
	<-running
	x := explanation(t, h, "/place?host=h&path=/")
	if !slices.Contains(x.Conditions, control.ConditionBusy) || x.WaitedMS == 0 {
		t.Errorf("%+v", x)
	}
}
