package contention

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// overloaded returns a controller that has been contended for two seconds with the given utilization.
func overloaded(utilization float64) (*Controller, boottime.Instant) {
	c, now := New(1), boottime.Instant(time.Hour)
	for range 50 {
		now = now.Add(simTick)
		c.Update(now, utilization*100, 100, 600*time.Millisecond, 250*time.Millisecond/4)
	}
	return c, now
}

// admitBy offers 40 requests per second for 20 s at a fixed admitted share and returns the admitted part by class.
func admitBy(share float64, next func(i int) (class int, r Request)) (parts [2]float64) {
	c, now := overloaded(1.2)
	var n, all [2]float64
	for i := range 800 {
		now = now.Add(25 * time.Millisecond)
		c.loop.updated, c.loop.share = now, share
		c.updateShares(now, 120, 0.025)
		class, r := next(i)
		d := c.Admit(now, r)
		if i < 80 {
			continue // the sample fills
		}
		all[class]++
		if d.Admitted {
			n[class]++
		}
	}
	return [2]float64{n[0] / all[0], n[1] / all[1]}
}

// TestOrder offers two classes of requests in equal numbers where half of them fit. The first class of each case goes first, and the
// other one still gets a twentieth, so that it does not starve.
func TestOrder(t *testing.T) {
	base := Request{WorkspacePriority: 1, HasWorkspacePriority: true, RoutePriority: 1, TimeLeft: 4 * time.Second}
	for name, change := range map[string]func(first, second *Request){
		"workspace priority": func(a, b *Request) { b.WorkspacePriority, b.RoutePriority, b.TimeLeft = 2, 0, time.Second },
		"route priority":     func(a, b *Request) { b.RoutePriority, b.TimeLeft = 2, time.Second },
		"route priority without that of a workspace": func(a, b *Request) {
			a.HasWorkspacePriority, b.HasWorkspacePriority, b.RoutePriority = false, false, 2
		},
		"time left": func(a, b *Request) { b.TimeLeft = 5 * time.Second },
		"deadline":  func(a, b *Request) { b.TimeLeft = 0 },
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		parts := admitBy(0.5, func(i int) (int, Request) {
			r := [2]Request{base, base}
			change(&r[0], &r[1])
			class := rng.IntN(2)
			r[class].Workspace = rng.Uint32N(1000)
			return class, r[class]
		})
		t.Logf("%s: %.2f and %.2f admitted", name, parts[0], parts[1])
		if parts[0] < 0.85 || parts[1] > 0.25 || parts[1] < 0.04 {
			t.Errorf("%s: %.2f and %.2f admitted", name, parts[0], parts[1])
		}
	}
}

// TestSharePrecedesTimeLeft: three quarters of the requests, the most urgent ones, come from one workspace, the others from
// 20 more. Half of all fit: the others fit within their shares, although they have more time left.
func TestSharePrecedesTimeLeft(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	parts := admitBy(0.5, func(i int) (int, Request) {
		if rng.IntN(4) == 0 {
			return 0, Request{Workspace: 1 + rng.Uint32N(20), TimeLeft: 4 * time.Second}
		}
		return 1, Request{TimeLeft: time.Second}
	})
	if parts[0] < 0.95 || parts[1] < 0.25 || parts[1] > 0.45 {
		t.Errorf("%.2f of the small workspaces' requests admitted, %.2f of the large one's; want 1 and a third", parts[0], parts[1])
	}
}

// TestReturningCallersPrecedeWithinBounds offers equal numbers of first requests and of requests of returning callers. The latter must
// have an advantage, and must not take the room of the former.
func TestReturningCallersPrecedeWithinBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	parts := admitBy(0.4, func(int) (int, Request) {
		r := Request{Workspace: rng.Uint32N(1000), TimeLeft: 4 * time.Second, UsualTimeLimit: 4 * time.Second}
		class := rng.IntN(2)
		if class == 1 {
			r.TimeLeft = 2 * time.Second
		}
		return class, r
	})
	t.Logf("%.2f of first requests admitted, %.2f of returning ones", parts[0], parts[1])
	if parts[1] < parts[0] || parts[0] < 0.6*parts[1] {
		t.Errorf("%.2f of first requests admitted, %.2f of returning ones", parts[0], parts[1])
	}
}

