package ingress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/contention"
	"github.com/dandelionvane/dandelionvane/internal/metrics"
)

// TestContentionRefusalsAreCounted guards against refusals under contention that cannot be told apart by service and rule.
func TestContentionRefusalsAreCounted(t *testing.T) {
	reg := metrics.New()
	m := NewMeter(reg.Scope())
	for _, reason := range []contention.Reason{contention.ReasonShare, contention.ReasonShare, contention.ReasonDeadline} {
		c := &call{}
		c.admission.Service, c.admission.Contention = "s", reason
		m.refusedByContention(c)
	}
	if err := reg.Close(); err != nil { // reports the counters
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	reg.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`gateway_contention_refusals{reason="share",service="s"} 2`, `gateway_contention_refusals{reason="deadline",service="s"} 1`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s in\n%s", want, w.Body.String())
		}
	}
}
