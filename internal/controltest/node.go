package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// seeds is the number of gateways that the settings name as seeds.
const seeds = 3

// Node is a simulated gateway.
type Node struct {
	World        *World
	ID           fleet.InstanceID
	DataCentre   fleet.DataCentreID
	State        *control.State
	Paused       bool // the process is paused; events that arrive are deferred
	StoreRejects bool // the store rejects this gateway's reads
	NoBacklog    bool // it is of a version that neither sends nor knows wire.Backlog
	Reads        int  // reads of the store
	Sent         int  // messages sent to peers, including lost ones
	SentBytes    int
	OriginsSent  int // messages about where streams began, sent to peers
	OriginsBytes int

	incarnation fleet.Incarnation
	deferred    []func()
	calls       map[*call]bool // that the process handles
	closed      bool           // it takes no more requests because of a planned stop
}

// Start starts a new process with an empty state.
func (n *Node) Start() {
	w := n.World
	n.incarnation, n.closed = fleet.Incarnation(w.rng.Uint32()), false
	o := control.Options{
		Self:                 mesh.Member{ID: n.ID, DataCentre: n.DataCentre, Addr: string(n.ID), ControlAddr: string(n.ID)},
		RandomSeed:           w.rng.Uint64(),
		Incarnation:          n.incarnation,
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

// Incarnation returns the incarnation of the running process.
func (n *Node) Incarnation() fleet.Incarnation { return n.incarnation }

// RestartAfter kills the process and starts a new one after d.
func (n *Node) RestartAfter(d time.Duration) {
	n.State, n.incarnation = nil, 0
	n.World.After(d, n.Start)
}

// Pause pauses the process for d. Events that arrive meanwhile run when it resumes.
func (n *Node) Pause(d time.Duration) {
	n.Paused = true
	n.World.After(d, func() {
		n.Paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			n.run(f)
		}
	})
}

// run executes f in the process and then its actions. It defers f while the process is paused
// and drops it while there is no process.
func (n *Node) run(f func()) {
	if n.Paused {
		n.deferred = append(n.deferred, f)
		return
	}
	if n.State == nil {
		return
	}
	f()
	n.executeActions()
}

func (n *Node) tick(process fleet.Incarnation) {
	if n.incarnation != process {
		return
	}
	n.run(func() { n.State.Tick(n.World.Now()) })
	n.World.After(tickInterval, func() { n.tick(process) })
}

func (n *Node) executeActions() {
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
	case control.PullRecords:
		n.pullRecords(a)
	case control.ReadStore:
		n.read(a)
	case control.ReadHistory:
		n.readHistory()
	case control.QuerySeeds:
		n.querySeeds(a)
	case control.ProbeEndpoint:
		n.probe(a)
	case control.AskIncarnation:
		n.askIncarnation(a)
	case control.Log:
		if n.World.OnLog != nil {
			n.World.OnLog(n, a)
		}
	}
}

func (n *Node) send(action control.Send) {
	w := n.World
	message := action.Message
	if status, ok := message.(wire.Status); ok && n.NoBacklog {
		status.Backlog = nil
		message = status
	}
	b, err := wire.Encode(wire.Frame{Header: wire.Header{Incarnation: n.incarnation}, Message: message})
	if err != nil {
		panic("controltest: " + err.Error())
	}
	n.Sent++
	n.SentBytes += len(b)
	if w.OnSend != nil {
		w.OnSend(n, b)
	}
	if action.Message.Kind() != wire.KindStatus {
		n.OriginsSent++
		n.OriginsBytes += len(b)
	}
	if w.partitioned(string(n.ID), string(action.To)) || w.rng.Float64() < w.Loss {
		return
	}
	w.After(networkDelay, func() {
		f, err := wire.Decode(b)
		if err != nil {
			panic("controltest: " + err.Error())
		}
		if to := w.node(action.To); to != nil {
			to.run(func() { to.State.Receive(w.Now(), n.ID, f.Header.Incarnation, to.understood(f.Message)) })
		}
	})
}

