package mesh

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// settleTime is the time within which all sums are complete once all gateways run and all links are good.
const settleTime = 2 * time.Second

const testEndpoint = 7 // short ID

// simNode is a gateway with one request in flight at testEndpoint and with testBacklog.
type simNode struct {
	Member
	state       *State
	incarnation fleet.Incarnation
	pausedUntil boottime.Instant
}

// fleetSim is a fleet of gateways whose messages are lost, duplicated, delayed and reordered.
type fleetSim struct {
	t     *rapid.T
	now   boottime.Instant
	nodes []*simNode
	queue []queuedStatus
	loss  int // percent
	late  time.Duration
	rng   uint64
}

type queuedStatus struct {
	at       boottime.Instant
	from, to int
	inc      fleet.Incarnation
	m        wire.Status
}

func newFleetSim(t *rapid.T, sizes ...int) *fleetSim {
	sim := &fleetSim{t: t, now: start, rng: rapid.Uint64().Draw(t, "seed")}
	for dc, n := range sizes {
		for i := range n {
			id := fleet.InstanceID(fmt.Sprintf("%c-%d", 'a'+dc, i))
			sim.nodes = append(sim.nodes, &simNode{Member: Member{ID: id, DataCentre: fleet.DataCentreID(rune('a' + dc)), Addr: string(id)}})
		}
	}
	for _, n := range sim.nodes {
		sim.start(n)
	}
	return sim
}

func (sim *fleetSim) random(n int) int {
	sim.rng = fleet.Weight(sim.rng, 1)
	return int(sim.rng % uint64(n))
}

// start starts a new process that knows all members.
func (sim *fleetSim) start(n *simNode) {
	n.incarnation = fleet.Incarnation(1 + sim.random(1<<31))
	n.state = New(sim.now, n.Member, uint64(n.incarnation)<<32)
	n.state.SetEndpoints([]uint32{3, testEndpoint, 9})
	var members []Member
	for _, other := range sim.nodes {
		members = append(members, other.Member)
	}
	n.state.AddMembers(sim.now, members)
}

// run advances the time in steps of a tick.
func (sim *fleetSim) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(40 * time.Millisecond)
		sim.deliver()
		for i, n := range sim.nodes {
			if n.state == nil || sim.now.Before(n.pausedUntil) {
				continue
			}
			l := LocalStatus{InFlight: wire.Counts{testEndpoint: 1}, Backlog: testBacklog(), Version: uint64(sim.now)}
			for _, o := range n.state.Tick(sim.now, l) {
				sim.send(i, sim.index(o.To), n.incarnation, o.Message.(wire.Status))
			}
		}
		sim.checkNotTwice()
	}
}

func (sim *fleetSim) index(id fleet.InstanceID) int {
	for i, n := range sim.nodes {
		if n.ID == id {
			return i
		}
	}
	return -1
}

func (sim *fleetSim) send(from, to int, inc fleet.Incarnation, m wire.Status) {
	copies := 1
	if sim.late > 0 && sim.random(10) == 0 {
		copies = 2
	}
	for range copies {
		if sim.random(100) < sim.loss {
			continue
		}
		delay := time.Millisecond
		if sim.late > 0 {
			delay += time.Duration(sim.random(int(sim.late)))
		}
		sim.queue = append(sim.queue, queuedStatus{sim.now.Add(delay), from, to, inc, m})
	}
}

func (sim *fleetSim) deliver() {
	queue := sim.queue
	sim.queue = nil
	for _, q := range queue {
		to := sim.nodes[q.to]
		switch {
		case q.at > sim.now || sim.now.Before(to.pausedUntil):
			sim.queue = append(sim.queue, q)
		case to.state != nil:
			to.state.Receive(sim.now, sim.nodes[q.from].ID, q.inc, q.m)
		}
	}
}

// checkNotTwice fails if a gateway counts more requests than the others have in flight.
func (sim *fleetSim) checkNotTwice() {
	for _, n := range sim.nodes {
		if n.state == nil || sim.now.Before(n.pausedUntil) {
			continue
		}
		if got := n.state.InFlight(sim.now)[testEndpoint]; got > len(sim.nodes) {
			sim.t.Fatalf("%s counts %d requests of %d gateways", n.ID, got, len(sim.nodes))
		}
		if b := n.state.Backlog(sim.now); b.Reads[testEndpoint] > testRead*time.Duration(len(sim.nodes)) || b.Workspaces[testWorkspace] > len(sim.nodes) {
			sim.t.Fatalf("%s has %+v of %d gateways", n.ID, b, len(sim.nodes))
		}
	}
}

// TestSumsAreCompleteAndCountedOnce plays random faults on a fleet in which each gateway has one request in
// flight: gateways that are killed, restart as new processes or are paused, and messages that are lost,
// duplicated, delayed and reordered. No gateway ever counts more requests than there are. Once all gateways
// run and the links are good for settleTime, each counts exactly the requests of all others.
func TestSumsAreCompleteAndCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newFleetSim(t, 7, 8, 6)
		sim.run(settleTime)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			n := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "gateway")]
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				n.state = nil
			case 1:
				sim.start(n)
			case 2:
				n.pausedUntil = sim.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
			case 3:
				sim.loss = rapid.IntRange(0, 60).Draw(t, "loss")
				sim.late = time.Duration(rapid.IntRange(0, 1000).Draw(t, "late_ms")) * time.Millisecond
			}
			sim.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "run")) * 100 * time.Millisecond)
		}
		sim.loss, sim.late = 0, 0
		for _, n := range sim.nodes {
			n.pausedUntil = 0
			if n.state == nil {
				sim.start(n)
			}
		}
		sim.run(time.Second) // until the last delayed message has arrived
		sim.run(settleTime)
		for _, n := range sim.nodes {
			if got := n.state.InFlight(sim.now)[testEndpoint]; got != len(sim.nodes)-1 {
				t.Errorf("%s counts %d requests of %d other gateways", n.ID, got, len(sim.nodes)-1)
			}
			if b := n.state.Backlog(sim.now); b.Reads[testEndpoint] != testRead*time.Duration(len(sim.nodes)-1) || b.Workspaces[testWorkspace] != len(sim.nodes)-1 {
				t.Errorf("%s has %+v of %d other gateways", n.ID, b, len(sim.nodes)-1)
			}
		}
	})
}

