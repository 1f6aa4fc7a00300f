package contention

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// onset is when the surge of a simulation begins. It lasts for surgeLength.
const (
	onset       = 3 * time.Second
	surgeLength = 10 * time.Second
	surgeEnd    = onset + surgeLength
)

func surge(demand float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= onset && at < surgeEnd {
			return demand
		}
		return 0.6
	}
}

func engines(demand float64) *simulation {
	return &simulation{gateways: 80, endpoints: 40, slots: 16, queue: 48, hold: 600 * time.Millisecond,
		goal: 250 * time.Millisecond, rate: surge(demand), next: ordinaryRequest}
}

func plainService(demand float64) *simulation {
	s := engines(demand)
	s.endpoints, s.slots, s.queue, s.hold, s.goal = 5, 6, 24, 15*time.Millisecond, 120*time.Millisecond
	return s
}

func ordinaryRequest(s *simulation) Request {
	return Request{WorkspacePriority: 1, HasWorkspacePriority: true, Workspace: uint32(s.rng.IntN(100)),
		RoutePriority: s.rng.IntN(3), TimeLeft: 6 * time.Second, UsualTimeLimit: 6 * time.Second, Goal: s.goal}
}

// part returns the part of the requests that arrived in an interval and have a property.
func (s *simulation) part(from, to time.Duration, of, has func(*result) bool) float64 {
	n, all := 0, 0
	for _, r := range s.results {
		if r.at < from || r.at >= to || !of(r) {
			continue
		}
		all++
		if has(r) {
			n++
		}
	}
	return float64(n) / float64(all)
}

func anyResult(*result) bool  { return true }
func admitted(r *result) bool { return r.d.Admitted }

