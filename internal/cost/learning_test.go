package cost

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// engine is a synthetic endpoint with the figures of the design page, and noise.
type engine struct {
	rng         *rand.Rand
	slow        float64 // share of requests at 2.5 times the time
	unreported  bool    // the speed is not reported
	wrongCached float64 // share of wrong assumptions about the cache
}

const (
	engineFixed    = 0.006
	enginePerToken = 1.0 / 85_000
	enginePerEvent = 0.034
)

func (e *engine) request() Request {
	own := 100 + e.rng.IntN(1500)
	shared := []int{0, 700, 3000, 11_000}[e.rng.IntN(4)]
	return Request{Service: "chat", Route: "r", PromptTokens: shared + own, SharedTokens: shared, MaxOutputTokens: 1000, LengthHint: 200}
}

// run returns what a gateway observes of r.
func (e *engine) run(r Request, assumedCached bool) Observation {
	speed, tokens := 1.0, r.PromptTokens
	if assumedCached != (e.rng.Float64() < e.wrongCached) {
		tokens -= r.SharedTokens
	}
	if e.rng.Float64() < e.slow {
		speed = 2.5
	}
	first := (engineFixed + enginePerToken*float64(tokens)) * speed * math.Exp(0.2*e.rng.NormFloat64())
	events := 10 + e.rng.IntN(20)
	total := first + float64(events-1)*enginePerEvent*math.Exp(0.1*e.rng.NormFloat64())
	if e.unreported {
		speed = 0
	}
	return Observation{Request: r, Cached: assumedCached, Speed: speed, First: toDuration(first), Total: toDuration(total), Events: events, Stream: true}
}

// trueReadError returns the relative error of the estimated reads of r.
func trueReadError(m *Model, r Request) float64 {
	want := engineFixed + enginePerToken*float64(r.PromptTokens)
	return math.Abs(m.Estimate(r).ReadUncached.Seconds()-want) / want
}

// Guards against a fit that slow endpoints, reported or not, or wrong assumptions about the cache
// move away from the usual time.
func TestLearnsPrefillTime(t *testing.T) {
	for name, e := range map[string]*engine{
		"calm":                           {},
		"slow, reported":                 {slow: 0.15},
		"slow, unreported":               {slow: 0.15, unreported: true},
		"slow and wrong about the cache": {slow: 0.15, wrongCached: 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			e.rng = rand.New(rand.NewPCG(1, 2))
			m := New()
			var errors []float64
			for i := range 2000 {
				r := e.request()
				relative, ok := m.Observe(e.run(r, e.rng.IntN(3) > 0))
				if !ok {
					t.Fatal("observation rejected")
				}
				if i >= 200 {
					errors = append(errors, relative)
				}
			}
			slices.Sort(errors)
			snapshot := m.Snapshot().Services[0]
			t.Logf("median error %.3f, snapshot %+v", errors[len(errors)/2], snapshot)
			if median := errors[len(errors)/2]; median >= 0.25 {
				t.Errorf("median error of the time to the first event is %.3f, want below 0.25", median)
			}
			for _, prompt := range []int{300, 2000, 12_000} {
				if err := trueReadError(m, Request{Service: "chat", Route: "r", PromptTokens: prompt}); err >= 0.25 {
					t.Errorf("prompt of %d tokens: estimate is off by %.2f", prompt, err)
				}
			}
			if snapshot.FirstEventError.P50 >= 0.25 || snapshot.EventMS < 25 || snapshot.EventMS > 45 {
				t.Errorf("snapshot: %+v", snapshot)
			}
		})
	}
}

// Guards against a fit that keeps the speed of an earlier software of the endpoints.
func TestFollowsLastingChange(t *testing.T) {
	e, m := &engine{rng: rand.New(rand.NewPCG(1, 2))}, New()
	for range 1000 {
		m.Observe(e.run(e.request(), true))
	}
	for range 1000 {
		o := e.run(e.request(), true)
		o.First, o.Total = 3*o.First, 3*o.Total
		m.Observe(o)
	}
	r := Request{Service: "chat", Route: "r", PromptTokens: 1000}
	want := 3 * (engineFixed + enginePerToken*1000)
	if got := m.Estimate(r).ReadUncached.Seconds(); math.Abs(got-want) > 0.25*want {
		t.Errorf("estimate %v s, want about %v", got, want)
	}
}