// TestNoContention serves a service below its target. Nothing may differ from a gateway without this package: no rejection, no rank and
// no use of the generator.
func TestNoContention(t *testing.T) {
	c, now := New(7), boottime.Instant(time.Hour)
	for i := range 5000 {
		now = now.Add(10 * time.Millisecond)
		c.Update(now, float64(i%110), 100, 600*time.Millisecond, 250*time.Millisecond/4)
		c.SetWorkspaceLoads(map[uint32]int{1: 50, 2: i % 60})
		if d := c.Admit(now, Request{Workspace: uint32(i % 3), TimeLeft: time.Duration(i%5) * time.Millisecond}); d != (Decision{Admitted: true}) {
			t.Fatalf("%+v", d)
		}
	}
	if st := c.State(now); st.Contended || st.AdmittedShare != 1 || st.Demand != 0 || st.Workspaces != nil {
		t.Errorf("%+v", st)
	}
	if c.rng.Uint64() != New(7).rng.Uint64() {
		t.Error("random numbers were drawn")
	}
}

// TestLateStart: with a queue of 1.2 s, or of 3 s, requests that would start after their deadline or their callers' patience are rejected at
// once, since they would only add load.
func TestLateStart(t *testing.T) {
	for _, tc := range []struct {
		utilization float64
		r           Request
		late        bool
	}{
		{3, Request{TimeLeft: time.Second}, true},
		{3, Request{TimeLeft: -time.Second}, true},
		{3, Request{TimeLeft: 1500 * time.Millisecond}, false},
		{3, Request{}, false},
		{6, Request{TimeLeft: 20 * time.Second, Goal: 250 * time.Millisecond}, true},
		{6, Request{TimeLeft: 20 * time.Second, Goal: time.Second}, false},
		{6, Request{TimeLeft: 20 * time.Second, PauseGoal: 500 * time.Millisecond}, false},
	} {
		for i := range 50 {
			c, now := overloaded(tc.utilization)
			for range i {
				c.Admit(now, Request{TimeLeft: 20 * time.Second, Goal: time.Minute})
			}
			d := c.Admit(now, tc.r)
			if (d.Reason == ReasonDeadline) != tc.late || tc.late && d.Admitted {
				t.Fatalf("utilization %v, %+v: %+v", tc.utilization, tc.r, d)
			}
		}
	}
}

// TestRetryAfter draws many Retry-After at several times of a contention. They must stay between their bounds, and be spread
// over at least a third of the longest one, so that callers do not return together.
func TestRetryAfter(t *testing.T) {
	for _, left := range []time.Duration{0, 60 * time.Second, 6 * time.Second, 2 * time.Second, 600 * time.Millisecond} {
		for _, since := range []time.Duration{0, time.Second, time.Minute} {
			c, now := overloaded(3)
			c.loop.since = now.Add(-since)
			lowest, highest := time.Hour, time.Duration(0)
			for range 1000 {
				d := c.retryAfter(now, &Request{TimeLeft: left})
				lowest, highest = min(lowest, d), max(highest, d)
			}
			limit := 5 * time.Second
			if left > 0 {
				limit = min(limit, left/3)
			}
			if highest > limit || lowest < min(300*time.Millisecond, limit/2) || highest-lowest < highest/4 {
				t.Errorf("time left %v, contended for %v: from %v to %v", left, since, lowest, highest)
			}
		}
	}
}

// TestDecisionsAreReproducible makes the same calls on two controllers with maps in different orders. A decision that depends on the order of a map
// could not be explained afterwards.
func TestDecisionsAreReproducible(t *testing.T) {
	var decisions [2][]Decision
	for run := range decisions {
		c, now := overloaded(1.5)
		rng := rand.New(rand.NewPCG(3, 4))
		for range 2000 {
			now = now.Add(20 * time.Millisecond)
			loads := map[uint32]int{}
			for w := range uint32(40) {
				loads[w] = 5
			}
			c.SetWorkspaceLoads(loads)
			c.Update(now, 150+10*rng.Float64(), 100, 600*time.Millisecond, 250*time.Millisecond/4)
			decisions[run] = append(decisions[run], c.Admit(now, Request{Workspace: rng.Uint32N(60), TimeLeft: 4 * time.Second}))
		}
	}
	if !reflect.DeepEqual(decisions[0], decisions[1]) {
		t.Error("decisions differ")
	}
}

// BenchmarkAdmit is one decision with a full sample. A gateway may spend 2 µs on it.
func BenchmarkAdmit(b *testing.B) {
	c, now := overloaded(1.5)
	for i := 0; b.Loop(); i++ {
		c.Admit(now, Request{Workspace: uint32(i % 300), TimeLeft: 3 * time.Second, UsualTimeLimit: 6 * time.Second})
	}
}

// BenchmarkUpdate is one tick with a full sample of 300 workspaces.
func BenchmarkUpdate(b *testing.B) {
	c, now := overloaded(1.5)
	for i := range 300 {
		c.Admit(now, Request{Workspace: uint32(i)})
	}
	for b.Loop() {
		c.Update(now, 150, 100, 600*time.Millisecond, 250*time.Millisecond/4)
	}
}