// TestSummaryParts: the counts of more endpoints than fit into one Status arrive in parts.
func TestSummaryParts(t *testing.T) {
	const endpoints = 2*maxSummaryCounts + 10
	var ids []uint32
	counts := wire.Counts{}
	for id := range uint32(endpoints) {
		ids = append(ids, id)
		counts[id] = uint16(1 + id%200)
	}
	members := make([]Member, fullMeshFleetSize+2)
	for i := range members {
		id := fmt.Sprint("g-", i)
		members[i] = Member{ID: fleet.InstanceID(id), DataCentre: "a", Addr: id, CPUMillis: uint32(1000 - i)}
	}
	first, last := New(start, members[0], 1<<40), New(start, members[len(members)-1], 1<<41)
	for _, s := range []*State{first, last} {
		s.SetEndpoints(ids)
		s.AddMembers(start, members)
	}
	for step := range 20 {
		now := start.Add(time.Duration(step) * aggregationInterval)
		for _, o := range last.Tick(now, LocalStatus{Version: uint64(step)}) {
			if o.To == members[0].ID {
				first.Receive(now, last.self.ID, 1, o.Message.(wire.Status))
			}
		}
		for _, o := range first.Tick(now, LocalStatus{InFlight: counts, Version: uint64(step)}) {
			if o.To == last.self.ID {
				last.Receive(now, first.self.ID, 2, o.Message.(wire.Status))
			}
		}
	}
	got := last.InFlight(start.Add(20 * aggregationInterval))
	for id, n := range counts {
		if got[id] != int(n) {
			t.Fatalf("%d requests at endpoint %d, want %d", got[id], id, n)
		}
	}
}

// TestSummaryFitsDatagram: a Status with the summary of many endpoints, many failures and many requests in flight
// is not larger than a datagram without its envelope.
func TestSummaryFitsDatagram(t *testing.T) {
	const maxStatusBytes = 1150
	first := New(start, Member{ID: "first", DataCentre: "a", Addr: "first", CPUMillis: 9}, 1<<40)
	members := []Member{}
	for i := range fullMeshFleetSize + 4 {
		id := fmt.Sprint("g-", i)
		members = append(members, Member{ID: fleet.InstanceID(id), DataCentre: "a", Addr: id})
	}
	first.AddMembers(start, members)
	var ids []uint32
	l := LocalStatus{InFlight: wire.Counts{}, Failed: wire.Counts{}, Version: 1}
	for id := range uint32(3000) {
		ids = append(ids, 1<<31+id)
		if id < 100 {
			l.Failed[1<<31+id] = 1000
		}
		if id < 40 {
			l.InFlight[1<<31+id] = 1000
		}
		if id < 300 { // this gateway is cut off from most endpoints
			l.FailureReports = append(l.FailureReports, wire.FailureReport{Endpoint: 1<<31 + id, AgeMS: 900})
		}
	}
	first.SetEndpoints(ids)
	for _, m := range members {
		first.Receive(start, m.ID, 1, wire.Status{Timestamp: 1})
	}
	for step := range 10 {
		l.Version++
		for _, o := range first.Tick(start.Add(time.Duration(step)*aggregationInterval), l) {
			b, err := wire.Encode(wire.Frame{Message: o.Message})
			if err != nil || len(b) > maxStatusBytes {
				t.Fatalf("a Status of %d bytes, error %v", len(b), err)
			}
		}
	}
}

// TestStoppingAggregatorSendsNoSummary: a gateway whose planned stop has begun no longer aggregates.
func TestStoppingAggregatorSendsNoSummary(t *testing.T) {
	first := New(start, Member{ID: "first", DataCentre: "a", Addr: "first", CPUMillis: 9}, 1<<40)
	for i := range fullMeshFleetSize + 1 {
		id := fmt.Sprint("g-", i)
		first.AddMembers(start, []Member{{ID: fleet.InstanceID(id), DataCentre: "a", Addr: id}})
		first.Receive(start, fleet.InstanceID(id), 1, wire.Status{Timestamp: 1})
	}
	first.SetEndpoints([]uint32{testEndpoint})
	summaries := func(now boottime.Instant, l LocalStatus) (n int) {
		for _, o := range first.Tick(now, l) {
			if o.Message.(wire.Status).Summary != nil {
				n++
			}
		}
		return n
	}
	if n := summaries(start, LocalStatus{Version: 1}); n != fullMeshFleetSize+1 {
		t.Errorf("%d summaries of the first aggregator", n)
	}
	if n := summaries(start.Add(time.Second), LocalStatus{Version: 2, Stopping: true}); n != 0 {
		t.Errorf("%d summaries of a stopping gateway", n)
	}
}
