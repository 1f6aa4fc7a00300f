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
			p := newSimulation(1, tc.dcs, tc.n, Options{})
			p.nodes[0].replica.config = tc.config(1)
			if _, ok := p.runUntil(20*time.Second, p.converged); !ok {
				t.Fatal("processes have not converged after the start")
			}
			p.loss = tc.loss
			idle := p.peakRate(10 * time.Second)
			p.nodes[0].replica.config = tc.config(2)
			p.resetCounters()
			took, ok := p.runUntil(maxPropagationTime, p.converged)
			if !ok {
				t.Fatal("change not adopted in time")
			}
			change, reads := p.peakBytes(), 0
			for _, n := range p.nodes {
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
	p := newSimulation(1, 1, 27, Options{})
	p.nodes[0].replica.config = largeConfig(1)
	if _, ok := p.runUntil(20*time.Second, p.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	p.resetCounters()
	next := largeConfig(2)
	for i := range workspaces {
		id := fleet.WorkspaceID(fmt.Sprintf("W%03d", i))
		w := next.Workspaces[id]
		for k := range w.KeyHash {
			w.KeyHash[k] = "x" + w.KeyHash[k][1:]
		}
	}
	size := min(encodeConfig(largeConfig(1)).diff(encodeConfig(next)).size(), encodeConfig(next).size())
	p.nodes[0].replica.config = next
	took, ok := p.runUntil(maxPropagationTime, p.converged)
	if !ok {
		t.Fatal("change not adopted in time")
	}
	t.Logf("change of %d bytes adopted by all after %v; busiest process %d bytes", size, took, p.peakBytes())
	for _, n := range p.nodes {
		if n.received > 3*size/2 {
			t.Errorf("%s received %d bytes for a change of %d", n.id, n.received, size)
		}
	}
	if p.peakBytes() > 2*fanout*size {
		t.Errorf("one process sent or received %d bytes for a value of %d", p.peakBytes(), size)
	}
}

// TestDataCentreWithoutPlatform checks that a data centre that cannot reach the platform receives
// changes from the other data centres.
func TestDataCentreWithoutPlatform(t *testing.T) {
	p := newSimulation(1, 3, 9, Options{})
	if _, ok := p.runUntil(20*time.Second, p.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	for _, n := range p.nodes {
		if n.dc == "dc2" {
			n.replica = &platformReplica{down: true}
		}
	}
	for _, reachable := range []fleet.DataCentreID{"dc0", "dc1"} {
		p.partitioned = func(a, b *node) bool {
			return (a.dc == "dc2" && b.dc != reachable || b.dc == "dc2" && a.dc != reachable) && a.dc != b.dc
		}
		p.nodes[0].replica.config = testConfig(p.nodes[0].replica.config.Revision+1, 0)
		if took, ok := p.runUntil(maxPropagationTime, p.converged); !ok || took > 2*platformReadInterval {
			t.Errorf("not adopted through %s alone after %v", reachable, took)
		}
	}
	p.partitioned = func(a, b *node) bool { return a.dc != b.dc }
	p.nodes[0].replica.config = testConfig(p.nodes[0].replica.config.Revision+1, 0)
	p.run(3 * time.Second)
	p.partitioned = func(a, b *node) bool { return false }
	if took, ok := p.runUntil(maxPropagationTime, p.converged); !ok {
		t.Errorf("not adopted %v after the end of the partition", took)
	}
}

func TestReadersPerDataCentre(t *testing.T) {
	p := newSimulation(1, 3, 27, Options{})
	if _, ok := p.runUntil(20*time.Second, p.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	for range 30 {
		readers := map[fleet.DataCentreID]int{}
		for _, n := range p.nodes {
			if !n.down && n.state.isPermanentReader() {
				readers[n.dc]++
				n.down = n.dc == "dc1" && readers["dc1"] == 1
			}
		}
		for _, dc := range []fleet.DataCentreID{"dc0", "dc1", "dc2"} {
			left := 0
			for _, n := range p.nodes {
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
	p := newSimulation(1, 1, 9, Options{})
	if _, ok := p.runUntil(20*time.Second, p.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	fresh := *p.nodes[0].replica
	fresh.config = testConfig(2, 0)
	for _, n := range p.nodes {
		if !n.state.isPermanentReader() {
			n.replica = &fresh
		}
	}
	if _, ok := p.runUntil(9*p.nodes[0].state.opts.ReaderRotation, p.converged); !ok {
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
	p := newSimulation(1, dcs, 9, Options{})
	p.partitioned = func(a, b *node) bool { return true }
	conflicting := *p.nodes[0].replica
	conflicting.config = testConfig(1, 1)
	for i, n := range p.nodes {
		if i%2 == 0 {
			n.replica = &conflicting
		}
	}
	p.run(4 * time.Second)
	p.partitioned = func(a, b *node) bool { return false }
	if took, ok := p.runUntil(30*time.Second, p.converged); !ok {
		t.Errorf("contents differ in %d data centres after %v", dcs, took)
	}
}

// TestRefusedValueIsLeftAside checks that a value that cannot be decoded is not fetched repeatedly,
// and that a later valid value is adopted.
func TestRefusedValueIsLeftAside(t *testing.T) {
	p := newSimulation(1, 1, 2, Options{})
	p.nodes[0].replica.config = largeConfig(1)
	if _, ok := p.runUntil(20*time.Second, p.converged); !ok {
		t.Fatal("processes have not converged after the start")
	}
	sender, v := p.nodes[0].state, &p.nodes[0].state.values[0]
	v.records = v.records.apply(changes{"newer/kind": []byte("x")})
	v.rev, v.hash = 9, v.records.hash()
	v.history.reset()
	p.resetCounters()
	p.run(20 * time.Second)
	if most := 2 * v.size; p.nodes[1].received > most {
		t.Errorf("received %d bytes, want at most %d", p.nodes[1].received, most)
	}
	if rev, _, _ := p.nodes[1].state.Revisions(); rev != 1 {
		t.Errorf("adopted revision %d", rev)
	}
	p.nodes[0].replica.config = testConfig(10, 0)
	p.nodes[0].lastRead = platformReplica{}
	if _, ok := p.runUntil(maxPropagationTime, p.converged); !ok {
		t.Errorf("a later valid value is not adopted: %v", sender.values[0].rev)
	}
}

func smallConfig(rev fleet.Revision) *fleet.Configuration { return testConfig(rev, 0) }

// resetCounters zeroes the traffic counters.
func (p *simulation) resetCounters() {
	for _, n := range p.nodes {
		n.sent, n.received, n.platformReads = 0, 0, 0
	}
}

// peakBytes returns the most bytes that one process sent or received.
func (p *simulation) peakBytes() int {
	most := 0
	for _, n := range p.nodes {
		most = max(most, n.sent, n.received)
	}
	return most
}

// peakRate advances the time by d and returns the bytes per second of the busiest process.
func (p *simulation) peakRate(d time.Duration) int {
	p.resetCounters()
	p.run(d)
	return p.peakBytes() / int(d/time.Second)
}
