package cost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// learned returns a model that has observed engines with the figures of the design page.
func learned() *Model {
	e, m := &engine{rng: rand.New(rand.NewPCG(1, 2))}, New()
	for range 500 {
		m.Observe(e.run(e.request(), true))
	}
	return m
}

var (
	goal = Goal{Latency: 300 * time.Millisecond, EventGap: 60 * time.Millisecond}
	// longPrefix has 94 ms of shared prefix and 6 ms of its own.
	longPrefix = Request{Service: "chat", Route: "r", PromptTokens: 8500, SharedTokens: 8000}
)

// ranked returns candidates in rendezvous order, of which the first has the prefix cached.
func ranked(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Rank: i, Local: true, Load: 4, Slots: 16, MayHaveCached: i == 0}
	}
	return candidates
}

func place(m *Model, g Goal, r Request, candidates []Candidate, tie uint64) int {
	times, ranks := make([]Times, len(candidates)), make([]int, len(candidates))
	for i, c := range candidates {
		times[i], ranks[i] = m.Times(r, c), c.Rank
	}
	return Choose(g, times, ranks, tie)
}

// shares returns how often each candidate is chosen, over many values of tie.
func shares(m *Model, g Goal, r Request, candidates []Candidate) []float64 {
	const requests = 2000
	out := make([]float64, len(candidates))
	for tie := range uint64(requests) {
		out[place(m, g, r, candidates, tie)]++
	}
	for i := range out {
		out[i] /= requests
	}
	return out
}

// Guards against cached prefixes that scatter because of small differences of load, speed or distance.
func TestStaysWithCachedEndpoint(t *testing.T) {
	m, rng := learned(), rand.New(rand.NewPCG(1, 1))
	for i := range 10_000 {
		candidates := ranked(6)
		for j := range candidates {
			c := &candidates[j]
			c.Local, c.Load = rng.IntN(2) > 0, rng.IntN(16)
			c.Speed, c.PendingRead = 0.8+0.4*rng.Float64(), time.Duration(rng.IntN(60))*time.Millisecond
		}
		if got := place(m, goal, longPrefix, candidates, uint64(i)); got != 0 {
			t.Fatalf("left the cached endpoint for %d: %+v", got, candidates)
		}
	}
}

// Guards against waiting at a slow endpoint, and against the use of its speed when the report is old.
func TestLeavesSlowEndpointWhileReportIsFresh(t *testing.T) {
	m := learned()
	long := Request{Service: "chat", Route: "r", PromptTokens: 11_800}
	candidates := ranked(4)
	candidates[0].Speed = 2.5
	for _, g := range []Goal{goal, {Latency: goal.Latency}} { // for the streams there, and for its own time
		if got := shares(m, g, long, candidates); got[1] != 1 {
			t.Errorf("%+v: shares %v, want all at the second endpoint", g, got)
		}
	}
	candidates[0].SpeedAge = time.Second
	if got := shares(m, goal, long, candidates); got[0] != 1 {
		t.Errorf("shares %v with a report that is one second old, want all at the first endpoint", got)
	}
	candidates[0].SpeedAge = 0
	usual := candidates[1]
	usual.Rank = 0
	if got := shares(m, goal, long, []Candidate{candidates[0], usual, usual, usual}); got[0] > 0.05 {
		t.Errorf("%v of the requests without a prefix go to the slow endpoint", got[0])
	}
}

// Guards against a speed that is used in full until it is forgotten at once.
func TestSpeedFades(t *testing.T) {
	for age, want := range map[time.Duration]float64{0: 2.5, -time.Second: 2.5, 400 * time.Millisecond: 1.75, 800 * time.Millisecond: 1.375, math.MaxInt64: 1} {
		if got := fadedSpeed(2.5, age); math.Abs(got-want) > 1e-9 {
			t.Errorf("age %v: %v, want %v", age, got, want)
		}
	}
	if got := meanSpeed(2.5, 0, 4*time.Second); got < 1.1 || got > 1.3 {
		t.Errorf("mean speed over four seconds %v, want about 1.22", got)
	}
}

// Guards against a long prompt that pauses many streams although an idle endpoint is among the first.
func TestLongPromptsAvoidRunningStreams(t *testing.T) {
	m := learned()
	long := Request{Service: "chat", Route: "r", PromptTokens: 11_800}
	candidates := ranked(4)
	candidates[0].Load, candidates[1].Load, candidates[2].Load, candidates[3].Load = 15, 15, 0, 15
	if got := shares(m, goal, long, candidates); got[2] != 1 {
		t.Errorf("shares %v, want all at the third endpoint", got)
	}
	if got := place(m, goal, Request{Service: "chat", Route: "r", PromptTokens: 800}, candidates, 1); got != 0 {
		t.Errorf("a short prompt goes to %d, want the first endpoint", got)
	}
	candidates[2].PendingRead = 2 * time.Second
	if got := place(m, goal, long, candidates, 1); got == 2 {
		t.Error("the request is late where it does no harm, and in time elsewhere")
	}
	for i := range candidates {
		candidates[i].Rank = 0
	}
	candidates[2].PendingRead = 0
	if got := shares(m, goal, long, candidates); got[2] < 0.95 {
		t.Errorf("shares without a prefix %v, want the third endpoint", got)
	}
}

// Guards against gateways that all send to the same endpoint on the basis of the same delayed report.
func TestSpreadsEqualCandidates(t *testing.T) {
	m := learned()
	candidates := make([]Candidate, 8)
	for i := range candidates {
		candidates[i] = Candidate{Local: true, Slots: 16, PendingRead: time.Duration(i%2) * time.Millisecond}
	}
	for i, share := range shares(m, goal, Request{Service: "chat", Route: "r", PromptTokens: 2000}, candidates) {
		if share < 0.5/8 || share > 2.0/8 {
			t.Errorf("endpoint %d gets %v of the requests, want about 1/8", i, share)
		}
	}
}

