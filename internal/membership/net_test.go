package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const netStep = 50 * time.Millisecond

// process is one instance of a net.
type process struct {
	id     fleet.InstanceID
	st     *State
	inc    fleet.Incarnation
	down   bool
	frozen bool
	beats  int // heartbeats sent
}

// net exchanges heartbeats between processes of one data centre.
type net struct {
	now  time.Time
	rng  *rand.Rand
	ps   []*process
	byID map[fleet.InstanceID]*process
	loss float64
	cut  func(a, b *process) bool
	list []fleet.Instance
}

func newNet(seed uint64, n int) *net {
	w := &net{
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

func (w *net) restart(p *process) {
	p.inc++
	p.down = false
	p.st = New(p.id, "dc0", Options{})
	p.st.SetView(w.now, view(w.list))
}

// pass delivers a message, or loses it.
func (w *net) pass(a, b *process) bool {
	if b.down || b.frozen || w.cut(a, b) || w.rng.Float64() < w.loss {
		return false
	}
	return b.st.OnMessage(w.now, a.id, a.inc)
}

func (w *net) step() {
	w.now = w.now.Add(netStep)
	for _, p := range w.ps {
		if p.down || p.frozen {
			continue
		}
		for _, id := range p.st.DueHeartbeats(w.now) {
			p.beats++
			if peer := w.byID[id]; w.pass(p, peer) {
				w.pass(peer, p)
			}
		}
	}
}

func (w *net) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *net) until(limit time.Duration, cond func() bool) (time.Duration, bool) {
	began := w.now
	for !cond() {
		if w.now.Sub(began) >= limit {
			return limit, false
		}
		w.step()
	}
	return w.now.Sub(began), true
}

// agree tells whether each running process takes exactly the running ones for alive.
func (w *net) agree() bool {
	for _, p := range w.ps {
		for _, q := range w.ps {
			if !p.down && p.st.Alive(q.id) == q.down {
				return false
			}
		}
	}
	return true
}

// suspicions counts the peers that running processes suspect.
func (w *net) suspicions() int {
	n := 0
	for _, p := range w.ps {
		if !p.down {
			n += len(p.st.Suspects())
		}
	}
	return n
}
