package coretest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/vtime"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Epoch is the virtual time at which a World begins.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Network sets how messages between routers travel.
type Network struct {
	Latency   time.Duration // one way
	Jitter    time.Duration // added uniformly, reorders messages
	Loss      float64       // probability
	Duplicate float64       // probability
}

// World is a fleet of cores with its endpoints and its platform.
type World struct {
	vtime.Timeline

	Net       Network
	Nodes     []*Node
	Endpoints map[fleet.EndpointID]*Endpoint
	Platform  *Platform
	Options   func(*core.Options) // adjusts the options of each core before it starts

	// OnLog, if set, sees every log action.
	OnLog func(n *Node, e event.Number, detail string)

	rng    *rand.Rand
	nodes  map[fleet.InstanceID]*Node
	cuts   map[[2]string]bool // pairs of instances or data centres that cannot reach each other
	waits  map[fleet.RequestID]func(core.Finish)
	asked  map[fleet.RequestID]func(core.IssueTickets)
	affs   map[fleet.RequestID]uint64
	served map[fleet.RequestID]fleet.EndpointID // endpoint of the last attempt
	ids    uint64

	Measures Measures
	Policy   Policy // decides in place of the cores, nil: the cores decide

	placed map[fleet.RequestID]chosen
	born   map[fleet.RequestID]time.Time
}

// New returns an empty world.
func New(seed uint64) *World {
	w := &World{
		Net:       Network{Latency: 500 * time.Microsecond},
		Endpoints: map[fleet.EndpointID]*Endpoint{},
		rng:       rand.New(rand.NewPCG(seed, 1)),
		nodes:     map[fleet.InstanceID]*Node{},
		cuts:      map[[2]string]bool{},
		waits:     map[fleet.RequestID]func(core.Finish){},
		asked:     map[fleet.RequestID]func(core.IssueTickets){},
		placed:    map[fleet.RequestID]chosen{},
		born:      map[fleet.RequestID]time.Time{},
		affs:      map[fleet.RequestID]uint64{},
		served:    map[fleet.RequestID]fleet.EndpointID{},
	}
	w.Platform = &Platform{w: w}
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return Epoch.Add(w.Elapsed()) }

// Rand returns the world's random source.
func (w *World) Rand() *rand.Rand { return w.rng }

// RunUntil lets time pass until cond holds, at most d. It tells whether cond held.
func (w *World) RunUntil(d time.Duration, cond func() bool) bool {
	end := w.Now().Add(d)
	for !cond() {
		if !w.Now().Before(end) {
			return false
		}
		w.Run(10 * time.Millisecond)
	}
	return true
}

// Cut separates two instances or two data centres; Heal joins them again.
func (w *World) Cut(a, b string) { w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = true, true }

// Heal undoes Cut.
func (w *World) Heal(a, b string) {
	delete(w.cuts, [2]string{a, b})
	delete(w.cuts, [2]string{b, a})
}

// CutOff separates a data centre from all others and from the platform.
func (w *World) CutOff(dc fleet.DataCentreID) { w.eachOther(dc, w.Cut) }

// Rejoin undoes CutOff.
func (w *World) Rejoin(dc fleet.DataCentreID) { w.eachOther(dc, w.Heal) }

func (w *World) eachOther(dc fleet.DataCentreID, f func(a, b string)) {
	f(string(dc), platformName)
	for _, n := range w.Nodes {
		if n.DC != dc {
			f(string(dc), string(n.DC))
		}
	}
}

func (w *World) reachable(aID string, aDC fleet.DataCentreID, bID string, bDC fleet.DataCentreID) bool {
	return !w.cuts[[2]string{aID, bID}] && !w.cuts[[2]string{string(aDC), string(bDC)}]
}

func (w *World) carry(from *Node, s core.Send) {
	b, err := wire.Encode(s.Frame)
	if err != nil {
		panic(err)
	}
	from.Sent.add(s.Frame.Message.Kind(), len(b))
	to := w.nodes[s.To]
	if to == nil || !w.reachable(string(from.ID), from.DC, string(to.ID), to.DC) || w.rng.Float64() < w.Net.Loss {
		return
	}
	w.deliver(from, to, b)
	if w.rng.Float64() < w.Net.Duplicate {
		w.deliver(from, to, b)
	}
}

func (w *World) deliver(from, to *Node, b []byte) {
	delay := w.Net.Latency
	if w.Net.Jitter > 0 {
		delay += time.Duration(w.rng.Int64N(int64(w.Net.Jitter)))
	}
	w.After(delay, func() {
		f, err := wire.Decode(b)
		if err != nil {
			panic(err)
		}
		to.Received += uint64(len(b))
		to.step(core.PeerMessage{From: from.ID, Frame: f})
	})
}

// NextID returns a fresh request ID.
func (w *World) NextID() fleet.RequestID {
	w.ids++
	return fleet.RequestID(fmt.Sprintf("r%06d", w.ids))
}

// Request sends a caller's request to a node. done gets its outcome.
func (w *World) Request(n *Node, req core.CallerRequest, done func(core.Finish)) fleet.RequestID {
	if req.ID == "" {
		req.ID = w.NextID()
	}
	if done != nil {
		w.waits[req.ID] = done
	}
	w.affs[req.ID] = req.Affinity
	w.born[req.ID] = w.Now()
	if w.Policy != nil {
		w.choose(n, req)
		return req.ID
	}
	n.step(req)
	return req.ID
}

// RequestTickets asks a node for tickets.
func (w *World) RequestTickets(n *Node, keyHash string, count int, done func(core.IssueTickets)) {
	id := w.NextID()
	w.asked[id] = done
	n.step(core.TicketRequest{ID: id, KeyHash: keyHash, Count: count})
}

func (w *World) tickets(a core.IssueTickets) {
	done := w.asked[a.ID]
	delete(w.asked, a.ID)
	if done != nil {
		done(a)
	}
}

func (w *World) finish(f core.Finish) {
	done := w.waits[f.ID]
	delete(w.waits, f.ID)
	delete(w.affs, f.ID)
	delete(w.born, f.ID)
	if done != nil {
		done(f)
	}
}
