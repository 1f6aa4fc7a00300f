package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Traffic counts encoded messages.
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

// Node is a simulated router process.
type Node struct {
	ID       fleet.InstanceID
	DC       fleet.DataCentreID
	Core     *core.Core
	Sent     Traffic
	Received uint64        // bytes
	StepTime time.Duration // wall time spent in Core.Step
	Steps    uint64
	Ready    bool
	Stopped  bool
	Watching bool

	w           *World
	incarnation fleet.Incarnation
	runSeq      uint64 // increases with each start and kill, to drop callbacks of earlier runs
	up          bool
	paused      bool
	deferred    []func()
	polls       map[fleet.EndpointID]bool
	opts        core.Options

	onDispatch func() // called once, on the next Dispatch
}

// AddNode adds and starts a router. Its peer address is its ID.
func (w *World) AddNode(id fleet.InstanceID, dc fleet.DataCentreID) *Node {
	n := &Node{ID: id, DC: dc, w: w}
	w.Nodes = append(w.Nodes, n)
	w.nodes[id] = n
	n.Start()
	return n
}

// Node returns a router by ID.
func (w *World) Node(id fleet.InstanceID) *Node { return w.nodes[id] }

// Start starts a new incarnation of the router.
func (n *Node) Start() {
	n.incarnation++
	n.runSeq++
	n.up, n.paused, n.Stopped, n.Ready, n.Watching = true, false, false, false, false
	n.deferred = nil
	n.polls = map[fleet.EndpointID]bool{}
	n.opts = core.DefaultOptions(n.ID, n.DC, n.incarnation)
	n.opts.RandomSeed = fleet.Hash(string(n.ID))
	if n.w.Options != nil {
		n.w.Options(&n.opts)
	}
	n.Core = core.New(n.w.Now(), n.opts)
	first := time.Duration(n.w.rng.Int64N(int64(n.opts.TickInterval)))
	n.schedule(first, n.tick)
}

// Kill stops the router abruptly.
func (n *Node) Kill() {
	n.up = false
	n.runSeq++
	n.deferred = nil
}

// Up reports whether the process is running, paused or not.
func (n *Node) Up() bool { return n.up }

// Pause pauses the process. Events are deferred until Resume.
func (n *Node) Pause() { n.paused = true }

// Resume resumes a paused process and delivers the deferred events.
func (n *Node) Resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// Stop starts a planned stop.
func (n *Node) Stop() { n.step(core.Stop{}) }

// OnDispatch registers f to be called on the router's next Dispatch, before any byte of
// the request is sent.
func (n *Node) OnDispatch(f func()) { n.onDispatch = f }

// DisconnectCaller closes the connection of a request's caller.
func (n *Node) DisconnectCaller(id fleet.RequestID) { n.step(core.CallerGone{ID: id}) }

// schedule runs f after d unless the current run of the process has ended by then.
func (n *Node) schedule(d time.Duration, f func()) {
	run := n.runSeq
	n.w.After(d, func() {
		if n.runSeq == run {
			f()
		}
	})
}

func (n *Node) tick() {
	if !n.up {
		return
	}
	if !n.paused {
		n.step(core.Tick{})
	}
	n.schedule(n.opts.TickInterval, n.tick)
}

func (n *Node) step(ev core.Event) {
	if !n.up {
		return
	}
	if n.w.Policy != nil {
		n.w.endPlacedAttempt(ev)
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { n.step(ev) })
		return
	}
	start := time.Now()
	acts := append([]core.Action(nil), n.Core.Step(n.w.Now(), ev)...)
	n.StepTime += time.Since(start)
	n.Steps++
	for _, a := range acts {
		n.execute(a)
	}
}

func (n *Node) execute(a core.Action) {
	switch a := a.(type) {
	case core.Send:
		n.w.transmit(n, a)
	case core.Dispatch:
		n.dispatch(a)
	case core.CancelAttempt:
		n.cancel(a)
	case core.Finish:
		n.w.finish(a)
	case core.TicketReply:
		n.w.issueTickets(a)
	case core.WatchPlatform:
		n.Watching = a.Enable
		if a.Enable {
			n.w.Platform.notify(n)
		}
	case core.PollEndpoint:
		n.setPolling(a)
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

// pollInterval is the interval of load report polls.
const pollInterval = time.Second

func (n *Node) setPolling(a core.PollEndpoint) {
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
	n.schedule(pollInterval, func() { n.pollOnce(id) })
	e := n.w.Endpoints[id]
	if n.paused {
		return
	}
	if e == nil || !e.Up || !n.canReach(e) {
		n.step(core.EndpointPollFailed{Endpoint: id})
		return
	}
	n.step(core.EndpointReport{Report: e.report()})
}

func (n *Node) canReach(e *Endpoint) bool {
	return n.w.reachable(string(n.ID), n.DC, string(e.ID), e.DataCentre)
}