// meanWait returns the mean wait of the requests that arrived in an interval and were started.
func (s *simulation) meanWait(from, to time.Duration) time.Duration {
	sum, n := time.Duration(0), 0
	for _, r := range s.results {
		if r.at >= from && r.at < to && r.started >= 0 {
			sum += r.started - r.at
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// checkBounds fails if more than a fifth of the slots is idle in a half second of the surge, except for the first
// second, in which an increase still fills the slots, or if the mean wait exceeds the goal in a quarter of a second that begins two
// seconds after the onset or later.
func checkBounds(t *testing.T, s *simulation, busy []float64, onset time.Duration) {
	t.Helper()
	for from := onset + time.Second; from < surgeEnd-500*time.Millisecond; from += 100 * time.Millisecond {
		mean := 0.0
		for _, b := range busy[from/simStep : (from+500*time.Millisecond)/simStep] {
			mean += b / 50
		}
		if mean < 0.8 {
			t.Errorf("%.2f of the slots are busy at %v", mean, from)
		}
	}
	for from := onset + 2*time.Second; from < surgeEnd; from += 250 * time.Millisecond {
		if w := s.meanWait(from, from+250*time.Millisecond); w > s.goal {
			t.Errorf("mean wait %v at %v", w, from)
		}
	}
}

// testSurge runs one surge and checks its bounds, and that everything is admitted two seconds after it.
func testSurge(t *testing.T, name string, s simulation, demand float64, seed uint64) {
	t.Run(fmt.Sprint(name, demand, "seed", seed), func(t *testing.T) {
		busy := s.run(seed, surgeEnd+3*time.Second)
		checkBounds(t, &s, busy, onset)
		if p := s.part(surgeEnd+2*time.Second, s.now, anyResult, admitted); p < 1 {
			t.Errorf("%.3f admitted after the surge", p)
		}
	})
}

// TestSurge offers 1.1 to 5 times the capacity for 10 s to services of different speed. It guards against
// oscillation of the fleet's controllers, against idle slots and against long queues.
func TestSurge(t *testing.T) {
	for _, demand := range []float64{1.1, 1.6, 3, 5} {
		medium := engines(demand)
		medium.endpoints, medium.hold = 12, 100*time.Millisecond
		for seed := range uint64(3) {
			testSurge(t, "engine", *engines(demand), demand, seed)
			testSurge(t, "medium", *medium, demand, seed)
			testSurge(t, "plain", *plainService(demand), demand, seed)
		}
	}
}

// TestSurgeOfEngines is TestSurge for engines, whose queues take the longest to drain, at the highest demands and with the
// seeds that were not used to set the constants. It guards against constants that fit single seeds.
func TestSurgeOfEngines(t *testing.T) {
	for _, demand := range []float64{3, 5} {
		for seed := uint64(3); seed < 8; seed++ {
			testSurge(t, "engine", *engines(demand), demand, seed)
		}
	}
}

// TestRestart restarts one gateway, and in another run all gateways at once, in the middle of a surge of three
// times the capacity. It guards against controllers that need their own history: a restarted
// gateway must come back to the share of the others, and a restarted fleet to its bounds.
func TestRestart(t *testing.T) {
	const at = onset + 4*time.Second
	one := engines(3)
	one.restart = func(now time.Duration, g int) bool { return g == 0 && now >= at && now < at+simTick }
	busy := one.run(1, surgeEnd)
	checkBounds(t, one, busy, onset)
	share := func(of func(*result) bool) float64 { return one.part(at+2*time.Second, surgeEnd, of, admitted) }
	restarted := share(func(r *result) bool { return r.gateway == 0 })
	others := share(func(r *result) bool { return r.gateway != 0 })
	t.Logf("restarted gateway admits %.2f, the others %.2f", restarted, others)
	if restarted > 2*others {
		t.Errorf("a restarted gateway admits %.2f, the others %.2f", restarted, others)
	}
	all := engines(3)
	all.restart = func(now time.Duration, _ int) bool { return now >= at && now < at+simTick }
	checkBounds(t, all, all.run(1, surgeEnd), at)
}

// TestWorkspaceSurge sends eight times its usual load from one workspace, which makes 1.25 times the capacity in total. The
// others' service must not change by more than 2 in 100.
func TestWorkspaceSurge(t *testing.T) {
	for seed := range uint64(3) {
		const others, usual = 0.85, 0.05
		s := engines(0)
		s.rate = func(at time.Duration) float64 {
			if at >= onset && at < surgeEnd {
				return others + 8*usual
			}
			return others + usual
		}
		s.next = func(s *simulation) Request {
			r := ordinaryRequest(s)
			r.RoutePriority, r.Workspace = 0, 1+uint32(s.rng.IntN(99))
			if rate := s.rate(s.now); s.rng.Float64() < (rate-others)/rate {
				r.Workspace = 0
			}
			return r
		}
		s.run(seed, surgeEnd)
		other := s.part(onset, surgeEnd, func(r *result) bool { return r.Workspace != 0 }, admitted)
		large := s.part(onset, surgeEnd, func(r *result) bool { return r.Workspace == 0 }, admitted)
		t.Logf("seed %d: %.3f of the others' requests admitted, %.3f of the large workspace", seed, other, large)
		if other < 0.98 {
			t.Errorf("seed %d: only %.3f of the others' requests admitted", seed, other)
		}
		if unused := 1 - others; large < 0.7*unused/(8*usual) {
			t.Errorf("seed %d: only %.3f of the large workspace's requests admitted: unused capacity is not open to it", seed, large)
		}
	}
}

// TestReturningCallersFindRoom lets rejected callers of a surge of 1.3 times the capacity return after their Retry-After.
// It guards against a second overload by callers that return at the same time.
func TestReturningCallersFindRoom(t *testing.T) {
	s := engines(1.3)
	s.returns = true
	s.run(1, surgeEnd+6*time.Second)
	late := func(r *result) bool { return r.try == 1 }
	if p := s.part(surgeEnd+time.Second, s.now, late, admitted); p < 0.95 {
		t.Errorf("%.3f of the callers that returned after the surge were admitted", p)
	}
	for from := surgeEnd + 2*time.Second; from < surgeEnd+5*time.Second; from += 250 * time.Millisecond {
		if p := s.part(from, from+250*time.Millisecond, anyResult, admitted); p < 1 {
			t.Errorf("%.3f admitted at %v", p, from)
		}
	}
}

// TestPlainServiceUsesItsQueue offers 1.6 times the capacity to endpoints with 6 slots and 15 ms per request. Their
// queues last for a few milliseconds, so they must be used before anything is rejected.
func TestPlainServiceUsesItsQueue(t *testing.T) {
	s := plainService(1.6)
	s.run(1, surgeEnd)
	highest := 0.0
	for _, r := range s.results {
		if !r.d.Admitted {
			for _, l := range s.loads[:r.at/simStep] {
				highest = max(highest, l/30)
			}
			break
		}
	}
	if highest < 3 {
		t.Errorf("the first request is rejected after a utilization of %.1f, the target is 3", highest)
	}
	calm := plainService(0.9)
	calm.run(1, surgeEnd)
	if p := calm.part(0, surgeEnd, anyResult, admitted); p < 1 {
		t.Errorf("%.3f admitted at 0.9 of the capacity", p)
	}
}

// TestUnusableUtilization feeds missing and absurd loads to a controller, also during contention. Each must admit everything, because a
// gateway that does not know the load has no reason to reject.
func TestUnusableUtilization(t *testing.T) {
	for name, u := range map[string]struct {
		load  float64
		slots int
	}{
		"NaN": {math.NaN(), 16}, "negative": {-1, 16}, "infinite": {math.Inf(1), 16}, "huge": {1e12, 16},
		"no slots": {5, 0}, "no slots and no load": {0, 0}, "negative slots": {5, -3}, "missing": {},
	} {
		c, now := overloaded(3)
		for range 100 {
			now = now.Add(2 * simTick)
			if name != "missing" {
				c.Update(now, u.load, u.slots, 600*time.Millisecond, 250*time.Millisecond/4)
			} else {
				now = now.Add(time.Second)
			}
			if d := c.Admit(now, Request{TimeLeft: time.Millisecond}); d != (Decision{Admitted: true}) {
				t.Fatalf("%s: %+v", name, d)
			}
			if st := c.State(now); st.Contended || st.AdmittedShare != 1 {
				t.Fatalf("%s: %+v", name, st)
			}
		}
	}
}
