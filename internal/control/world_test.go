package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	seed            = 20261203
	llm             = fleet.ServiceID("llm")
	desk            = fleet.ServiceID("desk")
	coldRate        = 18 // requests per second that a cold engine can take
	convergenceTime = 3 * time.Second
)

// config returns a configuration with one route to model engines, one to a plain service, a
// public one, and a workspace with the given keys.
func config(version int64, keys ...string) *routing.Config {
	return &routing.Config{
		Version: version,
		Routes: []routing.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Streaming, Resumable: true, Sticky: true, MaxAttempts: 2,
				Targets: []routing.Target{{Service: llm, Weight: 1}}},
			{Name: "book", Host: "h", Prefix: "/book/", Kind: routing.NonIdempotent, MaxAttempts: 1,
				Targets: []routing.Target{{Service: desk, Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: routing.Idempotent, MaxAttempts: 2, Public: true,
				Targets: []routing.Target{{Service: desk, Weight: 1}}},
		},
		Services: []routing.Service{
			{ID: llm, Slots: 64, CacheTokens: 600_000, ColdStartDuration: 3 * time.Second, ColdRequestsPerSecond: coldRate},
			{ID: desk},
		},
		Workspaces: []routing.Workspace{{ID: "ws", Keys: keys}},
	}
}

func engine(n int, dc fleet.DataCentreID) *controltest.Endpoint {
	id := fleet.EndpointID(fmt.Sprintf("engine-%d", n))
	return &controltest.Endpoint{
		Endpoint:    fleet.Endpoint{ID: id, DataCentre: dc, Addr: string(id), Service: llm, Capacity: 64, Incarnation: 1},
		ServiceTime: time.Second,
	}
}

func replica(n int, dc fleet.DataCentreID) *controltest.Endpoint {
	id := fleet.EndpointID(fmt.Sprintf("desk-%d", n))
	return &controltest.Endpoint{
		Endpoint:    fleet.Endpoint{ID: id, DataCentre: dc, Addr: string(id), Service: desk, Capacity: 6, Incarnation: 1},
		ServiceTime: 30 * time.Millisecond,
		Slots:       6,
	}
}

// smallFleet returns a simulation of the smaller deployment after convergence: nine gateways
// over four data centres, nine engines and four replicas of a plain service.
func smallFleet(t *testing.T, adjust ...func(*controltest.World)) *controltest.World {
	t.Logf("seed %d", seed)
	w := controltest.New(seed, 3, 2, 2, 2)
	for _, f := range adjust {
		f(w)
	}
	w.Write(publishedtest.Config(config(1, "key")))
	n := 0
	for i, engines := range []int{3, 2, 2, 2} {
		dc := fleet.DataCentreID(rune('a' + i))
		for range engines {
			n++
			w.Publish(engine(n, dc))
		}
		w.Publish(replica(i+1, dc))
	}
	w.Run(convergenceTime)
	return w
}

var (
	chatRequest = controltest.Request{Host: "h", Path: "/chat/x", Key: "key"}
	bookRequest = controltest.Request{Host: "h", Path: "/book/x", Key: "key"}
)

// sendLoad sends requests to random gateways until a time, with exponentially distributed
// intervals at the given rate per second.
func sendLoad(w *controltest.World, perSecond float64, until boottime.Instant, nextRequest func() controltest.Request, done func(controltest.Outcome)) {
	interval := time.Duration(w.Rand().ExpFloat64() / perSecond * float64(time.Second))
	w.After(interval, func() {
		if w.Now() > until {
			return
		}
		w.Nodes[w.Rand().IntN(len(w.Nodes))].Send(nextRequest(), done)
		sendLoad(w, perSecond, until, nextRequest, done)
	})
}

// chatRequests returns a generator of chat requests with one of n affinities at random. A share
// of hotShare goes to one further affinity.
func chatRequests(w *controltest.World, n int, hotShare float64) func() controltest.Request {
	return func() controltest.Request {
		r := chatRequest
		r.Affinity = 1
		if w.Rand().Float64() >= hotShare {
			r.Affinity = fleet.Hash(fmt.Sprint(w.Rand().IntN(n)))
		}
		return r
	}
}

func ignore(controltest.Outcome) {}

// largeFleet returns a simulation of 83 gateways over four data centres, 140 engines and four
// replicas of a plain service, after convergence.
func largeFleet(t *testing.T) *controltest.World {
	t.Logf("seed %d", seed)
	w := controltest.New(seed, 24, 20, 19, 20)
	w.Write(publishedtest.Config(config(1, "key")))
	for i := range 4 {
		dc := fleet.DataCentreID(rune('a' + i))
		for n := range 35 {
			w.Publish(engine(35*i+n, dc))
		}
		w.Publish(replica(i+1, dc))
	}
	w.Run(2 * convergenceTime)
	return w
}

// busiestReader returns the gateway with the most store reads.
func busiestReader(w *controltest.World) *controltest.Node {
	best := w.Nodes[0]
	for _, n := range w.Nodes {
		if n.Reads > best.Reads {
			best = n
		}
	}
	return best
}

// rejectBusiestReaders makes the store reject the count gateways with the most reads.
func rejectBusiestReaders(w *controltest.World, count int) {
	for range count {
		n := busiestReader(w)
		n.StoreRejects = true
		n.Reads = -1 << 20
	}
}
