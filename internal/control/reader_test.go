package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestPeersRelayStoreChanges: while the store rejects all gateways but one, the others receive changes
// from that gateway.
func TestPeersRelayStoreChanges(t *testing.T) {
	w := smallFleet(t)
	for _, n := range w.Nodes[1:] {
		n.StoreRejects = true
	}
	w.Run(6 * time.Second)
	w.Write(publishedtest.Config(config(2, "new")))
	w.Run(1500 * time.Millisecond)
	for _, n := range w.Nodes {
		n.Send(bookRequest, func(o controltest.Outcome) {
			if o.Reason != control.ReasonUnauthenticated {
				t.Errorf("%s: the revoked key gives reason %v", n.ID, o.Reason)
			}
		})
		r := bookRequest
		r.Key = "new"
		n.Send(r, func(o controltest.Outcome) {
			if o.Endpoint == nil {
				t.Errorf("%s: the new key gives reason %v", n.ID, o.Reason)
			}
		})
	}
	w.Run(time.Second)
}

// TestStoreCalls bounds the store reads of an idle fleet, in which one gateway reads the store and the
// others receive the changes from it.
func TestStoreCalls(t *testing.T) {
	w := smallFleet(t)
	before := 0
	for _, n := range w.Nodes {
		before += n.Reads
	}
	w.Run(20 * time.Second)
	reads, oldest := -before, time.Duration(0)
	for _, n := range w.Nodes {
		reads += n.Reads
		oldest = max(oldest, n.State.SnapshotAge(w.Now()))
	}
	if reads > 60 {
		t.Errorf("%d reads in 20 s", reads)
	}
	if oldest > 1500*time.Millisecond {
		t.Errorf("highest snapshot age %v", oldest)
	}
}

// TestChangesAreInForce: endpoints that leave or are removed receive no new requests after 2 s, and
// evacuated data centres none after 5 s, as the deployments require, also with message loss and while
// the gateways that read the store are rejected, paused or killed.
func TestChangesAreInForce(t *testing.T) {
	for name, inject := range map[string]func(w *controltest.World){
		"calm":          func(*controltest.World) {},
		"readers down":  func(w *controltest.World) { rejectBusiestReaders(w, 3) },
		"loss":          func(w *controltest.World) { w.Loss = 0.1 },
		"reader frozen": func(w *controltest.World) { busiestReader(w).Pause(5 * time.Second) },
		"reader killed": func(w *controltest.World) { busiestReader(w).RestartAfter(5 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w := smallFleet(t)
			inject(w)
			w.Run(time.Second)
			leaving := w.Endpoints["engine-1"]
			leaving.Leaving = true
			w.Publish(leaving)
			w.Write(publishedtest.Evacuation("b"))
			w.Remove("engine-9")
			writtenAt := w.Now()
			sendLoad(w, 100, writtenAt.Add(6*time.Second), chatRequests(w, 60, 0), ignore)
			w.Run(8 * time.Second)
			for id, bound := range map[fleet.EndpointID]time.Duration{
				"engine-1": 2 * time.Second, "engine-9": 2 * time.Second, "engine-4": 5 * time.Second, "engine-5": 5 * time.Second, "desk-2": 5 * time.Second,
			} {
				if n := w.Endpoints[id].MaxArrivals(writtenAt.Add(bound), time.Minute); n > 0 {
					t.Errorf("%d requests at %s later than %v", n, id, bound)
				}
			}
		})
	}
}

// TestStoreOutage: endpoints whose entries expire during a store outage stay usable for a grace period
// of about two seconds after its recovery. An endpoint that is removed without an outage does not.
func TestStoreOutage(t *testing.T) {
	w := smallFleet(t)
	w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
	w.Run(5 * time.Second)
	w.Partitioned = nil
	w.Remove("engine-1")
	w.Remove("engine-2")
	w.Run(1500 * time.Millisecond)
	for _, n := range w.Nodes {
		for _, e := range n.State.Dump(w.Now()).Endpoints {
			if e.ID == "engine-1" && !e.Usable {
				t.Errorf("%s does not use an endpoint 1.5 s after the store's recovery", n.ID)
			}
		}
	}
	began := w.Now()
	w.Publish(w.Endpoints["engine-2"])
	sendLoad(w, 100, w.Now().Add(5*time.Second), chatRequests(w, 60, 0), ignore)
	w.Run(500 * time.Millisecond)
	if n := w.Endpoints["engine-1"].MaxArrivals(began, time.Minute); n == 0 {
		t.Error("the endpoint with the expired entry received no requests")
	}
	w.Run(5 * time.Second)
	if n := w.Endpoints["engine-1"].MaxArrivals(began.Add(2*time.Second), time.Minute); n > 0 {
		t.Errorf("%d requests at an engine that was not listed again", n)
	}
	if n := w.Endpoints["engine-2"].MaxArrivals(began.Add(2*time.Second), time.Minute); n == 0 {
		t.Error("the engine that was listed again is not used")
	}
	w.Remove("engine-3")
	began = w.Now()
	sendLoad(w, 100, w.Now().Add(3*time.Second), chatRequests(w, 60, 0), ignore)
	w.Run(4 * time.Second)
	if n := w.Endpoints["engine-3"].MaxArrivals(began.Add(1500*time.Millisecond), time.Minute); n > 0 {
		t.Errorf("%d requests at an engine that was removed without an outage", n)
	}
}

// TestHistoryGone: a gateway whose revision is older than the store's history reads a full snapshot.
func TestHistoryGone(t *testing.T) {
	w := smallFleet(t)
	w.Write(publishedtest.Config(config(2, "other")))
	w.Remove("engine-1")
	w.Store.DropHistory()
	w.Run(2 * time.Second)
	for _, n := range w.Nodes {
		n.Send(bookRequest, func(o controltest.Outcome) {
			if o.Reason != control.ReasonUnauthenticated {
				t.Errorf("%s: reason %v", n.ID, o.Reason)
			}
		})
	}
}
