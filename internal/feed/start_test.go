package feed

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// TestRestartBesideStalePlatform restarts instances of a fleet at configuration 5 while the platform
// returns revision 2. A restarted instance must not become ready with the older configuration if a
// peer that it can reach has the newer one.
func TestRestartBesideStalePlatform(t *testing.T) {
	for _, tc := range []struct {
		name    string
		restart func(sim *simulation, n *node) bool
		adjust  func(sim *simulation)
		want    fleet.Revision
		within  time.Duration
	}{
		{"one instance", only("r0-001"), nil, 5, time.Second},
		{"all but one of the data centre", func(_ *simulation, n *node) bool { return n.dc == "dc0" && n.id != "r0-000" }, nil, 5, 3 * time.Second},
		{"a whole data centre", func(_ *simulation, n *node) bool { return n.dc == "dc0" }, nil, 5, 3 * time.Second},
		{"all at once", func(*simulation, *node) bool { return true }, nil, 2, 3 * time.Second},
		{"platform down, seed peers configured", only("r0-001"), func(sim *simulation) {
			sim.nodes[0].replica.down = true
			sim.opts.SeedPeers = []fleet.InstanceID{"r1-000"}
		}, 5, time.Second},
		{"platform down, seed peers configured, unreachable for its data centre", only("r0-001"), func(sim *simulation) {
			sim.nodes[0].replica.down = true
			sim.opts.SeedPeers = []fleet.InstanceID{"r1-000"}
			sim.partitioned = func(a, b *node) bool { return a.dc == b.dc && (a.id == "r0-001" || b.id == "r0-001") }
		}, 5, 3 * time.Second},
		{"platform down, no seed peers, reachable for its peers", only("r0-001"), func(sim *simulation) { sim.nodes[0].replica.down = true }, 5, 3 * time.Second},
		{"partitioned from its peers", only("r0-001"), func(sim *simulation) {
			sim.partitioned = func(a, b *node) bool { return a.id == "r0-001" || b.id == "r0-001" }
		}, 2, 3 * time.Second},
		{"a third of the messages lost", only("r0-001"), func(sim *simulation) { sim.loss = 0.3 }, 5, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(1, 2, 3, Options{})
			sim.nodes[0].replica.config = testConfig(5, 0)
			if _, ok := sim.runUntil(10*time.Second, sim.converged); !ok {
				t.Fatal("instances have not converged after the start")
			}
			sim.nodes[0].replica.config = testConfig(2, 0)
			if tc.adjust != nil {
				tc.adjust(sim)
			}
			var started []*node
			for _, n := range sim.nodes {
				if tc.restart(sim, n) {
					sim.restart(n)
					started = append(started, n)
				}
			}
			for _, n := range started {
				took, ok := sim.runUntil(tc.within, n.state.Ready)
				if cfg, _, _ := n.state.Revisions(); !ok || cfg != tc.want {
					t.Errorf("%s after %v: ready %v at %d, want %d", n.id, took, ok, cfg, tc.want)
				}
			}
		})
	}
}

// TestRestartAloneInDataCentre checks that the only instance of a data centre queries another data
// centre before it is ready.
func TestRestartAloneInDataCentre(t *testing.T) {
	sim := newSimulation(1, 2, 1, Options{})
	if _, ok := sim.runUntil(10*time.Second, sim.converged); !ok {
		t.Fatal("instances have not converged after the start")
	}
	sim.restart(sim.nodes[0])
	sim.delay = time.Second
	if took, ok := sim.runUntil(3*time.Second, sim.nodes[0].state.Ready); !ok || took < sim.delay/2 {
		t.Errorf("ready %v after %v, before another data centre could reply", ok, took)
	}
}

func only(id fleet.InstanceID) func(*simulation, *node) bool {
	return func(_ *simulation, n *node) bool { return n.id == id }
}

func TestNotReadyWithoutValues(t *testing.T) {
	sim := newSimulation(1, 1, 2, Options{})
	sim.nodes[0].replica.down = true
	if _, ok := sim.runUntil(time.Minute, sim.nodes[0].state.Ready); ok {
		t.Error("ready without a configuration")
	}
}

// TestRevisionOfLostPeer checks that a starting instance waits a bounded time for a revision that a
// peer advertised before it failed.
func TestRevisionOfLostPeer(t *testing.T) {
	sim := newSimulation(1, 1, 2, Options{})
	n := sim.nodes[0]
	sim.nodes[1].down = true
	var out wire.Outbox
	n.state.OnHeader(sim.now, "r0-001", wire.Header{Config: 9}, &out)
	took, ok := sim.runUntil(time.Minute, n.state.Ready)
	if !ok || took < n.state.opts.StartupCatchUpTimeout {
		t.Errorf("ready %v after %v, want after %v", ok, took, n.state.opts.StartupCatchUpTimeout)
	}
}
