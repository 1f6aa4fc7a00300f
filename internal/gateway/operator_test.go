package gateway

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
)

// awaitMetrics waits until the metrics, which are reported every second, contain all of some lines, and returns them.
func awaitMetrics(t *testing.T, p *process, want ...string) string {
	t.Helper()
	h := p.operatorHandler()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		text := get(h, "/metrics").Body.String()
		missing := slices.DeleteFunc(slices.Clone(want), func(line string) bool { return strings.Contains(text, line+"\n") })
		if len(missing) == 0 {
			return text
		}
		if time.Now().After(end) {
			t.Errorf("no %q in\n%s", missing, text)
			return text
		}
	}
}

// TestSpeedGauges: endpoints whose speed is not known have no gauges, and one that no longer reports is shown with the usual speed.
// It guards against a slow speed that is shown for ever.
func TestSpeedGauges(t *testing.T) {
	p, _ := startOperatorListener(t)
	pending := 41.5
	slow := control.EndpointDump{ID: "e-1", Speed: &control.SpeedDump{Percent: 250}, PendingPrefillMS: &pending}
	p.reportSpeeds([]control.EndpointDump{slow, {ID: "e-2"}})
	text := awaitMetrics(t, p, `gateway_endpoint_speed{endpoint="e-1"} 250`, `gateway_endpoint_pending_prefill_ms{endpoint="e-1"} 41.5`)
	if strings.Contains(text, "e-2") {
		t.Errorf("gauges of an endpoint without a speed in\n%s", text)
	}
	p.reportSpeeds([]control.EndpointDump{{ID: "e-1"}, {ID: "e-2"}})
	awaitMetrics(t, p, `gateway_endpoint_speed{endpoint="e-1"} 100`, `gateway_endpoint_pending_prefill_ms{endpoint="e-1"} 0`)
	p.reportSpeeds(nil)
	if len(p.speedGauges) != 0 {
		t.Errorf("removed endpoints are kept: %v", p.speedGauges)
	}
}
