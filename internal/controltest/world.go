// Package controltest drives the control states of a fleet of gateways in one goroutine
// and virtual time, for tests. It passes messages through the wire codec, delays, loses
// and cuts them, freezes and restarts gateways, plays the platform's store, and answers
// placed requests with small fake endpoints. The same seed gives the same run.
package controltest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// StoreName names the store in cuts.
const StoreName = "store"

// The network of the two deployments, and what the gateway's process uses.
const (
	hop          = 1 * time.Millisecond
	storeAnswer  = 4 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
	probeTimeout = 150 * time.Millisecond
	tick         = 40 * time.Millisecond
	epoch        = boottime.Instant(time.Hour)
)

// World is a fleet with its store and endpoints.
type World struct {
	Store     *publishedtest.Store
	Nodes     []*Node
	Endpoints map[fleet.EndpointID]*Endpoint
	Loss      float64                  // of messages between gateways, probability
	Cut       func(a, b string) bool   // between two of gateways, endpoints and the store; nil: nothing
	Options   func(o *control.Options) // adjusts each gateway's options
	OnLog     func(n *Node, l control.Log)

	rng   *rand.Rand
	now   boottime.Instant
	queue timeline
	seq   uint64
}

// New returns a world of gateways a-1, a-2, b-1 and so on over data centres, which
// start at once. All know the first three as seeds.
func New(seed uint64, perDataCentre ...int) *World {
	w := &World{
		Store:     publishedtest.NewStore(),
		Endpoints: map[fleet.EndpointID]*Endpoint{},
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       epoch,
	}
	for dc, n := range perDataCentre {
		for i := range n {
			w.AddNode(fleet.DataCentreID(rune('a'+dc)), i+1)
		}
	}
	return w
}

// AddNode adds a gateway that starts now.
func (w *World) AddNode(dc fleet.DataCentreID, n int) *Node {
	id := fleet.InstanceID(fmt.Sprintf("%s-%d", dc, n))
	node := &Node{World: w, ID: id, DataCentre: dc}
	w.Nodes = append(w.Nodes, node)
	node.Start()
	return node
}

// Now returns the virtual time.
func (w *World) Now() boottime.Instant { return w.now }

// Rand returns the world's source of randomness.
func (w *World) Rand() *rand.Rand { return w.rng }

// After runs f when d has passed.
func (w *World) After(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, timed{at: w.now.Add(d), seq: w.seq, run: f})
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(timed)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *World) cut(a, b string) bool { return w.Cut != nil && (w.Cut(a, b) || w.Cut(b, a)) }

// timed is something that happens at a time.
type timed struct {
	at  boottime.Instant
	seq uint64
	run func()
}

// timeline is a heap of what happens, the earliest first.
type timeline []timed

// Len implements heap.Interface.
func (t timeline) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { *t = append(*t, x.(timed)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

var errStoreSilent = errors.New("controltest: the store does not answer")

var errStoreBusy = errors.New(http.StatusText(http.StatusServiceUnavailable))
