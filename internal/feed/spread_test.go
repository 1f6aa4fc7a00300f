package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// maxPropagationTime bounds the time from publication until all processes have adopted a change.
const maxPropagationTime = 5 * time.Second

// maxPushTime bounds the propagation time without message loss. It is shorter than the delay of any
// repair, so pushes alone must deliver the change.
const maxPushTime = platformReadInterval

func TestChangeReachesAll(t *testing.T) {
	for _, tc := range []struct {
		dcs, n int
		loss   float64
		config func(fleet.Revision) *fleet.Configuration
	}{
		{1, 1, 0, smallConfig}, {1, 2, 0, smallConfig}, {1, 9, 0, largeConfig}, {3, 3, 0.3, smallConfig},
		{1, 27, 0.3, largeConfig}, {5, 82, 0, smallConfig}, {2, 82, 0.3, smallConfig},
	} {
		t.Run(fmt.Sprintf("%dx%d loss %v", tc.dcs, tc.n, tc.loss), func(t *testing.T) {
			sim := newSimulation(1, tc.dcs, tc.n, Options{})
			sim.nodes[0].replica.config = tc.config(1)
			if _, ok := sim.runUntil(20*time.Second, sim.converged); !ok {
				t.Fatal("processes have not converged after the start")
			}
			sim.loss = tc.loss
			idle := sim.peakRate(10 * time.Second)
			sim.nodes[0].replica.config = tc.config(2)
			sim.resetCounters()
			took, ok := sim.runUntil(maxPropagationTime, sim.converged)
			if !ok {
				t.Fatal("change not adopted in time")
			}
			change, reads := sim.peakBytes(), 0
			for _, n := range sim.nodes {
				reads += n.platformReads
			}
			t.Logf("adopted by all after %v; busiest process: %d B/s idle, %d B for the change", took, idle, change)
			if tc.loss == 0 && took > maxPushTime {
				t.Errorf("adopted by all after %v without loss, want %v", took, maxPushTime)
			}
			if change > 16<<10 {
				t.Errorf("one process sent or received %d bytes for the change", change)
			}
			if idle > 1<<10 {
				t.Errorf("one process sent or received %d bytes per second without a change", idle)
			}
			if most := tc.dcs * (permanentReadersPerDataCentre + 1) * (int(took/platformReadInterval) + 2); reads > most {
				t.Errorf("%d reads of the platform, want at most %d", reads, most)
			}
		})
	}
}

// TestLargeChangeIsShared bounds the bytes that one process sends or receives while a large change
// spreads by pulls.
func TestLargeChangeIsShared(t *testing.T) {
	for _, workspaces := range []int{32, 320} {
		testLargeChange(t, workspaces)
	}
}

