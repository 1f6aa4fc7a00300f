package contention

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// queueOnset and queueEnd are the beginning and the end of the surges of the tests of queues. Before, the usual rates are observed.
const (
	queueOnset = 60 * time.Second
	queueEnd   = queueOnset + 6*time.Second
)

// The workspaces of a queueing service: surging, large and ordinary ones.
const (
	surging     = 0
	firstLarge  = 1
	lastLarge   = 2
	lastOrdinal = 23
)

// queueingEngines has queues of several seconds before anything is rejected, three priorities in equal parts, and 24 workspaces,
// whose parts of the capacity are given.
func queueingEngines(use func(w int, at time.Duration) float64) *simulation {
	s := &simulation{gateways: 20, endpoints: 20, slots: 16, queue: 160, hold: 600 * time.Millisecond, goal: 20 * time.Second}
	s.urgency = func(r *result) int {
		if r.d.AboveShare {
			return 2*r.RoutePriority + 1
		}
		return 2 * r.RoutePriority
	}
	s.rate = func(at time.Duration) float64 {
		sum := 0.0
		for w := range lastOrdinal + 1 {
			sum += use(w, at)
		}
		return sum
	}
	s.next = func(s *simulation) Request {
		r := Request{RoutePriority: s.rng.IntN(3), Goal: s.goal}
		x := s.rng.Float64() * s.rate(s.now)
		for w := range lastOrdinal + 1 {
			if x -= use(w, s.now); x < 0 {
				r.Workspace = uint32(w)
				break
			}
		}
		return r
	}
	return s
}

// usualUse returns the usual part of the capacity of a workspace: 0.9 in total.
func usualUse(w int) float64 {
	switch {
	case w == surging:
		return 0.057
	case w <= lastLarge:
		return 3 * 0.843 / 27
	default:
		return 0.843 / 27
	}
}

func during(at time.Duration) bool { return at >= queueOnset && at < queueEnd }

func aboveShare(r *result) bool { return r.d.AboveShare }

func ofWorkspace(low, high, priority int) func(*result) bool {
	return func(r *result) bool {
		return int(r.Workspace) >= low && int(r.Workspace) <= high && (priority < 0 || r.RoutePriority == priority)
	}
}

// checkUnmarkedOutside fails if a request is marked while there are no queues, if marks go on after the surge or if anything is rejected. While
// the queues drain, random variation of the demand may exceed the capacity for a moment.
func checkUnmarkedOutside(t *testing.T, s *simulation, seed uint64) {
	t.Helper()
	slots := float64(s.endpoints * s.slots)
	for _, r := range s.results {
		// The longest delay, a tick and the time after which queueing ends.
		first := max(r.at-500*time.Millisecond-simTick-time.Second, 0)
		if r.d.AboveShare && slices.Max(s.loads[first/simStep:r.at/simStep+1]) <= 1.1*slots {
			t.Errorf("seed %d: marked at %v without queues", seed, r.at)
		}
	}
	if p := s.part(queueEnd+2*time.Second, s.now, anyResult, aboveShare); p > 0.01 {
		t.Errorf("seed %d: %.4f marked 2 s after the surge", seed, p)
	}
	if p := s.part(0, s.now, anyResult, admitted); p < 1 {
		t.Errorf("seed %d: %.4f admitted, the queues are shorter than the limit", seed, p)
	}
}

// TestQueueOrderOfWorkspaceSurge sends eight times its usual load from one workspace, which makes 1.3 times the capacity in total, with three
// priorities. It guards against a surge of one workspace that delays the others at their priorities although nothing is rejected.
func TestQueueOrderOfWorkspaceSurge(t *testing.T) {
	for seed := range uint64(3) {
		s := queueingEngines(func(w int, at time.Duration) float64 {
			if w == surging && during(at) {
				return 8 * usualUse(w)
			}
			return usualUse(w)
		})
		s.run(seed, queueEnd+6*time.Second)
		from := queueOnset + 2*time.Second // the queues have been reported
		for p := range 3 {
			others := s.part(queueOnset, queueEnd, ofWorkspace(firstLarge, lastOrdinal, p), aboveShare)
			large := s.part(queueOnset, queueEnd, ofWorkspace(firstLarge, lastLarge, p), aboveShare)
			surge := s.part(from, queueEnd, ofWorkspace(surging, surging, p), aboveShare)
			t.Logf("seed %d, priority %d: marked %.4f of the others', %.4f of the large, %.3f of the surging workspace's", seed, p, others, large, surge)
			if others >= 0.02 || large >= 0.02 {
				t.Errorf("seed %d, priority %d: marked %.4f of the others' requests, %.4f of the large workspaces'", seed, p, others, large)
			}
		}
		const excess = 7.0 / 8
		if p := s.part(from, queueEnd, ofWorkspace(surging, surging, -1), aboveShare); p < 0.55*excess {
			t.Errorf("seed %d: marked %.3f of the surging workspace's requests, %.3f are its excess", seed, p, excess)
		}
		checkUnmarkedOutside(t, s, seed)
	}
}

