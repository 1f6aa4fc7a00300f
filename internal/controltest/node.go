package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// seeds is how many gateways the settings name as seeds.
const seeds = 3

// Node is one gateway.
type Node struct {
	World        *World
	ID           fleet.InstanceID
	DataCentre   fleet.DataCentreID
	State        *control.State
	Frozen       bool // it runs nothing; what arrives waits
	StoreRejects bool // the store turns this gateway away
	Reads        int  // of the store
	Sent         int  // messages to peers
	SentBytes    int

	incarnation fleet.Incarnation
	waiting     []func()
}

// Start begins a new process, which knows nothing.
func (n *Node) Start() {
	w := n.World
	n.incarnation = fleet.Incarnation(w.rng.Uint32())
	o := control.Options{
		Self:                 mesh.Member{ID: n.ID, DataCentre: n.DataCentre, Addr: string(n.ID), Control: string(n.ID)},
		RandomSeed:           w.rng.Uint64(),
		SeedCount:            seeds,
		Protocol:             publishedtest.Protocol{},
		StrictRevoke:         true,
		AuthStalenessBound:   4 * time.Second,
		DenialStalenessBound: 1500 * time.Millisecond,
		LoadMultiple:         2,
		RetryRatio:           0.2,
		RetryExtra:           58,
		RetryWindow:          10 * time.Second,
	}
	if w.Options != nil {
		w.Options(&o)
	}
	n.State = control.New(w.Now(), o)
	n.tick(n.incarnation)
}

// Stop ends the process for a time.
func (n *Node) Stop(d time.Duration) {
	n.State, n.incarnation = nil, 0
	n.World.After(d, n.Start)
}

// Freeze stops the process for a time and then lets it go on.
func (n *Node) Freeze(d time.Duration) {
	n.Frozen = true
	n.World.After(d, func() {
		n.Frozen = false
		late := n.waiting
		n.waiting = nil
		for _, f := range late {
			n.do(f)
		}
	})
}

// do runs something in the process, when it runs.
func (n *Node) do(f func()) {
	if n.Frozen {
		n.waiting = append(n.waiting, f)
		return
	}
	if n.State == nil {
		return
	}
	f()
	n.drain()
}

func (n *Node) tick(process fleet.Incarnation) {
	if n.incarnation != process {
		return
	}
	n.do(func() { n.State.Tick(n.World.Now()) })
	n.World.After(tick, func() { n.tick(process) })
}

func (n *Node) drain() {
	for _, a := range n.State.Drain() {
		n.execute(a)
	}
}

func (n *Node) execute(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		n.send(a)
	case control.PullItems:
		n.pull(a)
	case control.ReadStore:
		n.read(a)
	case control.QuerySeeds:
		n.askSeeds()
	case control.ProbeEndpoint:
		n.probe(a)
	case control.Log:
		if n.World.OnLog != nil {
			n.World.OnLog(n, a)
		}
	}
}

func (n *Node) send(a control.Send) {
	w := n.World
	b, err := wire.Encode(wire.Frame{Header: wire.Header{Incarnation: n.incarnation}, Message: a.Message})
	if err != nil {
		panic("controltest: " + err.Error())
	}
	n.Sent++
	n.SentBytes += len(b)
	if w.cut(string(n.ID), string(a.To)) || w.rng.Float64() < w.Loss {
		return
	}
	w.After(hop, func() {
		f, err := wire.Decode(b)
		if err != nil {
			panic("controltest: " + err.Error())
		}
		if to := w.node(a.To); to != nil {
			to.do(func() { to.State.Receive(w.Now(), n.ID, f.Header.Incarnation, f.Message) })
		}
	})
}

// pull asks a peer, as over a connection: it is not lost, but cut.
func (n *Node) pull(a control.PullItems) {
	w, process := n.World, n.incarnation
	from := w.node(a.From)
	if from == nil || w.cut(string(n.ID), string(a.From)) {
		return
	}
	w.After(2*hop, func() {
		from.do(func() {
			items := from.State.ItemsSince(a.After, a.MaxBytes)
			w.After(hop, func() {
				if n.incarnation == process {
					n.do(func() { n.State.PullDone(w.Now(), a.From, items) })
				}
			})
		})
	})
}

func (w *World) node(id fleet.InstanceID) *Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// read answers as the store was when the call arrived.
func (n *Node) read(a control.ReadStore) {
	w, process := n.World, n.incarnation
	n.Reads++
	sent := w.Now()
	finish := func(d time.Duration, f func()) {
		w.After(d, func() {
			if n.incarnation == process {
				n.do(f)
			}
		})
	}
	if w.cut(string(n.ID), StoreName) {
		finish(storeTimeout, func() { n.State.ReadFailed(w.Now(), errStoreSilent) })
		return
	}
	if n.StoreRejects {
		finish(storeAnswer, func() { n.State.ReadFailed(w.Now(), errStoreBusy) })
		return
	}
	w.After(storeAnswer/2, func() {
		u := w.Store.Update(a.Whole, a.After)
		u.Confirmed = sent
		finish(storeAnswer/2, func() { n.State.ReadDone(w.Now(), u) })
	})
}

func (n *Node) askSeeds() {
	w := n.World
	self := mesh.Member{ID: n.ID, DataCentre: n.DataCentre, Addr: string(n.ID), Control: string(n.ID)}
	for _, seed := range w.Nodes[:min(seeds, len(w.Nodes))] {
		if seed == n || w.cut(string(n.ID), string(seed.ID)) {
			continue
		}
		w.After(hop, func() {
			seed.do(func() {
				seed.State.Join(w.Now(), self)
				members := seed.State.Members()
				w.After(hop, func() { n.do(func() { n.State.SeedReplied(w.Now(), members) }) })
			})
		})
	}
}

func (n *Node) probe(a control.ProbeEndpoint) {
	w, process := n.World, n.incarnation
	e := w.Endpoints[a.ID]
	result, d := control.ProbeConnected, 2*hop
	switch {
	case e == nil || e.Down:
		result = control.ProbeRefused
	case e.Blackholed || w.cut(string(n.ID), string(a.ID)):
		result, d = control.ProbeTimedOut, probeTimeout
	}
	w.After(d, func() {
		if n.incarnation == process {
			n.do(func() { n.State.ProbeDone(w.Now(), a.ID, result) })
		}
	})
}

// Publish writes the entries of endpoints, as their heartbeats do.
func (w *World) Publish(es ...*Endpoint) {
	for _, e := range es {
		w.Endpoints[e.ID] = e
		w.Store.Write(publishedtest.Endpoint(e.Endpoint, 0))
	}
}

// Remove deletes an endpoint's entry.
func (w *World) Remove(id fleet.EndpointID) { w.Store.Write(publishedtest.EndpointGone(id)) }

// Write writes other items to the store.
func (w *World) Write(items ...published.Item) { w.Store.Write(items...) }
