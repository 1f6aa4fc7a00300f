package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// maxPropagationTime is the maximum time until a published value is current at all routers.
const maxPropagationTime = 5 * time.Second

// revisions returns the current revisions of a router.
func revisions(n *coretest.Node) [3]fleet.Revision {
	r := n.Core.Dump().Revisions
	return [3]fleet.Revision{r.Configuration, r.Instances, r.Endpoints}
}

// allAtConfigRevision returns a condition that holds if all running routers have configuration
// revision rev.
func allAtConfigRevision(w *coretest.World, rev fleet.Revision) func() bool {
	return func() bool {
		for _, n := range w.Nodes {
			if n.Up() && revisions(n)[0] != rev {
				return false
			}
		}
		return true
	}
}

// watchRevisions fails the test if a revision decreases within one incarnation of a router.
func watchRevisions(t *testing.T, w *coretest.World) {
	last := map[*core.Core][3]fleet.Revision{}
	var check func()
	check = func() {
		for _, n := range w.Nodes {
			now, before := revisions(n), last[n.Core]
			for f := range now {
				if now[f] < before[f] {
					t.Errorf("%s: feed %d went from %d to %d", n.ID, f+1, before[f], now[f])
				}
			}
			last[n.Core] = now
		}
		w.After(50*time.Millisecond, check)
	}
	check()
}

// TestOperatorsRace takes a data centre out of service, in and out again within seconds.
// The last state must be current at all routers within maxPropagationTime, and the data
// centre's endpoints must accept no requests from then on.
func TestOperatorsRace(t *testing.T) {
	for _, tt := range []struct {
		name string
		gap  time.Duration
		net  coretest.Network
	}{
		{"quiet network", time.Second, coretest.Network{Latency: time.Millisecond}},
		{"within a round trip", 2 * time.Millisecond, coretest.Network{Latency: 5 * time.Millisecond}},
		{"messages lost, late and twice", 300 * time.Millisecond, coretest.Network{Latency: time.Millisecond, Jitter: 400 * time.Millisecond, Loss: 0.2, Duplicate: 0.2}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w, l := startWithLoad(1, coretest.Coulee, 20)
			watchRevisions(t, w)
			w.Net = tt.net
			w.StartLoad(l, 40*time.Second)
			w.Run(10 * time.Second)
			for _, out := range []bool{true, false, true, false, true} {
				w.Platform.SetDataCentre("dc1", out)
				w.Run(tt.gap)
			}
			last := w.Platform.NextRevision() - 1
			w.Run(maxPropagationTime)
			if !allAtConfigRevision(w, last)() {
				t.Fatalf("revision %d is not in force after %v", last, maxPropagationTime)
			}
			end := w.Now()
			w.Run(20 * time.Second)
			for id, e := range w.Endpoints {
				if e.DataCentre == "dc1" && e.LastAccepted.After(end) {
					t.Errorf("%s accepted a request %v after its data centre was out of service everywhere", id, e.LastAccepted.Sub(end))
				}
			}
		})
	}
}

// TestCutOffDataCentreServes checks that a partitioned data centre serves with its last
// configuration and adopts the latest one within maxPropagationTime after the partition
// heals.
func TestCutOffDataCentreServes(t *testing.T) {
	w, _ := startWithLoad(1, coretest.Shape{Regions: 1, DataCentres: 3, Instances: 9, Engines: 12, Models: 1, Workspaces: 4, Capacity: 32}, 20)
	watchRevisions(t, w)
	w.IsolateDataCentre("dc1")
	w.Run(10 * time.Second)
	before := revisions(w.Nodes[0])[0]
	w.Platform.SetDataCentre("dc2", true)
	latest := w.Platform.NextRevision() - 1
	answered := 0
	for i := range 40 {
		req := core.CallerRequest{APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Model: coretest.ModelID(0), Idempotent: true,
			Affinity: uint64(i) * 0x9e3779b97f4a7c15, PromptTokens: 100, MaxTokens: 100}
		w.After(time.Duration(i)*200*time.Millisecond, func() {
			w.Request(w.Nodes[0], req, func(f core.Finish) {
				if f.Outcome == core.Answered {
					answered++
				}
			})
		})
	}
	w.Run(40 * time.Second)
	if answered != 40 {
		t.Errorf("the partitioned data centre answered %d of 40 requests", answered)
	}
	if got := revisions(w.Nodes[0])[0]; got != before {
		t.Errorf("revision %d reached the partitioned data centre, want %d", got, before)
	}
	w.ReconnectDataCentre("dc1")
	if !w.RunUntil(maxPropagationTime, allAtConfigRevision(w, latest)) {
		t.Errorf("revision %d is not in force %v after the partition healed", latest, maxPropagationTime)
	}
}

// TestRestartsBesideBadPlatform restarts routers one after another, or two at once, while
// the platform is unreachable or serves old values. Each router must obtain the current
// revisions from its peers.
func TestRestartsBesideBadPlatform(t *testing.T) {
	seeds := func(o *core.Options) {
		o.SeedPeers = []core.SeedPeer{{ID: "i002", Addr: "i002"}, {ID: "i003", Addr: "i003"}}
	}
	for _, tt := range []struct {
		name   string
		down   bool
		seeds  func(*core.Options)
		atOnce int
	}{
		{"down, seeds known", true, seeds, 1},
		{"down, no seeds", true, nil, 1},
		{"stale", false, nil, 1},
		{"stale, two at once", false, nil, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := coretest.New(1)
			w.Build(coretest.Coulee)
			w.Run(10 * time.Second)
			watchRevisions(t, w)
			stale := w.Platform.Snapshot()
			w.Platform.SetDataCentre("dc1", true)
			w.Run(maxPropagationTime)
			want := revisions(w.Nodes[0])
			stale()
			w.Platform.Down, w.Options = tt.down, tt.seeds
			w.Net.Latency = 100 * time.Millisecond // the platform responds before the peers
			for i := 0; i+tt.atOnce <= len(w.Nodes); i += tt.atOnce {
				restartAll(t, w, w.Nodes[i:i+tt.atOnce], want)
			}
		})
	}
}