// Guards against prefill times that contain the wait in a queue.
func TestWaitedRequestsDoNotCount(t *testing.T) {
	m := New()
	r := Request{Service: "chat", Route: "r", PromptTokens: 1000}
	before := m.Estimate(r)
	for range 100 {
		if _, ok := m.Observe(Observation{Request: r, Waited: true, First: 5 * time.Second, Total: 6 * time.Second, Events: 1, Stream: true}); ok {
			t.Fatal("error counted for a request that waited")
		}
	}
	after := m.Estimate(r)
	if after.ReadUncached != before.ReadUncached || after.Learned {
		t.Errorf("estimate %+v, want the prior %+v", after, before)
	}
	if hold := m.ServiceTime("chat"); hold < time.Second || hold > 2*time.Second {
		t.Errorf("a slot is held for %v, want 1 s and the prefill", hold)
	}
}

// Guards against prefill times that contain the prefill of other prompts at the endpoint.
func TestPendingReadIsSubtracted(t *testing.T) {
	e, m := &engine{rng: rand.New(rand.NewPCG(1, 2))}, New()
	for i := range 1000 {
		o := e.run(e.request(), true)
		o.PendingRead = time.Duration(i%60) * time.Millisecond
		o.First, o.Total = o.First+o.PendingRead, o.Total+o.PendingRead
		m.Observe(o)
	}
	if err := trueReadError(m, Request{Service: "chat", Route: "r", PromptTokens: 800}); err >= 0.25 {
		t.Errorf("estimate is off by %.2f", err)
	}
}

// Guards against hints that are believed on a route where they are far off.
func TestCorrectsLengthHints(t *testing.T) {
	rng, m := rand.New(rand.NewPCG(3, 4)), New()
	request := func(route string, tokens int) Request {
		hint := float64(tokens) * math.Exp(0.1*rng.NormFloat64())
		if route == "far off" { // without relation to the output
			hint = 200 * math.Exp(rng.NormFloat64())
		} else if route == "low" {
			hint /= 4
		}
		return Request{Service: "chat", Route: route, PromptTokens: 1, LengthHint: int(hint) + 1}
	}
	routes := []string{"good", "low", "far off"}
	tokens := func(route string) int {
		if route == "far off" {
			return 1000 + rng.IntN(200)
		}
		return 100 + rng.IntN(2000)
	}
	for i := range 600 {
		route := routes[i%3]
		n := tokens(route)
		total := 10*time.Millisecond + time.Duration(n/12)*30*time.Millisecond
		m.Observe(Observation{Request: request(route, n), First: 10 * time.Millisecond, Total: total, Events: n/12 + 1, Stream: true})
	}
	for _, route := range routes {
		var errors []float64
		for range 200 {
			n := tokens(route)
			want := 0.010 + float64(n/12)*0.030
			errors = append(errors, math.Abs(m.Estimate(request(route, n)).Hold.Seconds()-want)/want)
		}
		slices.Sort(errors)
		if median := errors[len(errors)/2]; median >= 0.25 {
			t.Errorf("route %q: median error of the time for which a slot is held is %.2f", route, median)
		}
	}
}

// Guards against one estimate for all routes of a plain service.
func TestLearnsPlainRequestsByRoute(t *testing.T) {
	rng, m := rand.New(rand.NewPCG(5, 6)), New()
	routes := map[string]time.Duration{"short": 15 * time.Millisecond, "long": 60 * time.Millisecond}
	for range 200 {
		for route, usual := range routes {
			took := scale(usual, math.Exp(0.2*rng.NormFloat64()))
			m.Observe(Observation{Request: Request{Service: "plain", Route: route}, First: took, Total: took})
		}
	}
	for route, usual := range routes {
		e := m.Estimate(Request{Service: "plain", Route: route})
		if off := math.Abs(e.ReadCached.Seconds()/usual.Seconds() - 1); off > 0.25 || !e.Learned || e.Hold < e.ReadCached {
			t.Errorf("route %s: %+v, want about %v", route, e, usual)
		}
	}
	if mean := m.ServiceTime("plain"); mean < 30*time.Millisecond || mean > 45*time.Millisecond {
		t.Errorf("mean time of a request %v, want about 37.5 ms", mean)
	}
}

// Guards against an estimate that a few requests that hang determine, the first one among them.
func TestHangingRequests(t *testing.T) {
	m, r := New(), Request{Service: "plain", Route: "r"}
	for i := range 300 {
		took := 15 * time.Millisecond
		if i%20 == 0 {
			took = 10 * time.Second
		}
		m.Observe(Observation{Request: r, First: took, Total: took})
		if got := m.Estimate(r).ReadCached; i >= averageWindow && (got < 11250*time.Microsecond || got > 18750*time.Microsecond) {
			t.Fatalf("estimate %v after %d observations, want about 15 ms", got, i)
		}
	}
}

