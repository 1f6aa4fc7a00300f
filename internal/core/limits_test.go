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

// limitedWorld records the requests of one limited workspace that endpoints accept.
type limitedWorld struct {
	*faultyWorld
	accepted []time.Time
	peak     int // maximum number of concurrent requests at all endpoints
	outcomes map[string]int
}

func newLimitedWorld(seed uint64, l fleet.Limits) *limitedWorld {
	w := &limitedWorld{faultyWorld: newFaultyWorld(seed, 5*time.Second), outcomes: map[string]int{}}
	c := w.Platform.Config()
	c.Plans, c.Workspaces = maps.Clone(c.Plans), maps.Clone(c.Workspaces)
	p := c.Plans["standard"]
	p.ID, p.Limits = "limited", l
	c.Plans[p.ID] = p
	x := c.Workspaces[coretest.WorkspaceID(0)]
	x.Plan = p.ID
	c.Workspaces[x.ID] = x
	w.Platform.PublishConfig(c)
	for _, e := range w.Endpoints {
		e.Capacity = 1000
		e.Serve = func(_ *coretest.Endpoint, d core.Dispatch, _ bool) time.Duration { return w.accept(d) }
	}
	w.Run(15 * time.Second)
	return w
}

func (w *limitedWorld) accept(d core.Dispatch) time.Duration {
	serve := 200*time.Millisecond + w.randomDuration(2*time.Second)
	if d.Workspace != coretest.WorkspaceID(0) {
		return serve
	}
	w.accepted = append(w.accepted, w.Now())
	running := 0
	for _, e := range w.Endpoints {
		running += e.Running
	}
	w.peak = max(w.peak, running)
	return serve
}

// surge sends requests of a workspace for d to the routers of a data centre, or to all if dc is "".
func (w *limitedWorld) surge(ws int, every time.Duration, dc fleet.DataCentreID, d time.Duration) {
	id := coretest.WorkspaceID(ws)
	end := w.Now().Add(d)
	var next func()
	next = func() {
		if w.Now().After(end) {
			return
		}
		w.After(w.randomDuration(2*every), next)
		n := w.randomNode()
		if !n.Up() || (dc != "" && n.DC != dc) {
			return
		}
		req := core.CallerRequest{APIKeyHash: coretest.KeyHash(id), Service: coretest.GateService, Deadline: w.Now().Add(10 * time.Second)}
		w.Request(n, req, func(f core.Finish) { w.outcomes[fmt.Sprint(id, " ", f.Outcome, " ", f.Reason)]++ })
	}
	next()
}

// excess returns the largest number by which the accepted requests of any time window
// exceed rate times the length of the window.
func (w *limitedWorld) excess(rate float64) float64 {
	worst, lowest := 0.0, 0.0
	for i, at := range w.accepted {
		t := rate * at.Sub(w.accepted[0]).Seconds()
		lowest = min(lowest, float64(i)-t)
		worst = max(worst, float64(i+1)-t-lowest)
	}
	return worst
}

// TestLimitsHoldOverCores sends more requests than a workspace's limits allow to all
// routers, while routers pause and stop, messages are lost, duplicated and reordered, and
// a data centre is partitioned. Concurrent requests must stay within their limit, and the
// rate may exceed its limit by at most the burst allowance.
func TestLimitsHoldOverCores(t *testing.T) {
	const (
		rate  = 20.0
		slots = 16
		bound = rate*5 + 2*2 // rate*(2*Burst + BatchTTL + TransferTTL), and 2 for each of the two data centres
	)
	for seed := range uint64(*limitSeeds) {
		for _, l := range []fleet.Limits{{RequestsPerSecond: rate}, {Concurrent: slots}} {
			w := newLimitedWorld(seed, l)
			w.faultKinds = []func(*coretest.Node){w.pause, w.stop, w.cutDataCentre, w.cutPeer}
			w.injectFaults(60 * time.Second)
			w.endpointsFail = false // endpoints accept every request
			w.surge(0, 10*time.Millisecond, "", 70*time.Second)
			w.Run(90 * time.Second)
			t.Logf("seed %d, %+v: taken %d in 70 s, excess %.1f, most at once %d, %v", seed, l, len(w.accepted), w.excess(rate), w.peak, w.outcomes)
			if l.Concurrent > 0 && w.peak > slots {
				t.Errorf("seed %d: %d at once of %d", seed, w.peak, slots)
			}
			if l.RequestsPerSecond > 0 && w.excess(rate) > bound {
				t.Errorf("seed %d: %.1f above the rate, bound %.1f", seed, w.excess(rate), bound)
			}
		}
	}
}

// TestSurgeTakesNothingFromOthers checks that a surge in one data centre can use the full
// limit of its workspace there without any effect on another workspace.
func TestSurgeTakesNothingFromOthers(t *testing.T) {
	w := newLimitedWorld(9, fleet.Limits{RequestsPerSecond: 20})
	w.surge(0, 5*time.Millisecond, "dc1", 30*time.Second)
	w.surge(1, 100*time.Millisecond, "", 30*time.Second)
	w.Run(5 * time.Second)
	before := len(w.accepted)
	w.Run(20 * time.Second)
	if got := float64(len(w.accepted)-before) / 20; got < 17 || got > 22 {
		t.Errorf("%.1f requests/s admitted in one data centre, want about 20", got)
	}
	w.Run(30 * time.Second)
	t.Log(w.outcomes)
	for k, n := range w.outcomes {
		if k[:len(coretest.WorkspaceID(1))] == string(coretest.WorkspaceID(1)) && k != fmt.Sprint(coretest.WorkspaceID(1), " answered ") {
			t.Errorf("%d requests of the other workspace: %s", n, k)
		}
	}
}