func restartAll(t *testing.T, w *coretest.World, nodes []*coretest.Node, want [3]fleet.Revision) {
	for _, n := range nodes {
		n.Kill()
	}
	w.Run(500 * time.Millisecond)
	for _, n := range nodes {
		n.Start()
	}
	for _, n := range nodes {
		w.RunUntil(15*time.Second, func() bool { return n.Ready })
		if got := revisions(n); !n.Ready || got != want {
			t.Errorf("%s ready %v with revisions %v, want %v", n.ID, n.Ready, got, want)
		}
	}
	w.Run(5 * time.Second)
}

// TestPausedRouterResumesAfterDataCentreIsOut pauses a router with pending requests while a
// data centre is taken out of service. After the router resumes, none of the requests may
// reach that data centre.
func TestPausedRouterResumesAfterDataCentreIsOut(t *testing.T) {
	w, l := startWithLoad(1, coretest.Coulee, 20)
	w.StartLoad(l, 30*time.Second)
	w.Run(5 * time.Second)
	n := w.Node("i002")
	n.Pause()
	ended := 0
	for i := range 40 {
		w.Request(n, core.CallerRequest{APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Model: coretest.ModelID(0), Idempotent: true,
			Affinity: uint64(i) * 0x9e3779b97f4a7c15, PromptTokens: 100, MaxTokens: 100}, func(core.Finish) { ended++ })
	}
	w.Platform.SetDataCentre("dc1", true)
	w.Run(maxPropagationTime)
	out := w.Now()
	w.Run(10 * time.Second)
	n.Resume()
	w.Run(40 * time.Second)
	if ended != 40 {
		t.Errorf("%d of 40 requests ended", ended)
	}
	for id, e := range w.Endpoints {
		if e.DataCentre == "dc1" && e.LastAccepted.After(out) {
			t.Errorf("%s accepted a request %v after its data centre was taken out of service", id, e.LastAccepted.Sub(out))
		}
	}
}

// TestFlappingListsEndInAgreement publishes instance lists that add and remove routers in
// quick succession. All routers must converge to the same revisions and see all peers as
// alive and usable.
func TestFlappingListsEndInAgreement(t *testing.T) {
	w := coretest.New(1)
	w.Net = coretest.Network{Latency: time.Millisecond, Jitter: 100 * time.Millisecond, Loss: 0.1, Duplicate: 0.1}
	w.Build(coretest.Coulee)
	w.Run(10 * time.Second)
	watchRevisions(t, w)
	all := append([]fleet.Instance(nil), w.Platform.Instances()...)
	w.Platform.Delay = 700 * time.Millisecond
	for i := range 20 {
		in := append([]fleet.Instance(nil), all...)
		in = append(in[:i%len(in)], in[i%len(in)+1:]...)
		w.Platform.PublishInstances(in)
		w.Run(time.Duration(100+i*137%900) * time.Millisecond)
	}
	w.Platform.PublishInstances(all)
	w.Net = coretest.Network{Latency: time.Millisecond}
	agree := func() bool {
		for _, n := range w.Nodes {
			if revisions(n) != revisions(w.Nodes[0]) {
				return false
			}
			for _, p := range n.Core.Dump().Peers {
				if !p.Alive || !p.Usable {
					return false
				}
			}
		}
		return true
	}
	if !w.RunUntil(time.Minute, agree) {
		t.Error("routers disagree a minute after the last change")
	}
}

// TestControlTraffic bounds the control traffic of a router without load, at three fleet sizes.
func TestControlTraffic(t *testing.T) {
	for _, s := range []coretest.Shape{
		{Regions: 1, DataCentres: 3, Instances: 9, Engines: 12, Models: 1, Workspaces: 10, Capacity: 32},
		{Regions: 1, DataCentres: 3, Instances: 27, Engines: 36, Models: 1, Workspaces: 20, Capacity: 32},
		{Regions: 2, DataCentres: 5, Instances: 81, Engines: 120, Models: 2, Workspaces: 60, Capacity: 32},
	} {
		t.Run(fmt.Sprint(s.Instances), func(t *testing.T) {
			w := coretest.New(1)
			w.Build(s)
			w.Run(15 * time.Second)
			sent := map[fleet.InstanceID]uint64{}
			got := map[fleet.InstanceID]uint64{}
			for _, n := range w.Nodes {
				sent[n.ID], got[n.ID] = n.Sent.Bytes, n.Received
			}
			w.After(time.Second, func() { w.Platform.SetDataCentre("dc1", true) }) // one change in 24 s, three times the rate of 1,200 a day
			w.Run(24 * time.Second)
			var most, sum uint64
			for _, n := range w.Nodes {
				b := (n.Sent.Bytes - sent[n.ID] + n.Received - got[n.ID]) / 24
				most, sum = max(most, b), sum+b
			}
			t.Logf("%d routers: both ways %d B/s on average, %d B/s at most", s.Instances, sum/uint64(len(w.Nodes)), most)
			if most > 5<<10 {
				t.Errorf("%d B/s", most)
			}
		})
	}
}

// startWithLoad returns a running deployment and a load on it.
func startWithLoad(seed uint64, s coretest.Shape, rate float64) (*coretest.World, *coretest.Load) {
	w := startedWorld(seed, s)
	return w, &coretest.Load{Rate: func(time.Duration) float64 { return rate }, Chats: 400}
}
