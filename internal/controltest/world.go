// Package controltest drives the control states of a fleet of gateways in one goroutine
// and virtual time, for tests. It passes messages through the wire codec, delays, loses
// and cuts them, freezes and restarts gateways, plays the platform's store, and answers
// placed requests with small fake endpoints. The same seed gives the same run.
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
	vtime.Timeline

	Store       *publishedtest.Store
	Nodes       []*Node
	Endpoints   map[fleet.EndpointID]*Endpoint
	Loss        float64                  // of messages between gateways, probability
	Partitioned func(a, b string) bool   // between two of gateways, endpoints and the store; nil: nothing
	Options     func(o *control.Options) // adjusts each gateway's options
	OnLog       func(n *Node, l control.Log)

	rng *rand.Rand
}

// New returns a world of gateways a-1, a-2, b-1 and so on over data centres, which
// start at once. All know the first three as seeds.
func New(seed uint64, perDataCentre ...int) *World {
	w := &World{
		Store:     publishedtest.NewStore(),
		Endpoints: map[fleet.EndpointID]*Endpoint{},
		rng:       rand.New(rand.NewPCG(seed, 1)),
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
func (w *World) Now() boottime.Instant { return epoch.Add(w.Elapsed()) }

// Rand returns the world's source of randomness.
func (w *World) Rand() *rand.Rand { return w.rng }

func (w *World) cut(a, b string) bool {
	return w.Partitioned != nil && (w.Partitioned(a, b) || w.Partitioned(b, a))
}

var errStoreSilent = errors.New("controltest: the store does not answer")

var errStoreBusy = errors.New(http.StatusText(http.StatusServiceUnavailable))
