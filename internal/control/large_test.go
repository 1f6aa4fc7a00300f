package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestControlTraffic bounds what a gateway sends to peers at any size, with requests in
// flight at all times: 5 KB a second with the headers of UDP and IP, and the calls of the
// whole fleet to the store.
func TestControlTraffic(t *testing.T) {
	const headers = 28 // bytes of UDP and IP
	w := grown(t)
	load(w, 1000, w.Now().Add(20*time.Second), subjects(w, 600, 0), ignore)
	bytes, calls := 0, 0
	for _, n := range w.Nodes {
		bytes -= n.SentBytes + headers*n.Sent
		calls -= n.Reads
	}
	w.Run(20 * time.Second)
	for _, n := range w.Nodes {
		bytes += n.SentBytes + headers*n.Sent
		calls += n.Reads
		if age := n.State.SnapshotAge(w.Now()); age > 1500*time.Millisecond {
			t.Errorf("%s knows the store as it was %v ago", n.ID, age)
		}
	}
	if mean := bytes / len(w.Nodes) / 20; mean > 5000 {
		t.Errorf("a gateway sends %d bytes a second", mean)
	}
	if calls > 20*4 {
		t.Errorf("%d calls to the store in 20 s", calls)
	}
}

// TestStoreOutageOfLargeFleet: while the store does not answer, a fleet of 83 calls it
// about as often as three times as many as nine gateways do, which call once a second
// each, and still learns of its return at once.
func TestStoreOutageOfLargeFleet(t *testing.T) {
	const outage, perSecond = 10, 3 * 9
	w := grown(t)
	calls := 0
	for _, n := range w.Nodes {
		calls -= n.Reads
	}
	w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
	w.Run(outage * time.Second)
	for _, n := range w.Nodes {
		calls += n.Reads
	}
	t.Logf("%d calls in %d s", calls, outage)
	// Each gateway's first failure is its own.
	if most := outage*perSecond + len(w.Nodes); calls > most {
		t.Errorf("%d calls to a store that does not answer, over %d", calls, most)
	}
	w.Partitioned = nil
	w.Run(2500 * time.Millisecond)
	for _, n := range w.Nodes {
		if age := n.State.SnapshotAge(w.Now()); age > 1500*time.Millisecond {
			t.Errorf("%s knows the store as it was %v ago, 2.5 s after its return", n.ID, age)
		}
	}
}

// TestLargeFleetStartsTogether: gateways that start at the same moment learn of each other
// at different times, and the first message to a peer that does not know its sender yet is
// lost. All must hear all soon, or each would read the store by itself meanwhile.
func TestLargeFleetStartsTogether(t *testing.T) {
	const heard = 3 * time.Second
	w := controltest.New(seed, 33, 33, 33, 33, 32)
	w.Write(publishedtest.Config(config(1, "key")))
	w.Run(heard)
	for _, n := range w.Nodes {
		if live := n.State.Dump(w.Now()).LivePeers; live != len(w.Nodes)-1 {
			t.Errorf("%s hears %d of %d peers after %v", n.ID, live, len(w.Nodes)-1, heard)
		}
	}
	calls := 0
	for _, n := range w.Nodes {
		calls -= n.Reads
	}
	w.Run(10 * time.Second)
	for _, n := range w.Nodes {
		calls += n.Reads
	}
	if calls > 10*4 {
		t.Errorf("%d calls to the store in the 10 s after that", calls)
	}
}

// TestRejectedGatewaysOfLargeFleet: while the store turns every third gateway away,
// configurations that are too large for a pull and an endpoint's leaving are each in force
// at all of them within three seconds.
func TestRejectedGatewaysOfLargeFleet(t *testing.T) {
	const inForce, changes = 3 * time.Second, 6
	w := grown(t)
	for i, n := range w.Nodes {
		n.StoreRejects = i%3 == 0
	}
	for version := int64(2); version < 2+changes; version++ {
		key := fmt.Sprint("key-", version)
		large := config(version, key)
		for i := range 300 {
			r := large.Routes[0]
			r.Name, r.Prefix = fmt.Sprint("more-", i), fmt.Sprintf("/more-%d/", i)
			large.Routes = append(large.Routes, r)
		}
		w.Write(publishedtest.Config(large))
		leaving := engine(int(version), "a")
		leaving.Leaving = true
		w.Publish(leaving)
		w.Run(inForce)
		for _, n := range w.Nodes {
			d := n.State.Dump(w.Now())
			if d.Store.ConfigVersion != version {
				t.Errorf("%s (rejected: %t) has version %d, not %d", n.ID, n.StoreRejects, d.Store.ConfigVersion, version)
			}
			for _, e := range d.Endpoints {
				if e.ID == leaving.ID && !e.Leaving {
					t.Errorf("%s does not know that %s leaves", n.ID, e.ID)
				}
			}
		}
	}
}

// TestRestartsAskTheStoreOnce plays a planned restart of the fleet, one gateway a second,
// while endpoints send heartbeats. What a starting gateway lists has the revision of the
// last heartbeat; the others must not take that for news and read the store as well.
func TestRestartsAskTheStoreOnce(t *testing.T) {
	const restarts, perSecond, perRestart = 20, 4, 4
	w := grown(t)
	beats := 0
	var beat func()
	beat = func() {
		beats++
		for _, e := range w.Endpoints {
			w.Store.Write(publishedtest.Endpoint(e.Endpoint, beats))
		}
		w.After(time.Second, beat)
	}
	beat()
	w.Run(5 * time.Second)
	calls := 0
	for _, n := range w.Nodes {
		calls -= n.Reads
	}
	for _, n := range w.Nodes[:restarts] {
		n.Stop(400 * time.Millisecond)
		w.Run(time.Second)
	}
	w.Run(2 * time.Second)
	for _, n := range w.Nodes {
		calls += n.Reads
	}
	t.Logf("%d calls to the store", calls)
	if most := perSecond*(restarts+2) + perRestart*restarts; calls > most {
		t.Errorf("%d calls to the store, over %d", calls, most)
	}
}
