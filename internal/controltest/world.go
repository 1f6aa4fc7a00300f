// Package controltest is a deterministic simulation of a fleet of gateways for tests. It runs
// their control states in one goroutine and in virtual time. Messages pass through the wire
// codec and are subject to delay, loss and partitions; gateways can be paused and restarted;
// the platform's store and the endpoints are simulated. The same seed gives the same run.
package controltest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/vtime"
)

// StoreName is the name of the store in World.Partitioned.
const StoreName = "store"

// Parameters of the simulation. The timeouts and the tick interval are those of gateway processes.
const (
	networkDelay = 1 * time.Millisecond
	storeLatency = 4 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
	probeTimeout = 150 * time.Millisecond
	tickInterval = 40 * time.Millisecond
	epoch        = boottime.Instant(time.Hour) // virtual time at which a simulation starts
)

// World is a simulated fleet with its store and endpoints.
type World struct {
	vtime.Timeline

	Store       *publishedtest.Store
	Nodes       []*Node
	Endpoints   map[fleet.EndpointID]*Endpoint
	Loss        float64                     // probability of losing a message between gateways
	Partitioned func(a, b string) bool      // whether two of the gateways, endpoints and the store are partitioned; nil: never
	Options     func(o *control.Options)    // adjusts the options of each gateway; may be nil
	StoreDelay  func(n *Node) time.Duration // additional time for which the answer to a read by a gateway is held up; may be nil
	PullDelay   func(n *Node) time.Duration // the same for the response of a peer to a pull by a gateway
	OnLog       func(n *Node, l control.Log)
	OnSend      func(n *Node, frame []byte) // called with each message that a gateway sends; may be nil
	OnAttempt   func(c *Call, e *Endpoint)  // called with each attempt of a call; may be nil

	rng            *rand.Rand
	nodesByID      map[fleet.InstanceID]*Node
	writeTimes     []writeTime    // of the store, oldest first
	historyDropped fleet.Revision // the store has discarded the writes up to this one
}

// New returns a simulation with the given number of gateways per data centre, named a-1, a-2,
// b-1 and so on, which start at once. The first three are the seeds of all.
func New(seed uint64, perDataCentre ...int) *World {
	w := &World{
		Store:     publishedtest.NewStore(),
		Endpoints: map[fleet.EndpointID]*Endpoint{},
		rng:       rand.New(rand.NewPCG(seed, 1)),
		nodesByID: map[fleet.InstanceID]*Node{},
	}
	for dc, n := range perDataCentre {
		for i := range n {
			w.AddNode(fleet.DataCentreID(rune('a'+dc)), i+1)
		}
	}
	return w
}

// AddNode adds a gateway and starts it.
func (w *World) AddNode(dc fleet.DataCentreID, n int) *Node {
	id := fleet.InstanceID(fmt.Sprintf("%s-%d", dc, n))
	node := &Node{World: w, ID: id, DataCentre: dc}
	w.Nodes = append(w.Nodes, node)
	w.nodesByID[id] = node
	node.Start()
	return node
}

// Now returns the virtual time.
func (w *World) Now() boottime.Instant { return epoch.Add(w.Elapsed()) }

// Rand returns the simulation's random number generator.
func (w *World) Rand() *rand.Rand { return w.rng }

func (w *World) partitioned(a, b string) bool {
	return w.Partitioned != nil && (w.Partitioned(a, b) || w.Partitioned(b, a))
}

// delayOf returns the additional time of an answer to a gateway.
func delayOf(n *Node, delay func(*Node) time.Duration) time.Duration {
	if delay == nil {
		return 0
	}
	return delay(n)
}

var errStoreTimeout = errors.New("controltest: store read timed out")

var errStoreBusy = errors.New(http.StatusText(http.StatusServiceUnavailable))
