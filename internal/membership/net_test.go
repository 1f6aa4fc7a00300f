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
	frozen     bool
	heartbeats int // heartbeats sent
}

// testNetwork exchanges heartbeats between processes of one data centre.
type testNetwork struct {
	now  time.Time
	rng  *rand.Rand
	ps   []*process
	byID map[fleet.InstanceID]*process
	loss float64
	cut  func(a, b *process) bool
	list []fleet.Instance
}

func newTestNetwork(seed uint64, n int) *testNetwork {
	w := &testNetwork{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		byID: map[fleet.InstanceID]*process{}, cut: func(a, b *process) bool { return false },
	}
	for i := range n {
		p := &process{id: fleet.InstanceID(fmt.Sprintf("r%03d", i))}
		w.ps, w.byID[p.id] = append(w.ps, p), p
		w.list = append(w.list, fleet.Instance{ID: p.id, DataCentre: "dc0"})
	}
	for _, p := range w.ps {
		w.restart(p)
	}
	return w
}

func view(in []fleet.Instance) *fleet.View {
	return fleet.NewView(nil, &fleet.InstanceList{Revision: 1, Instances: in}, nil)
}

func (w *testNetwork) restart(p *process) {
	p.inc++
	p.down = false
	p.st = New(p.id, "dc0", Options{})
	p.st.SetView(w.now, view(w.list))
}

// deliver delivers a message from a to b unless it is lost, and returns whether b accepted it.
func (w *testNetwork) deliver(a, b *process) bool {
	if b.down || b.frozen || w.cut(a, b) || w.rng.Float64() < w.loss {
		return false
	}
	return b.st.OnMessage(w.now, a.id, a.inc)
}

func (w *testNetwork) step() {
	w.now = w.now.Add(stepInterval)
	for _, p := range w.ps {
		if p.down || p.frozen {
			continue
		}
		for _, id := range p.st.TakeDueHeartbeats(w.now) {
			p.heartbeats++
			if peer := w.byID[id]; w.deliver(p, peer) {
				w.deliver(peer, p)
			}
		}
	}
}

func (w *testNetwork) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *testNetwork) until(limit time.Duration, cond func() bool) (time.Duration, bool) {
	began := w.now
	for !cond() {
		if w.now.Sub(began) >= limit {
			return limit, false
		}
		w.step()
	}
	return w.now.Sub(began), true
}

// converged reports whether the running processes consider exactly the running ones alive.
func (w *testNetwork) converged() bool {
	for _, p := range w.ps {
		for _, q := range w.ps {
			if !p.down && p.st.Alive(q.id) == q.down {
				return false
			}
		}
	}
	return true
}

// suspicions returns the number of suspected peers over all running processes.
func (w *testNetwork) suspicions() int {
	n := 0
	for _, p := range w.ps {
		if !p.down {
			n += len(p.st.Suspects())
		}
	}
	return n
}
