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

// Epoch is the virtual start time of a World.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Network configures message delivery between routers.
type Network struct {
	Latency   time.Duration // one way
	Jitter    time.Duration // maximum random extra latency, which reorders messages
	Loss      float64       // probability of message loss
	Duplicate float64       // probability of message duplication
}

// World is a simulated fleet of cores with its endpoints and its platform.
type World struct {
	vtime.Timeline

	Net       Network
	Nodes     []*Node
	Endpoints map[fleet.EndpointID]*Endpoint
	Platform  *Platform
	Options   func(*core.Options) // adjusts the options of each core before it starts

	// OnLog, if set, is called for every Log action.
	OnLog func(n *Node, e event.Number, detail string)

	rng        *rand.Rand
	nodes      map[fleet.InstanceID]*Node
	partitions map[[2]string]bool // pairs of instances or data centres that cannot reach each other
	onFinish   map[fleet.RequestID]func(core.Finish)
	onTickets  map[fleet.RequestID]func(core.TicketReply)
	affinities map[fleet.RequestID]uint64
	servedBy   map[fleet.RequestID]fleet.EndpointID // endpoint of the last attempt
	lastID     uint64

	Measures Measures
	Policy   Policy // places requests in place of the cores; nil: the cores place them

	placed      map[fleet.RequestID]placedRequest
	requestedAt map[fleet.RequestID]time.Time
}

// New returns a World without routers and endpoints.
func New(seed uint64) *World {
	w := &World{
		Net:         Network{Latency: 500 * time.Microsecond},
		Endpoints:   map[fleet.EndpointID]*Endpoint{},
		rng:         rand.New(rand.NewPCG(seed, 1)),
		nodes:       map[fleet.InstanceID]*Node{},
		partitions:  map[[2]string]bool{},
		onFinish:    map[fleet.RequestID]func(core.Finish){},
		onTickets:   map[fleet.RequestID]func(core.TicketReply){},
		placed:      map[fleet.RequestID]placedRequest{},
		requestedAt: map[fleet.RequestID]time.Time{},
		affinities:  map[fleet.RequestID]uint64{},
		servedBy:    map[fleet.RequestID]fleet.EndpointID{},
	}
	w.Platform = &Platform{w: w}
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return Epoch.Add(w.Elapsed()) }

// Rand returns the world's random source.
func (w *World) Rand() *rand.Rand { return w.rng }

// RunUntil advances time until cond holds, for at most d, and reports whether cond held.
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

// Partition partitions two instances or two data centres from each other.
func (w *World) Partition(a, b string) {
	w.partitions[[2]string{a, b}], w.partitions[[2]string{b, a}] = true, true
}

// HealPartition undoes Partition.
func (w *World) HealPartition(a, b string) {
	delete(w.partitions, [2]string{a, b})
	delete(w.partitions, [2]string{b, a})
}

// IsolateDataCentre partitions a data centre from all others and from the platform.
func (w *World) IsolateDataCentre(dc fleet.DataCentreID) { w.forEachBoundary(dc, w.Partition) }

// ReconnectDataCentre undoes IsolateDataCentre.
func (w *World) ReconnectDataCentre(dc fleet.DataCentreID) { w.forEachBoundary(dc, w.HealPartition) }

func (w *World) forEachBoundary(dc fleet.DataCentreID, f func(a, b string)) {
	f(string(dc), platformName)
	for _, n := range w.Nodes {
		if n.DC != dc {
			f(string(dc), string(n.DC))
		}
	}
}

func (w *World) reachable(aID string, aDC fleet.DataCentreID, bID string, bDC fleet.DataCentreID) bool {
	return !w.partitions[[2]string{aID, bID}] && !w.partitions[[2]string{string(aDC), string(bDC)}]
}

func (w *World) transmit(from *Node, s core.Send) {
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

// NextID returns a new request ID.
func (w *World) NextID() fleet.RequestID {
	w.lastID++
	return fleet.RequestID(fmt.Sprintf("r%06d", w.lastID))
}

// Request sends a caller's request to a node. done, if not nil, is called with the outcome.
func (w *World) Request(n *Node, req core.CallerRequest, done func(core.Finish)) fleet.RequestID {
	if req.ID == "" {
		req.ID = w.NextID()
	}
	if done != nil {
		w.onFinish[req.ID] = done
	}
	w.affinities[req.ID] = req.Affinity
	w.requestedAt[req.ID] = w.Now()
	if w.Policy != nil {
		w.placeByPolicy(n, req)
		return req.ID
	}
	n.step(req)
	return req.ID
}

// RequestTickets requests count tickets from a node.
func (w *World) RequestTickets(n *Node, keyHash string, count int, done func(core.TicketReply)) {
	id := w.NextID()
	w.onTickets[id] = done
	n.step(core.TicketRequest{ID: id, APIKeyHash: keyHash, Count: count})
}

func (w *World) issueTickets(a core.TicketReply) {
	done := w.onTickets[a.ID]
	delete(w.onTickets, a.ID)
	if done != nil {
		done(a)
	}
}

func (w *World) finish(f core.Finish) {
	done := w.onFinish[f.ID]
	delete(w.onFinish, f.ID)
	delete(w.affinities, f.ID)
	delete(w.requestedAt, f.ID)
	if done != nil {
		done(f)
	}
}