// Guards against a hot key that stays at a full endpoint, that moves as a whole with every report, or
// that does not return. Twenty gateways see loads that are 200 ms old.
func TestHotKeySpillsOverAndReturns(t *testing.T) {
	const step, delay, hold, slots = 10 * time.Millisecond, 20, 60, 16 // delay and hold in steps
	m := New()
	e := &engine{rng: rand.New(rand.NewPCG(1, 2))}
	for range 500 {
		o := e.run(e.request(), true)
		o.Total = o.First + hold*step
		m.Observe(o)
	}
	var loads [4][]int // by step
	var ends [4][]int
	counts := func(perStep, steps int) (placed [4]int) {
		for range steps {
			at := len(loads[0])
			candidates := ranked(4)
			for i := range candidates {
				for len(ends[i]) > 0 && ends[i][0] <= at {
					ends[i] = ends[i][1:]
				}
				loads[i] = append(loads[i], len(ends[i]))
				candidates[i].Load, candidates[i].Slots = loads[i][max(at-delay, 0)], slots
			}
			for k := range perStep {
				i := place(m, goal, longPrefix, candidates, uint64(at*100+k))
				placed[i]++
				start := at // a request starts when the one that is 16 places before it ends
				if n := len(ends[i]); n >= slots {
					start = max(start, ends[i][n-slots])
				}
				ends[i] = append(ends[i], start+hold)
			}
		}
		return placed
	}
	counts(1, 500) // 1 request per 10 ms for 600 ms each: 60 slots, nearly four endpoints
	hot := counts(1, 500)
	for i, n := range hot {
		if n < 500/10 {
			t.Errorf("hot: endpoint %d of the first four gets %d of 500 requests: %v", i, n, hot)
		}
	}
	longest := 0
	for _, n := range loads[0][500:] {
		longest = max(longest, n)
	}
	if wait := hold * step * time.Duration(longest-slots) / slots; wait > 2*time.Second { // callers wait no longer
		t.Errorf("load of the first endpoint reaches %d, a wait of %v", longest, wait)
	}
	counts(0, 200)
	for range 50 {
		if calm := counts(1, 1); calm[0] != 1 {
			t.Fatalf("calm: placed %v, want the first endpoint", calm)
		}
		counts(0, 9)
	}
}

// Guards against decisions on the basis of nothing: they must be today's.
func TestBestRankedWithoutKnowledge(t *testing.T) {
	loaded := ranked(4)
	loaded[0].Load, loaded[0].PendingRead, loaded[0].Speed, loaded[0].MayHaveCached = 60, time.Minute, 10, false
	if got := shares(New(), goal, longPrefix, loaded); got[0] != 1 {
		t.Errorf("without observations: %v", got)
	}
	absurd := ranked(4)
	absurd[0].Load, absurd[0].PendingRead, absurd[0].Speed = -5, -time.Hour, math.Inf(1)
	if got := shares(learned(), goal, longPrefix, absurd); got[0] != 1 {
		t.Errorf("absurd reports: %v", got)
	}
	absurd[0].Load, absurd[0].PendingRead, absurd[0].Speed = math.MaxInt, math.MaxInt64, math.NaN()
	if got := shares(learned(), goal, longPrefix, absurd); got[0] != 1 {
		t.Errorf("absurd reports: %v", got)
	}
	old := ranked(4)
	old[0].Speed, old[0].SpeedAge = 10, 5*time.Second
	if got := shares(learned(), Goal{}, longPrefix, old); got[0] != 1 {
		t.Errorf("old reports: %v", got)
	}
	if Choose(goal, nil, nil, 1) != -1 {
		t.Error("a choice without candidates")
	}
	if got := Choose(goal, make([]Times, 3), []int{7, 2, 5}, 1); got != 1 {
		t.Errorf("chose %d, want the lowest rank", got)
	}
}

// Guards against garbage for each candidate of each request.
func TestTimesAndChooseDoNotAllocate(t *testing.T) {
	m, times, ranks := learned(), make([]Times, 8), make([]int, 8)
	candidates := ranked(8)
	if n := testing.AllocsPerRun(100, func() {
		for i, c := range candidates {
			times[i] = m.Times(longPrefix, c)
		}
		Choose(goal, times, ranks, 3)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkEstimate(b *testing.B) {
	m, r := learned(), Request{Service: "chat", Route: "r", PromptTokens: 9000, SharedTokens: 8000, MaxOutputTokens: 500, LengthHint: 100}
	for b.Loop() {
		m.Estimate(r)
	}
}

func BenchmarkTimes(b *testing.B) {
	m, c := learned(), Candidate{Rank: 1, Speed: 2.5, SpeedAge: time.Millisecond, Load: 20, Slots: 16}
	r := Request{Service: "chat", Route: "r", PromptTokens: 9000, SharedTokens: 8000, MaxOutputTokens: 500, LengthHint: 100}
	for b.Loop() {
		m.Times(r, c)
	}
}

func BenchmarkObserve(b *testing.B) {
	m, e := New(), &engine{rng: rand.New(rand.NewPCG(1, 2))}
	o := make([]Observation, 4096)
	for i := range o {
		o[i] = e.run(e.request(), true)
	}
	for i := 0; b.Loop(); i++ {
		m.Observe(o[i%len(o)])
	}
}