// Guards against a prior that makes a new gateway see endless or free requests.
func TestPrior(t *testing.T) {
	m := New()
	e := m.Estimate(Request{Service: "chat", Route: "r", PromptTokens: 8000, SharedTokens: 6000, MaxOutputTokens: 500})
	if e.Learned || e.ReadCached <= 0 || e.ReadUncached <= e.ReadCached || e.ReadUncached > time.Second || e.Hold <= e.ReadCached || e.Hold > time.Minute {
		t.Errorf("prompt: %+v", e)
	}
	if e := m.Estimate(Request{Service: "plain"}); e.Learned || e.ReadCached <= 0 || e.ReadCached > time.Second || e.Hold < e.ReadCached {
		t.Errorf("plain request: %+v", e)
	}
	if m.ServiceTime("chat") != 0 {
		t.Error("time for which a slot is held is known without observations")
	}
}

// Guards against figures of callers or endpoints that make estimates negative, endless or NaN, or that
// spoil what has been learned.
func TestAbsurdInput(t *testing.T) {
	ints := []int{0, 1, -1, math.MinInt, math.MaxInt}
	times := []time.Duration{0, 1, -1, math.MinInt64, math.MaxInt64, time.Millisecond}
	speeds := []float64{0, -1, 1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 1e-300}
	rng := rand.New(rand.NewPCG(7, 8))
	e, m := &engine{rng: rng}, New()
	for i := range 100_000 {
		r := Request{Service: "chat", Route: "r", PromptTokens: pick(rng, ints), SharedTokens: pick(rng, ints), MaxOutputTokens: pick(rng, ints), LengthHint: pick(rng, ints)}
		o := Observation{Request: r, Cached: i%2 == 0, Speed: pick(rng, speeds), PendingRead: pick(rng, times), First: pick(rng, times), Total: pick(rng, times), Events: pick(rng, ints), Stream: i%3 > 0}
		if i%4 == 0 {
			m.Observe(o)
		}
		c := Candidate{Rank: pick(rng, ints), Speed: pick(rng, speeds), SpeedAge: pick(rng, times), PendingRead: pick(rng, times), Load: pick(rng, ints), Slots: pick(rng, ints), MayHaveCached: i%2 > 0}
		got, at := m.Estimate(r), m.Times(r, c)
		for _, d := range []time.Duration{got.ReadCached, got.Hold - got.ReadCached, got.ReadUncached - got.ReadCached, at.Wait, at.Read, at.Harm} {
			if d < 0 {
				t.Fatalf("negative time: %+v %+v of %+v %+v", got, at, r, c)
			}
		}
		if got.Hold > maxTime || at.Total > 3*maxTime {
			t.Fatalf("endless time: %+v %+v", got, at)
		}
	}
	if _, err := json.Marshal(m.Snapshot()); err != nil {
		t.Errorf("snapshot after absurd input: %v", err) // NaN and infinity have no JSON form
	}
	for range 1000 {
		m.Observe(e.run(e.request(), true))
	}
	if err := trueReadError(m, e.request()); err >= 0.25 {
		t.Errorf("estimate is off by %.2f after 1,000 sound observations", err)
	}
}

func pick[T any](rng *rand.Rand, values []T) T { return values[rng.IntN(len(values))] }

// Guards against tables that grow with the names of routes and services.
func TestBoundedMemory(t *testing.T) {
	m := New()
	for i := range 100_000 {
		name := strconv.Itoa(i)
		m.Observe(Observation{Request: Request{Service: "chat", Route: "used"}, First: time.Millisecond, Total: time.Millisecond})
		m.Observe(Observation{Request: Request{Service: "chat", Route: name}, First: time.Millisecond, Total: time.Millisecond})
		m.Estimate(Request{Service: "chat", Route: "estimated " + name})
	}
	for i := range 2 * maxServices {
		m.Observe(Observation{Request: Request{Service: fleet.ServiceID(strconv.Itoa(i)), Route: "r"}, First: 1})
	}
	long := Request{Service: "chat", Route: strings.Repeat("x", maxNameBytes+1)}
	if _, ok := m.Observe(Observation{Request: long, First: 1}); ok {
		t.Error("learned from a request with an endless name")
	}
	if routes, services := m.routes.Len(), m.services.Len(); routes != maxRoutes || services != maxServices {
		t.Errorf("%d routes and %d services, want %d and %d", routes, services, maxRoutes, maxServices)
	}
	if m.routes.Peek(routeKey{"chat", "used"}) == nil {
		t.Error("a route in use was evicted")
	}
}
