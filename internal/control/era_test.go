package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

const (
	changeBound  = 2 * time.Second // within which a change of an entry has to be in force at all gateways
	eraEngines   = 140
	beatInterval = time.Second // of an engine
)

// TestNewEraIsInForceInTime guards against gateways that use the content of before for too long after the store's return
// with an older copy, because those that have read the new content do not advertise it.
func TestNewEraIsInForceInTime(t *testing.T) {
	for n := range uint64(4) {
		for _, storeLeaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, store leaves after one read %v", seed+n, storeLeaves), func(t *testing.T) {
				w := eraFleet(seed + n)
				copied := w.Store.Copy()
				w.Run(time.Second + time.Duration(w.Rand().Int64N(int64(time.Second))))
				w.Store.Restore(copied)
				added := replica(eraEngines+1, "b")
				w.Publish(added)
				if d := timeUntilUsed(w, added.ID, storeLeaves); d > changeBound {
					t.Errorf("an endpoint is used by all gateways %v after its entry was written at the store's return, want %v", d, changeBound)
				}
			})
		}
	}
}

// eraFleet returns a simulation of 73 gateways, with engines that write their heartbeats, after convergence.
func eraFleet(seed uint64) *controltest.World {
	w := controltest.New(seed, 18, 19, 17, 19)
	w.Write(publishedtest.Config(config(1, "key")))
	for i := range eraEngines {
		w.Publish(engine(i, fleet.DataCentreID(rune('a'+i%4))))
	}
	beat(w, 0)
	w.Run(convergenceTime)
	return w
}

// beat writes the n-th heartbeat and those after it, of one engine after the other.
func beat(w *controltest.World, n int) {
	e := w.Endpoints[fleet.EndpointID(fmt.Sprint("engine-", n%eraEngines))]
	w.Write(publishedtest.Endpoint(e.Endpoint, n))
	w.After(beatInterval/eraEngines, func() { beat(w, n+1) })
}

// timeUntilUsed runs a simulation until all gateways use an endpoint, at most for a time far beyond changeBound. If
// storeLeaves, no gateway reaches the store once one has read the endpoint's entry.
func timeUntilUsed(w *controltest.World, id fleet.EndpointID, storeLeaves bool) time.Duration {
	began := w.Now()
	for users := 0; users < len(w.Nodes) && w.Now().Sub(began) < 5*changeBound; {
		w.Run(20 * time.Millisecond)
		users = countUsers(w, id)
		if users > 0 && storeLeaves {
			w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
		}
	}
	return w.Now().Sub(began)
}

// countUsers returns how many gateways may send new requests to an endpoint.
func countUsers(w *controltest.World, id fleet.EndpointID) int {
	count := 0
	for _, n := range w.Nodes {
		if slices.ContainsFunc(n.State.Dump(w.Now()).Endpoints, func(e control.EndpointDump) bool { return e.ID == id && e.Usable }) {
			count++
		}
	}
	return count
}
