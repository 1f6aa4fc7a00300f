package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Traffic counts encoded messages by kind.
type Traffic struct {
	Messages uint64
	Bytes    uint64
	ByKind   [wire.KindStatus + 1]uint64 // bytes
}

func (t *Traffic) add(k wire.Kind, n int) {
	t.Messages++
	t.Bytes += uint64(n)
	t.ByKind[k] += uint64(n)
}

// Node is one router.
type Node struct {
	ID       fleet.InstanceID
	DC       fleet.DataCentreID
	Core     *core.Core
	Sent     Traffic
	Received uint64        // bytes
	StepTime time.Duration // real time spent in the core
	Steps    uint64
	Ready    bool
	Stopped  bool
	Watching bool

	w      *World
	inc    fleet.Incarnation
	run    uint64 // of the current process, to drop events of earlier ones
	up     bool
	frozen bool
	held   []func()
	polls  map[fleet.EndpointID]bool
	opts   core.Options

	onDispatch func() // called once, at the next dispatch
}

// AddNode starts a router. Its peer address is its ID.
func (w *World) AddNode(id fleet.InstanceID, dc fleet.DataCentreID) *Node {
	n := &Node{ID: id, DC: dc, w: w}
	w.Nodes = append(w.Nodes, n)
	w.nodes[id] = n
	n.Start()
	return n
}

// Node returns a router by ID.
func (w *World) Node(id fleet.InstanceID) *Node { return w.nodes[id] }

// Start begins a new run of the router.
func (n *Node) Start() {
	n.inc++
	n.run++
	n.up, n.frozen, n.Stopped, n.Ready, n.Watching = true, false, false, false, false
	n.held = nil
	n.polls = map[fleet.EndpointID]bool{}
	n.opts = core.DefaultOptions(n.ID, n.DC, n.inc)
	n.opts.RandomSeed = fleet.Hash(string(n.ID))
	if n.w.Options != nil {
		n.w.Options(&n.opts)
	}
	n.Core = core.New(n.w.Now(), n.opts)
	first := time.Duration(n.w.rng.Int64N(int64(n.opts.TickInterval)))
	n.schedule(first, n.tick)
}

// Kill ends the router without notice.
func (n *Node) Kill() {
	n.up = false
	n.run++
	n.held = nil
}

// Up tells whether the router runs, frozen or not.
func (n *Node) Up() bool { return n.up }

// Freeze pauses the router. Events wait until Thaw.
func (n *Node) Freeze() { n.frozen = true }

// Thaw lets a frozen router go on, with the events that arrived meanwhile.
func (n *Node) Thaw() {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, f := range held {
		f()
	}
}

// Stop begins a planned stop.
func (n *Node) Stop() { n.step(core.Stop{}) }

// OnDispatch calls f when the router next decides to send a request to an endpoint,
// before any of it is handed over.
func (n *Node) OnDispatch(f func()) { n.onDispatch = f }

// DisconnectCaller closes the connection of the caller of a request.
func (n *Node) DisconnectCaller(id fleet.RequestID) { n.step(core.CallerGone{ID: id}) }

// schedule runs f after d unless the process has ended by then.
func (n *Node) schedule(d time.Duration, f func()) {
	run := n.run
	n.w.After(d, func() {
		if n.run == run {
			f()
		}
	})
}

func (n *Node) tick() {
	if !n.up {
		return
	}
	if !n.frozen {
		n.step(core.Tick{})
	}
	n.schedule(n.opts.TickInterval, n.tick)
}

func (n *Node) step(ev core.Event) {
	if !n.up {
		return
	}
	if n.w.Policy != nil {
		n.w.observeAttempt(ev)
		return
	}
	if n.frozen {
		n.held = append(n.held, func() { n.step(ev) })
		return
	}
	begun := time.Now()
	acts := append([]core.Action(nil), n.Core.Step(n.w.Now(), ev)...)
	n.StepTime += time.Since(begun)
	n.Steps++
	for _, a := range acts {
		n.act(a)
	}
}

func (n *Node) act(a core.Action) {
	switch a := a.(type) {
	case core.Send:
		n.w.carry(n, a)
	case core.Dispatch:
		n.dispatch(a)
	case core.CancelAttempt:
		n.cancel(a)
	case core.Finish:
		n.w.finish(a)
	case core.IssueTickets:
		n.w.tickets(a)
	case core.WatchPlatform:
		n.Watching = a.Enable
		if a.Enable {
			n.w.Platform.show(n)
		}
	case core.PollEndpoint:
		n.poll(a)
	case core.SetReady:
		n.Ready = a.Ready
	case core.Stopped:
		n.Stopped = true
		n.Kill()
	case core.Log:
		if n.w.OnLog != nil {
			n.w.OnLog(n, a.Event, a.Detail)
		}
	}
}

// pollEvery is the time between two load reports.
const pollEvery = time.Second

func (n *Node) poll(a core.PollEndpoint) {
	started := n.polls[a.Endpoint]
	n.polls[a.Endpoint] = a.Enable
	if a.Enable && !started {
		n.pollOnce(a.Endpoint)
	}
}

func (n *Node) pollOnce(id fleet.EndpointID) {
	if !n.polls[id] {
		return
	}
	n.schedule(pollEvery, func() { n.pollOnce(id) })
	e := n.w.Endpoints[id]
	if n.frozen {
		return
	}
	if e == nil || !e.Up || !n.reaches(e) {
		n.step(core.EndpointSilent{Endpoint: id})
		return
	}
	n.step(core.EndpointReport{Report: e.report()})
}

func (n *Node) reaches(e *Endpoint) bool {
	return n.w.reachable(string(n.ID), n.DC, string(e.ID), e.DataCentre)
}
