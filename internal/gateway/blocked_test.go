package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/metrics"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

func startOperatorListener(t *testing.T) (*process, http.Handler) {
	t.Helper()
	p := &process{settings: testSettings(), metrics: metrics.New(), program: buildinfo.NewCurrent()}
	t.Cleanup(func() { _ = p.metrics.Close() })
	p.loop = newLoop(control.New(boottime.Now(), p.settings.controlOptions(1, publishedtest.Protocol{})), func(control.Action) {})
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx = ctx
	go p.loop.run(ctx)
	t.Cleanup(func() { cancel(); <-p.loop.done })
	return p, p.operatorHandler()
}

func TestLiftOfUnknownOrMalformedFingerprint(t *testing.T) {
	_, h := startOperatorListener(t)
	for path, want := range map[string]int{
		"/blocked/00000000000000a1":  http.StatusNotFound,
		"/blocked/a1":                http.StatusBadRequest,
		"/blocked/0000000000000000":  http.StatusBadRequest,
		"/blocked/xyz":               http.StatusBadRequest,
		"/blocked/00000000000000a1f": http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, path, nil))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", path, w.Code, want)
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/blocked", nil))
	if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"blocked_requests":[]`) {
		t.Errorf("the list: %d %s", w.Code, w.Body.String())
	}
}

// TestLateReportsOfAnEndAreNotCounted guards against an end that counts once for each request that it broke off.
func TestLateReportsOfAnEndAreNotCounted(t *testing.T) {
	p, h := startOperatorListener(t)
	for _, late := range []bool{false, true, true} {
		p.countEvent(control.Log{Event: event.EndpointProcessEnded, Fields: []any{"service", fleet.ServiceID("s"), "late", late}})
	}
	p.countEvent(control.Log{Event: event.RequestBlockBegan})
	p.countEvent(control.Log{Event: event.RequestOnTrial})
	if err := p.metrics.Close(); err != nil { // reports the counters
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`gateway_process_ends{service="s"} 1`, "gateway_blocks_began 1", "gateway_requests_on_trial 1"} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s in\n%s", want, w.Body.String())
		}
	}
}