// TestQueueOrderOfCommonSurge sends 1.5 times their usual load from all workspaces. It guards against an order that puts normally large workspaces, or
// those that happen to be among the fleet's largest, behind the others.
func TestQueueOrderOfCommonSurge(t *testing.T) {
	for seed := range uint64(3) {
		s := queueingEngines(func(w int, at time.Duration) float64 {
			if during(at) {
				return 1.5 * usualUse(w)
			}
			return usualUse(w)
		})
		s.run(seed, queueEnd+6*time.Second)
		from := queueOnset + 2*time.Second
		small := s.part(from, queueEnd, ofWorkspace(lastLarge+1, lastOrdinal, -1), aboveShare)
		large := s.part(from, queueEnd, ofWorkspace(firstLarge, lastLarge, -1), aboveShare)
		t.Logf("seed %d: marked %.3f of the ordinary workspaces', %.3f of the large ones'", seed, small, large)
		if small > large+0.1 || large > small+0.1 {
			t.Errorf("seed %d: marked %.3f of the ordinary workspaces' requests, %.3f of the large ones'", seed, small, large)
		}
		checkUnmarkedOutside(t, s, seed)
	}
}

// queueingFor returns a controller that has seen usual requests for a minute: 20 per second, five of them of the workspace firstLarge and the
// others of nine ordinary ones. It then has queues, with 25 more requests per second of the workspace surging and 1.45 times the
// capacity in total. Nothing is rejected up to a utilization of 11.
func queueingFor(d time.Duration) (*Controller, boottime.Instant) {
	c, now := New(1), boottime.Instant(time.Hour)
	const usualTicks = 1500
	u := 0.8
	for i := range usualTicks + int(d/simTick) {
		now = now.Add(simTick)
		if i >= usualTicks {
			u = min(max(u, 1.2)+0.03, 9)
		}
		c.Update(now, 100*u, 100, 600*time.Millisecond, 6*time.Second)
		switch i % 5 {
		case 0:
		case 1:
			c.Admit(now, Request{Workspace: firstLarge})
		default:
			c.Admit(now, Request{Workspace: 10 + uint32(i)%15})
		}
		if i >= usualTicks {
			c.Admit(now, Request{Workspace: surging})
		}
	}
	return c, now
}

// TestMarksEndWithQueues guards against marks that outlast the queues, or an outdated or unusable utilization.
func TestMarksEndWithQueues(t *testing.T) {
	for name, load := range map[string]float64{"low": 90, "unusable": -1, "missing": 0} {
		c, now := queueingFor(4 * time.Second)
		marked := 0
		for range 20 {
			if c.Admit(now, Request{Workspace: surging}).AboveShare {
				marked++
			}
		}
		if marked < 8 {
			t.Fatalf("%s: %d of 20 requests of a workspace that usually sends none are marked", name, marked)
		}
		for end := now.Add(1100 * time.Millisecond); now.Before(end); {
			now = now.Add(simTick)
			if name != "missing" {
				c.Update(now, load, 100, 600*time.Millisecond, 6*time.Second)
			}
		}
		if c.Queueing(now) {
			t.Errorf("%s: queueing after 1.1 s", name)
		}
		if d := c.Admit(now, Request{Workspace: surging}); d != (Decision{Admitted: true}) {
			t.Errorf("%s: %+v", name, d)
		}
		if c.rng.Uint64() != New(1).rng.Uint64() {
			t.Errorf("%s: random numbers were drawn", name)
		}
	}
}