func testLargeChange(t *testing.T, workspaces int) {
	sim := newSimulation(1, 1, 27, Options{})
	sim.nodes[0].replica.config = largeConfig(1)
	if _, ok := sim.runUntil(20*time.Second, sim.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	sim.resetCounters()
	next := largeConfig(2)
	for i := range workspaces {
		id := fleet.WorkspaceID(fmt.Sprintf("W%03d", i))
		w := next.Workspaces[id]
		for k := range w.KeyHashes {
			w.KeyHashes[k] = "x" + w.KeyHashes[k][1:]
		}
	}
	size := min(encodeConfig(largeConfig(1)).diff(encodeConfig(next)).size(), encodeConfig(next).size())
	sim.nodes[0].replica.config = next
	took, ok := sim.runUntil(maxPropagationTime, sim.converged)
	if !ok {
		t.Fatal("change not adopted in time")
	}
	t.Logf("change of %d bytes adopted by all after %v; busiest process %d bytes", size, took, sim.peakBytes())
	for _, n := range sim.nodes {
		if n.received > 3*size/2 {
			t.Errorf("%s received %d bytes for a change of %d", n.id, n.received, size)
		}
	}
	if sim.peakBytes() > 2*fanout*size {
		t.Errorf("one process sent or received %d bytes for a value of %d", sim.peakBytes(), size)
	}
}

// TestDataCentreWithoutPlatform checks that a data centre that cannot reach the platform receives
// changes from the other data centres.
func TestDataCentreWithoutPlatform(t *testing.T) {
	sim := newSimulation(1, 3, 9, Options{})
	if _, ok := sim.runUntil(20*time.Second, sim.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	for _, n := range sim.nodes {
		if n.dc == "dc2" {
			n.replica = &platformReplica{down: true}
		}
	}
	for _, reachable := range []fleet.DataCentreID{"dc0", "dc1"} {
		sim.partitioned = func(a, b *node) bool {
			return (a.dc == "dc2" && b.dc != reachable || b.dc == "dc2" && a.dc != reachable) && a.dc != b.dc
		}
		sim.nodes[0].replica.config = testConfig(sim.nodes[0].replica.config.Revision+1, 0)
		if took, ok := sim.runUntil(maxPropagationTime, sim.converged); !ok || took > 2*platformReadInterval {
			t.Errorf("not adopted through %s alone after %v", reachable, took)
		}
	}
	sim.partitioned = func(a, b *node) bool { return a.dc != b.dc }
	sim.nodes[0].replica.config = testConfig(sim.nodes[0].replica.config.Revision+1, 0)
	sim.run(3 * time.Second)
	sim.partitioned = func(a, b *node) bool { return false }
	if took, ok := sim.runUntil(maxPropagationTime, sim.converged); !ok {
		t.Errorf("not adopted %v after the end of the partition", took)
	}
}

func TestReadersPerDataCentre(t *testing.T) {
	sim := newSimulation(1, 3, 27, Options{})
	if _, ok := sim.runUntil(20*time.Second, sim.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	for range 30 {
		readers := map[fleet.DataCentreID]int{}
		for _, n := range sim.nodes {
			if !n.down && n.state.isPermanentReader() {
				readers[n.dc]++
				n.down = n.dc == "dc1" && readers["dc1"] == 1
			}
		}
		for _, dc := range []fleet.DataCentreID{"dc0", "dc1", "dc2"} {
			left := 0
			for _, n := range sim.nodes {
				if n.dc == dc && !n.down {
					left++
				}
			}
			if dc != "dc1" && readers[dc] != min(left, permanentReadersPerDataCentre) {
				t.Fatalf("%d readers among %d instances in %s", readers[dc], left, dc)
			}
			if dc == "dc1" && left > 0 && readers[dc] == 0 {
				t.Fatalf("no reader among %d instances", left)
			}
		}
	}
}

// TestReadersWithStalePlatform checks that the rotating reader finds a newer value when the
// permanent readers read stale replicas.
func TestReadersWithStalePlatform(t *testing.T) {
	sim := newSimulation(1, 1, 9, Options{})
	if _, ok := sim.runUntil(20*time.Second, sim.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	fresh := *sim.nodes[0].replica
	fresh.config = testConfig(2, 0)
	for _, n := range sim.nodes {
		if !n.state.isPermanentReader() {
			n.replica = &fresh
		}
	}
	if _, ok := sim.runUntil(9*sim.nodes[0].state.opts.ReaderRotation, sim.converged); !ok {
		t.Error("the newer value was not adopted")
	}
}

// TestConflictEnds checks that processes with different content at one revision converge without a
// later revision.
func TestConflictEnds(t *testing.T) {
	for dcs := range 3 {
		testConflictEnds(t, dcs+1)
	}
}

func testConflictEnds(t *testing.T, dcs int) {
	sim := newSimulation(1, dcs, 9, Options{})
	sim.partitioned = func(a, b *node) bool { return true }
	conflicting := *sim.nodes[0].replica
	conflicting.config = testConfig(1, 1)
	for i, n := range sim.nodes {
		if i%2 == 0 {
			n.replica = &conflicting
		}
	}
	sim.run(4 * time.Second)
	sim.partitioned = func(a, b *node) bool { return false }
	if took, ok := sim.runUntil(30*time.Second, sim.converged); !ok {
		t.Errorf("contents differ in %d data centres after %v", dcs, took)
	}
}

// TestRejectedValueIsNotPulledAgain checks that a value that cannot be decoded is not fetched repeatedly,
// and that a later valid value is adopted.
func TestRejectedValueIsNotPulledAgain(t *testing.T) {
	sim := newSimulation(1, 1, 2, Options{})
	sim.nodes[0].replica.config = largeConfig(1)
	if _, ok := sim.runUntil(20*time.Second, sim.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	sender, v := sim.nodes[0].state, &sim.nodes[0].state.values[0]
	v.records = v.records.apply(changes{"newer/kind": []byte("x")})
	v.rev, v.hash = 9, v.records.hash()
	v.history.reset()
	sim.resetCounters()
	sim.run(20 * time.Second)
	if most := 2 * v.size; sim.nodes[1].received > most {
		t.Errorf("received %d bytes, want at most %d", sim.nodes[1].received, most)
	}
	if rev, _, _ := sim.nodes[1].state.Revisions(); rev != 1 {
		t.Errorf("adopted revision %d", rev)
	}
	sim.nodes[0].replica.config = testConfig(10, 0)
	sim.nodes[0].lastRead = platformReplica{}
	if _, ok := sim.runUntil(maxPropagationTime, sim.converged); !ok {
		t.Errorf("a later valid value is not adopted: %v", sender.values[0].rev)
	}
}

func smallConfig(rev fleet.Revision) *fleet.Configuration { return testConfig(rev, 0) }

// resetCounters zeroes the traffic counters.
func (s *simulation) resetCounters() {
	for _, n := range s.nodes {
		n.sent, n.received, n.platformReads = 0, 0, 0
	}
}

// peakBytes returns the most bytes that one process sent or received.
func (s *simulation) peakBytes() int {
	most := 0
	for _, n := range s.nodes {
		most = max(most, n.sent, n.received)
	}
	return most
}

// peakRate advances the time by d and returns the bytes per second of the busiest process.
func (s *simulation) peakRate(d time.Duration) int {
	s.resetCounters()
	s.run(d)
	return s.peakBytes() / int(d/time.Second)
}
