package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

func scrape(t *testing.T, r *Registry) string {
	t.Helper()
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if w.Code != 200 || !strings.HasPrefix(w.Header().Get("Content-Type"), "text/plain") {
		t.Fatalf("status %d, header %v", w.Code, w.Header())
	}
	return w.Body.String()
}

func TestScrape(t *testing.T) {
	r := New()
	s := r.Scope()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 100 {
				s.Tagged(map[string]string{"outcome": "answered", "a b": "x\"\n\\"}).Counter("requests").Inc(1)
			}
		})
	}
	wg.Wait()
	s.Tagged(map[string]string{"outcome": "not_run"}).Counter("requests").Inc(2)
	s.SubScope("peers").Gauge("live").Update(1.5)
	for _, d := range []time.Duration{time.Second, time.Second, 3 * time.Second} {
		s.Timer("wait").Record(d)
	}
	h := s.Histogram("tokens", tally.ValueBuckets{1, 10})
	for _, v := range []float64{0, 5, 6, 11} {
		h.RecordValue(v)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	want := `# TYPE dandelionvane_peers_live gauge
dandelionvane_peers_live 1.5
# TYPE dandelionvane_requests counter
dandelionvane_requests{a_b="x\"\n\\",outcome="answered"} 400
dandelionvane_requests{outcome="not_run"} 2
# TYPE dandelionvane_tokens histogram
dandelionvane_tokens_bucket{le="1"} 1
dandelionvane_tokens_bucket{le="10"} 3
dandelionvane_tokens_bucket{le="+Inf"} 4
dandelionvane_tokens_count 4
# TYPE dandelionvane_wait summary
dandelionvane_wait{quantile="0.5"} 1.003519
dandelionvane_wait{quantile="0.95"} 3.014655
dandelionvane_wait{quantile="0.99"} 3.014655
dandelionvane_wait_sum 5
dandelionvane_wait_count 3
# TYPE dandelionvane_dropped_series gauge
dandelionvane_dropped_series 0
`
	if got := scrape(t, r); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestQuantilesForgetOldWindows(t *testing.T) {
	r := newReporter()
	tm := r.AllocateTimer("t", nil).(*timer)
	tm.ReportTimer(time.Hour)
	for windows, want := range []time.Duration{maxTimerValue, maxTimerValue, 0} {
		if got := tm.quantile(0.5); got < want || got > want+want/50 {
			t.Errorf("after %d windows: median %v, want about %v", windows, got, want)
		}
		for range flushesPerWindow {
			r.Flush()
		}
	}
	if tm.count != 1 || tm.sum != time.Hour {
		t.Errorf("count %d, sum %v", tm.count, tm.sum)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	r := newReporter()
	for i := range maxSeries + 5 {
		r.AllocateCounter("c", map[string]string{"i": fmt.Sprint(i)}).ReportCount(1)
	}
	if len(r.series) != maxSeries || r.droppedAllocations != 5 {
		t.Errorf("%d series, %d dropped", len(r.series), r.droppedAllocations)
	}
}

func TestCounterKeepsItsSeries(t *testing.T) {
	r := newReporter()
	r.AllocateCounter("c", nil).ReportCount(3)
	r.AllocateCounter("c", nil).ReportCount(4)
	r.AllocateGauge("c", nil).ReportGauge(9) // a second kind with the same name is dropped
	want := "# TYPE c counter\nc 7\n# TYPE dandelionvane_dropped_series gauge\ndandelionvane_dropped_series 1\n"
	if got := string(r.text()); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
