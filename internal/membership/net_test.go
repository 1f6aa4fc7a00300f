package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const stepInterval = 50 * time.Millisecond

// process is one simulated instance.
type process struct {
	id         fleet.InstanceID
	st         *State
	inc        fleet.Incarnation
	down       bool
	paused     bool
	heartbeats int // heartbeats sent
}

// testNetwork exchanges heartbeats between processes of one data centre.
type testNetwork struct {
	now         time.Time
	rng         *rand.Rand
	processes   []*process
	byID        map[fleet.InstanceID]*process
	loss        float64
	partitioned func(a, b *process) bool
	list        []fleet.Instance
}

func newTestNetwork(seed uint64, n int) *testNetwork {
	net := &testNetwork{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byID: map[fleet.InstanceID]*process{}, partitioned: func(a, b *process) bool { return false },
	}
	for i := range n {
		p := &process{id: fleet.InstanceID(fmt.Sprintf("r%03d", i))}
		net.processes, net.byID[p.id] = append(net.processes, p), p
		net.list = append(net.list, fleet.Instance{ID: p.id, DataCentre: "dc0"})
	}
	for _, p := range net.processes {
		net.restart(p)
	}
	return net
}

func view(in []fleet.Instance) *fleet.View {
	return fleet.NewView(nil, &fleet.InstanceList{Revision: 1, Instances: in}, nil)
}

func (net *testNetwork) restart(p *process) {
	p.inc++
	p.down = false
	p.st = New(p.id, "dc0", Options{})
	p.st.SetView(net.now, view(net.list))
}

// deliver delivers a message from a to b unless it is lost, and returns whether b accepted it.
func (net *testNetwork) deliver(a, b *process) bool {
	if b.down || b.paused || net.partitioned(a, b) || net.rng.Float64() < net.loss {
		return false
	}
	return b.st.OnMessage(net.now, a.id, a.inc)
}

func (net *testNetwork) step() {
	net.now = net.now.Add(stepInterval)
	for _, p := range net.processes {
		if p.down || p.paused {
			continue
		}
		for _, id := range p.st.TakeDueHeartbeats(net.now) {
			p.heartbeats++
			if peer := net.byID[id]; net.deliver(p, peer) {
				net.deliver(peer, p)
			}
		}
	}
}

func (net *testNetwork) run(d time.Duration) {
	for end := net.now.Add(d); net.now.Before(end); {
		net.step()
	}
}

func (net *testNetwork) until(limit time.Duration, cond func() bool) (time.Duration, bool) {
	began := net.now
	for !cond() {
		if net.now.Sub(began) >= limit {
			return limit, false
		}
		net.step()
	}
	return net.now.Sub(began), true
}

// converged reports whether the running processes consider exactly the running ones alive.
func (net *testNetwork) converged() bool {
	for _, p := range net.processes {
		for _, q := range net.processes {
			if !p.down && p.st.Alive(q.id) == q.down {
				return false
			}
		}
	}
	return true
}

// suspicions returns the number of suspected peers over all running processes.
func (net *testNetwork) suspicions() int {
	n := 0
	for _, p := range net.processes {
		if !p.down {
			n += len(p.st.Suspects())
		}
	}
	return n
}
