package core_test

import (
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TestRacesOfOperatorsEndInTheLastState takes a data centre out of service and in again within
// seconds under load, while the endpoint list changes too and messages are lost, duplicated and
// delayed. TestOperatorsRace checks such changes without other faults and on other networks. Here
// each request must also get exactly one outcome.
func TestRacesOfOperatorsEndInTheLastState(t *testing.T) {
	w := startedWorld(faultSeed, coretest.Coulee)
	w.Net.Loss, w.Net.Jitter, w.Net.Duplicate = 0.05, 200*time.Millisecond, 0.05
	l := &coretest.Load{Rate: steady(25), Chats: 400}
	w.StartLoad(l, 40*time.Second)
	w.Run(15 * time.Second)
	for i := range 5 { // takes dc2 out, in, out, in and out again
		w.Platform.SetDataCentre("dc2", i%2 == 0)
		if i == 3 {
			w.Platform.PublishEndpoints(w.Platform.Endpoints()[1:])
		}
		w.Run(600 * time.Millisecond)
	}
	last := w.Now().Add(-600 * time.Millisecond)
	w.Run(maxPropagationTime)
	accepted := w.Platform.NextRevision() - 1
	for _, n := range w.Nodes {
		if r := n.Core.Dump().Revisions; r.Configuration != accepted {
			t.Errorf("%s has configuration %d in force", n.ID, r.Configuration)
		}
	}
	w.Run(17*time.Second + drainTime)
	for _, e := range w.Endpoints {
		if e.DataCentre == "dc2" && e.LastAccepted.Sub(last) > maxPropagationTime {
			t.Errorf("%s took work %v after its data centre was taken out", e.ID, e.LastAccepted.Sub(last))
		}
	}
	if l.Unknown > 0 || l.Answered+l.NotRun != l.Sent {
		t.Errorf("sent %d, answered %d, not run %d, unknown %d %v", l.Sent, l.Answered, l.NotRun, l.Unknown, l.Reasons)
	}
}

// TestDataCentreCutOffServesItsOwnCallers checks that a partitioned data centre answers all of its
// callers within the load bound, while it does not receive a new configuration.
// TestCutOffDataCentreServes checks the adoption of the configuration after the partition heals.
func TestDataCentreCutOffServesItsOwnCallers(t *testing.T) {
	w := startedWorld(faultSeed, coretest.Coulee)
	w.IsolateDataCentre("dc1")
	before := w.Nodes[0].Core.Dump().Revisions.Configuration
	w.Platform.SetDataCentre("dc3", true)
	w.Run(4 * time.Second) // until owners in other data centres are detected as unreachable
	l := &coretest.Load{Rate: steady(6), Chats: 100, PickNode: func(w *coretest.World) *coretest.Node {
		for {
			if n := w.Nodes[w.Rand().IntN(len(w.Nodes))]; n.DC == "dc1" {
				return n
			}
		}
	}}
	w.StartLoad(l, 20*time.Second)
	w.Run(20 * time.Second)
	if got := w.Nodes[0].Core.Dump().Revisions.Configuration; got != before {
		t.Errorf("configuration %d reached a partitioned data centre, want %d", got, before)
	}
	w.Run(20 * time.Second)
	checkAllAnswered(t, l)
	checkLoads(t, w)
	w.ReconnectDataCentre("dc1")
	w.Run(maxPropagationTime)
	for _, n := range w.Nodes {
		if got := n.Core.Dump().Revisions.Configuration; got == before {
			t.Errorf("%s still has configuration %d after the partition healed", n.ID, got)
		}
	}
}

// TestPlannedStopOfEachRouterCutsOffNothing stops and restarts the routers one after another under
// load, while the load balancer still sends callers to a stopping router for a while. All requests
// must be answered.
func TestPlannedStopOfEachRouterCutsOffNothing(t *testing.T) {
	const loadBalancerDelay = time.Second // how long the load balancer still uses a router that is not ready
	w := startedWorld(faultSeed, oneDataCentre)
	w.OnLog = func(n *coretest.Node, e event.Number, detail string) {
		if e == event.ProcessStopped && !strings.HasPrefix(detail, "0 ") {
			t.Errorf("%s: %s", n.ID, detail)
		}
	}
	ready := map[*coretest.Node]time.Time{}
	pick := func(w *coretest.World) *coretest.Node {
		var accepting []*coretest.Node
		for _, n := range w.Nodes {
			if n.Ready && n.Up() {
				ready[n] = w.Now()
			}
			if n.Up() && w.Now().Sub(ready[n]) < loadBalancerDelay {
				accepting = append(accepting, n)
			}
		}
		return accepting[w.Rand().IntN(len(accepting))]
	}
	l := &coretest.Load{Rate: steady(10), Chats: 200, PickNode: pick}
	w.StartLoad(l, 80*time.Second)
	for _, n := range w.Nodes {
		w.Run(2 * time.Second)
		n.Stop()
		if !w.RunUntil(time.Minute, func() bool { return n.Stopped }) {
			t.Fatalf("%s has not stopped within a minute", n.ID)
		}
		w.Run(time.Second)
		n.Start()
		w.Run(4 * time.Second)
	}
	w.Run(drainTime + 20*time.Second)
	checkAllAnswered(t, l)
	checkLoads(t, w)
}

// outcome records one request and its outcome.
type outcome struct {
	high  bool
	sent  time.Time
	ended time.Time
	core.Finish
}

// TestOverloadServesHigherPriorityFirst sends more requests than the endpoints can serve. Nearly all
// requests of high priority must be answered, and the others refused in time with a retry-after.
func TestOverloadServesHigherPriorityFirst(t *testing.T) {
	const margin = 300 * time.Millisecond // for the owners asked before queuing, and for the tick interval
	w := startedWorld(faultSeed, oneDataCentre)
	c := w.Platform.Config()
	high := c.Plans["standard"]
	high.ID, high.Priority = "high", 5
	c.Plans = map[fleet.PlanID]fleet.Plan{"standard": c.Plans["standard"], "high": high}
	ws := coretest.WorkspaceID(0)
	c.Workspaces[ws] = fleet.Workspace{ID: ws, Plan: high.ID, KeyHashes: []string{coretest.KeyHash(ws)}}
	w.Platform.PublishConfig(c)
	w.Run(maxPropagationTime)
	for _, e := range w.Platform.Endpoints() {
		w.Endpoints[e.ID].Serve = func(*coretest.Endpoint, core.Dispatch, bool) time.Duration {
			return 2*time.Second + time.Duration(w.Rand().Int64N(int64(6*time.Second)))
		}
	}
	outcomes := offer(w, 40*time.Second, 60, 20)
	w.Run(drainTime)
	var sent, answered [2]int
	for _, o := range *outcomes {
		class := 0
		if o.high {
			class = 1
		}
		sent[class]++
		switch {
		case o.Outcome == core.Answered:
			answered[class]++
		case o.Outcome != core.NotRun || o.RetryAfter <= 0:
			t.Errorf("%s ended as %v %s, retry after %v", o.ID, o.Outcome, o.Reason, o.RetryAfter)
		case o.ended.Sub(o.sent) > core.DefaultOptions("", "", 1).MaxQueueWait+margin:
			t.Errorf("%s was refused after %v", o.ID, o.ended.Sub(o.sent))
		}
	}
	t.Logf("answered %d of %d of high, %d of %d of low priority", answered[1], sent[1], answered[0], sent[0])
	if answered[1]*100 < sent[1]*95 {
		t.Errorf("%d of %d requests of high priority answered", answered[1], sent[1])
	}
	if answered[0]*2 > sent[0] {
		t.Errorf("%d of %d requests of low priority answered: no overload", answered[0], sent[0])
	}
	checkLoads(t, w)
}

// offer sends rate requests/s for d, every nth of them with high priority.
func offer(w *coretest.World, d time.Duration, rate, nth int) *[]outcome {
	var outcomes []outcome
	gap := time.Second / time.Duration(rate)
	for i := range int(d / gap) {
		w.Run(gap)
		o := outcome{high: i%nth == 0, sent: w.Now()}
		key := coretest.KeyHash(coretest.WorkspaceID(1))
		if o.high {
			key = coretest.KeyHash(coretest.WorkspaceID(0))
		}
		req := core.CallerRequest{
			APIKeyHash: key, Model: coretest.ModelID(0), Idempotent: true, Affinity: w.Rand().Uint64(), MaxTokens: 100,
		}
		w.Request(anyRunning(w), req, func(f core.Finish) {
			o.ended, o.Finish = w.Now(), f
			outcomes = append(outcomes, o)
		})
	}
	return &outcomes
}
