package core_test

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

var limitSeeds = flag.Int("limits.seeds", 4, "fault schedules of TestLimitsHoldOverCores")

// limitedWorld counts what the endpoints take of one limited workspace.
type limitedWorld struct {
	*onceWorld
	taken    []time.Time
	most     int // requests at the endpoints at once
	outcomes map[string]int
}

func newLimitedWorld(seed uint64, l fleet.Limits) *limitedWorld {
	w := &limitedWorld{onceWorld: newOnceWorld(seed, 5*time.Second), outcomes: map[string]int{}}
	c := w.Platform.Config()
	c.Plans, c.Workspaces = maps.Clone(c.Plans), maps.Clone(c.Workspaces)
	p := c.Plans["standard"]
	p.ID, p.Limits = "limited", l
	c.Plans[p.ID] = p
	x := c.Workspaces[coretest.Workspace(0)]
	x.Plan = p.ID
	c.Workspaces[x.ID] = x
	w.Platform.PublishConfig(c)
	for _, e := range w.Endpoints {
		e.Capacity = 1000
		e.Serve = func(_ *coretest.Endpoint, d core.Dispatch, _ bool) time.Duration { return w.take(d) }
	}
	w.Run(15 * time.Second)
	return w
}

func (w *limitedWorld) take(d core.Dispatch) time.Duration {
	serve := 200*time.Millisecond + w.upTo(2*time.Second)
	if d.Workspace != coretest.Workspace(0) {
		return serve
	}
	w.taken = append(w.taken, w.Now())
	running := 0
	for _, e := range w.Endpoints {
		running += e.Running
	}
	w.most = max(w.most, running)
	return serve
}

// surge sends requests of a workspace to the routers of a data centre, or to all.
func (w *limitedWorld) surge(ws int, every time.Duration, dc fleet.DataCentreID, d time.Duration) {
	id := coretest.Workspace(ws)
	end := w.Now().Add(d)
	var next func()
	next = func() {
		if w.Now().After(end) {
			return
		}
		w.After(w.upTo(2*every), next)
		n := w.node()
		if !n.Up() || (dc != "" && n.DC != dc) {
			return
		}
		req := core.CallerRequest{KeyHash: coretest.Key(id), Service: coretest.GateService, Deadline: w.Now().Add(10 * time.Second)}
		w.Request(n, req, func(f core.Finish) { w.outcomes[fmt.Sprint(id, " ", f.Outcome, " ", f.Reason)]++ })
	}
	next()
}

// excess returns by how much the taken requests of any window exceed rate times its length.
func (w *limitedWorld) excess(rate float64) float64 {
	worst, lowest := 0.0, 0.0
	for i, at := range w.taken {
		t := rate * at.Sub(w.taken[0]).Seconds()
		lowest = min(lowest, float64(i)-t)
		worst = max(worst, float64(i+1)-t-lowest)
	}
	return worst
}

// TestLimitsHoldOverCores sends more than a workspace's limits to all routers while
// they freeze and stop, messages are lost, doubled and reordered, and a data centre is cut off.
func TestLimitsHoldOverCores(t *testing.T) {
	const (
		rate  = 20.0
		slots = 16
		bound = rate*5 + 2*2 // of the bursts of package limits, two data centres
	)
	for seed := range uint64(*limitSeeds) {
		for _, l := range []fleet.Limits{{RequestsPerSecond: rate}, {Concurrent: slots}} {
			w := newLimitedWorld(seed, l)
			w.kinds = []func(*coretest.Node){w.freeze, w.stop, w.cutDataCentre, w.cutPeer}
			w.mishaps(60 * time.Second)
			w.faults = false // endpoints take everything
			w.surge(0, 10*time.Millisecond, "", 70*time.Second)
			w.Run(90 * time.Second)
			t.Logf("seed %d, %+v: taken %d in 70 s, excess %.1f, most at once %d, %v", seed, l, len(w.taken), w.excess(rate), w.most, w.outcomes)
			if l.Concurrent > 0 && w.most > slots {
				t.Errorf("seed %d: %d at once of %d", seed, w.most, slots)
			}
			if l.RequestsPerSecond > 0 && w.excess(rate) > bound {
				t.Errorf("seed %d: %.1f above the rate, bound %.1f", seed, w.excess(rate), bound)
			}
		}
	}
}

// TestSurgeTakesNothingFromOthers checks that a surge in one data centre gets the whole
// limit of its workspace there, and that another workspace notices nothing.
func TestSurgeTakesNothingFromOthers(t *testing.T) {
	w := newLimitedWorld(9, fleet.Limits{RequestsPerSecond: 20})
	w.surge(0, 5*time.Millisecond, "dc1", 30*time.Second)
	w.surge(1, 100*time.Millisecond, "", 30*time.Second)
	w.Run(5 * time.Second)
	before := len(w.taken)
	w.Run(20 * time.Second)
	if got := float64(len(w.taken)-before) / 20; got < 17 || got > 22 {
		t.Errorf("%.1f of 20 a second admitted in one data centre", got)
	}
	w.Run(30 * time.Second)
	t.Log(w.outcomes)
	for k, n := range w.outcomes {
		if k[:len(coretest.Workspace(1))] == string(coretest.Workspace(1)) && k != fmt.Sprint(coretest.Workspace(1), " answered ") {
			t.Errorf("%d times %s", n, k)
		}
	}
}