// TestUsualRates guards against usual rates that include a surge, and against weights of workspaces without history that are
// not those of the others.
func TestUsualRates(t *testing.T) {
	c, _ := queueingFor(0)
	before := c.queue.usual.rate(firstLarge, &c.opts)
	if before < 4 || before > 6 {
		t.Errorf("usual rate %.2f per second, 5 were sent", before)
	}
	c, now := queueingFor(time.Minute)
	if r := c.queue.usual.rate(firstLarge, &c.opts); r < 0.9*before || r > before {
		t.Errorf("usual rate %.2f after a minute of queueing, %.2f before", r, before)
	}
	if r := c.queue.usual.rate(surging, &c.opts); r >= 0 {
		t.Errorf("usual rate %.2f of a workspace that came with the queues", r)
	}
	if c.queue.median < 1.4 || c.queue.median > 1.9 {
		t.Errorf("median %.2f, ordinary workspaces send 1.67 per second", c.queue.median)
	}
	started := New(2)
	for range 50 {
		now = now.Add(simTick)
		started.Update(now, 150, 100, 600*time.Millisecond, 6*time.Second)
		started.Admit(now, Request{Workspace: firstLarge})
	}
	if r := started.queue.usual.rate(firstLarge, &c.opts); r >= 0 || started.queue.median != 1 {
		t.Errorf("rate %.2f, median %.2f of a gateway that has just started", r, started.queue.median)
	}
}

// TestUsualRatesAreBounded guards against memory that grows with the number of workspaces, and against frequent workspaces
// that are forgotten for rare ones.
func TestUsualRatesAreBounded(t *testing.T) {
	opts := DefaultOptions()
	var u usualRates
	for i := range uint32(10 * maxUsual) {
		u.elapsed += 100 * time.Millisecond
		u.count(0, &opts)
		u.count(1+i, &opts)
	}
	if len(u.entries) != maxUsual || len(u.index) != maxUsual {
		t.Errorf("%d entries, %d in the index", len(u.entries), len(u.index))
	}
	if r := u.rate(0, &opts); r < 9 || r > 11 {
		t.Errorf("usual rate %.2f per second, 10 were sent", r)
	}
	for w, i := range u.index {
		if u.entries[i].workspace != w {
			t.Errorf("entry %d is of workspace %d, not %d", i, u.entries[i].workspace, w)
		}
	}
}

// TestQueueOrderIsReproducible makes the same calls on two controllers with maps in different orders. Marks that depend on the order of a map could not
// be explained afterwards.
func TestQueueOrderIsReproducible(t *testing.T) {
	var decisions [2][]Decision
	marked := 0
	for run := range decisions {
		c, now := queueingFor(time.Second)
		rng := rand.New(rand.NewPCG(3, 4))
		for range 2000 {
			now = now.Add(20 * time.Millisecond)
			loads := map[uint32]int{}
			for w := range uint32(40) {
				loads[w] = 5
			}
			c.SetWorkspaceLoads(loads)
			c.Update(now, 250+50*rng.Float64(), 100, 600*time.Millisecond, 6*time.Second)
			d := c.Admit(now, Request{Workspace: rng.Uint32N(10) * rng.Uint32N(4), RoutePriority: rng.IntN(3)})
			if d.AboveShare {
				marked++
			}
			decisions[run] = append(decisions[run], d)
		}
	}
	if !reflect.DeepEqual(decisions[0], decisions[1]) || marked == 0 {
		t.Errorf("decisions differ, or none of them is marked: %d marked", marked)
	}
}

// TestRejectionsUnchanged guards against marks that change who is rejected: the hash of the decisions of two
// contentions with a pause is that of commit 810f924, which has no marks.
func TestRejectionsUnchanged(t *testing.T) {
	h := fnv.New64a()
	c, now := New(1), boottime.Instant(time.Hour)
	rng := rand.New(rand.NewPCG(5, 6))
	rejected := 0
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		load := 80.0
		if i%1000 > 300 {
			load = 150 + 40*rng.Float64()
		}
		c.SetWorkspaceLoads(map[uint32]int{1: 60, 2: 20, 3: 5 + i%7})
		c.Update(now, load, 100, 600*time.Millisecond, 250*time.Millisecond/4)
		d := c.Admit(now, Request{Workspace: rng.Uint32N(5), RoutePriority: rng.IntN(3), TimeLeft: time.Duration(1+rng.IntN(5)) * time.Second})
		if !d.Admitted {
			rejected++
		}
		_ = binary.Write(h, binary.LittleEndian, []int64{int64(d.Rank), int64(d.Reason), int64(d.RetryAfter)})
	}
	if got, want := h.Sum64(), uint64(0x738cda76aa30e46a); got != want || rejected != 2046 {
		t.Errorf("hash %#x with %d rejections, want %#x with 2046", got, rejected, want)
	}
}
