package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T) *Platform {
	t.Helper()
	p, err := Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return p
}

func publish(t *testing.T, p *Platform, reader string, ids ...fleet.InstanceID) {
	t.Helper()
	var v InstancesValue
	for _, id := range ids {
		v.Instances = append(v.Instances, fleet.Instance{ID: id})
	}
	if _, err := p.Publish(Instances, reader, v); err != nil {
		t.Fatal(err)
	}
}

// get returns the status, or for 200 the revision and the instances that the reader receives.
func get(t *testing.T, p *Platform, reader, query string) string {
	t.Helper()
	req, _ := http.NewRequestWithContext(t.Context(), "GET", "http://"+p.Addr()+"/v1/feeds/instances"+query, nil)
	req.Header.Set("X-Reader", reader)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode)
	}
	var v struct {
		Revision uint64
		InstancesValue
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		t.Fatal(err)
	}
	out := fmt.Sprint(v.Revision)
	for _, in := range v.Instances {
		out += " " + string(in.ID)
	}
	return out
}

func TestReadersAreShownWhatIsInjected(t *testing.T) {
	p := start(t)
	for _, step := range []struct {
		name    string
		change  func()
		a, b, q string
	}{
		{"nothing published", func() {}, "304", "304", ""},
		{"first value", func() { publish(t, p, "", "i1") }, "1 i1", "1 i1", ""},
		{"value for one reader", func() { publish(t, p, "b", "i1", "i2") }, "1 i1", "2 i1 i2", ""},
		{"value for one reader, newer only", func() {}, "304", "2 i1 i2", "?after=1&wait_ms=1"},
		{"value for all readers", func() { publish(t, p, "", "i3") }, "3 i3", "3 i3", ""},
		{"stale", func() {
			p.Inject(Faults{Stale: []Feed{Instances}})
			publish(t, p, "", "i4")
		}, "3 i3", "3 i3", ""},
		{"down", func() { p.Inject(Faults{Down: true}) }, "503", "503", ""},
		{"recovered", func() { p.Inject(Faults{}) }, "4 i4", "4 i4", ""},
	} {
		step.change()
		if a, b := get(t, p, "a", step.q), get(t, p, "b", step.q); a != step.a || b != step.b {
			t.Errorf("%s: %q and %q, want %q and %q", step.name, a, b, step.a, step.b)
		}
	}
}

func TestWatchEndsWithTheNextValueAndIsCounted(t *testing.T) {
	p := start(t)
	publish(t, p, "", "i1")
	got := make(chan string)
	const watches = 3
	for range watches {
		go func() { got <- get(t, p, "a", "?after=1&wait_ms=60000") }()
	}
	for p.Stats().Waiting < watches { // until all watches wait
	}
	publish(t, p, "", "i2")
	for range watches {
		if v := <-got; v != "2 i2" {
			t.Errorf("watch got %q", v)
		}
	}
	for p.Stats().Waiting > 0 { // until the last watch has ended
	}
	if s := p.Stats(); s.Calls != watches || s.PeakPerSec < watches {
		t.Errorf("counted %+v", s)
	}
}

func TestWaitingWatchCountsAsCallInEachSecond(t *testing.T) {
	p := start(t)
	for i, step := range []struct{ second, calls, waiting, peak int }{
		{1, 2, 0, 2}, {1, 0, 2, 4}, {2, 1, 0, 4}, {2, 2, 0, 5}, {3, 1, -2, 5},
	} {
		p.recordCalls(time.Unix(int64(step.second), 0), step.calls, step.waiting)
		if got := p.Stats().PeakPerSec; got != step.peak {
			t.Errorf("step %d: peak %d, want %d", i, got, step.peak)
		}
	}
}