// understood returns a message as the gateway's version decodes it. One that does not know wire.Backlog finds the store update
// that carries it.
func (n *Node) understood(m wire.Message) wire.Message {
	status, ok := m.(wire.Status)
	if !ok || !n.NoBacklog || status.Backlog == nil {
		return m
	}
	status.Backlog = nil
	status.Update = &wire.StoreUpdate{Items: []wire.StoreItem{{Key: "b", Value: []byte("not understood")}}}
	return status
}

// pull simulates a pull over a connection: it is not subject to loss, but to partitions.
func (n *Node) pull(action control.PullItems) {
	w, process, sent := n.World, n.incarnation, n.World.Now()
	from := w.node(action.From)
	if from == nil || w.partitioned(string(n.ID), string(action.From)) {
		return
	}
	held := delayOf(n, w.PullDelay)
	w.After(2*networkDelay, func() {
		from.run(func() {
			items := from.State.ItemsSince(action.After, action.MaxBytes)
			from.State.SignItems(w.Now(), &items, action.Key)
			confirmedAt := sent.Add(-from.State.SnapshotAge(w.Now()))
			w.After(networkDelay+held, func() {
				if n.incarnation == process {
					n.run(func() { n.State.PullDone(w.Now(), action.From, items, confirmedAt) })
				}
			})
		})
	})
}

// pullRecords simulates the pull of the records that a process cannot read from the store.
func (n *Node) pullRecords(action control.PullRecords) {
	w, process := n.World, n.incarnation
	from := w.node(action.From)
	if from == nil || w.partitioned(string(n.ID), string(action.From)) {
		return
	}
	w.After(2*networkDelay, func() {
		from.run(func() {
			items := from.State.ReadableItems(action.Keys)
			from.State.SignItems(w.Now(), &items, action.SigningKey)
			w.After(networkDelay, func() {
				if n.incarnation == process {
					n.run(func() { n.State.RecordsPulled(w.Now(), action.From, items) })
				}
			})
		})
	})
}

func (w *World) node(id fleet.InstanceID) *Node { return w.nodesByID[id] }

// querySeeds simulates queries to the seeds that run: to all of them, or to a random one.
func (n *Node) querySeeds(query control.QuerySeeds) {
	w := n.World
	self := n.State.Members()[0]
	for _, i := range w.rng.Perm(min(seeds, len(w.Nodes))) {
		seed := w.Nodes[i]
		if seed == n || seed.State == nil || w.partitioned(string(n.ID), string(seed.ID)) {
			continue
		}
		w.After(networkDelay, func() {
			seed.run(func() {
				seed.State.SeedQueried(w.Now(), self)
				members, keys := seed.State.MemberList(w.Now()), seed.State.Fingerprints(w.Now())
				w.After(networkDelay, func() {
					n.run(func() {
						n.State.SeedReplied(w.Now(), members)
						n.State.SeedKeys(w.Now(), keys)
					})
				})
			})
		})
		if !query.All {
			return
		}
	}
}

func (n *Node) probe(action control.ProbeEndpoint) {
	w, process := n.World, n.incarnation
	e := w.Endpoints[action.ID]
	result, d := control.ProbeConnected, 2*networkDelay
	switch {
	case e == nil || e.Down:
		result = control.ProbeConnectionRefused
	case e.Blackholed || w.partitioned(string(n.ID), string(action.ID)):
		result, d = control.ProbeTimedOut, probeTimeout
	}
	w.After(d, func() {
		if n.incarnation == process {
			n.run(func() { n.State.ProbeDone(w.Now(), action.ID, result) })
		}
	})
}

// askIncarnation simulates a question to an endpoint for its incarnation.
func (n *Node) askIncarnation(action control.AskIncarnation) {
	w, process, askedAt := n.World, n.incarnation, n.World.Now()
	w.After(networkDelay, func() {
		e := w.Endpoints[action.ID]
		if e != nil && e.Down {
			w.After(networkDelay, func() {
				if n.incarnation == process {
					n.run(func() { n.State.ProbeDone(w.Now(), action.ID, control.ProbeConnectionRefused) })
				}
			})
			return
		}
		if e == nil || e.Blackholed || w.partitioned(string(n.ID), string(action.ID)) {
			return
		}
		inc := e.Incarnation
		w.After(networkDelay, func() {
			if n.incarnation == process {
				n.run(func() { n.State.IncarnationReported(w.Now(), action.ID, inc, askedAt) })
			}
		})
	})
}
