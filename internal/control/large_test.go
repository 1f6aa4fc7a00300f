package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestControlTraffic bounds the control traffic of a large fleet with requests in flight at all
// times: each gateway sends at most 5 KB per second to peers, UDP and IP headers included, and
// the number of store reads of the whole fleet is limited.
func TestControlTraffic(t *testing.T) {
	const headers = 28 // bytes of UDP and IP
	w := largeFleet(t)
	sendLoad(w, 1000, w.Now().Add(20*time.Second), chatRequests(w, 600, 0), ignore)
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
			t.Errorf("%s: snapshot age %v", n.ID, age)
		}
	}
	if mean := bytes / len(w.Nodes) / 20; mean > 5000 {
		t.Errorf("a gateway sends %d bytes per second", mean)
	}
	if calls > 20*4 {
		t.Errorf("%d store reads in 20 s", calls)
	}
}

// TestStoreOutageOfLargeFleet: while the store does not answer, a fleet of 83 gateways sends at
// most three times as many reads as nine gateways would, which send one per second each. It
// still detects the store's recovery within seconds.
func TestStoreOutageOfLargeFleet(t *testing.T) {
	const outage, perSecond = 10, 3 * 9
	w := largeFleet(t)
	calls := 0
	for _, n := range w.Nodes {
		calls -= n.Reads
	}
	w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
	w.Run(outage * time.Second)
	for _, n := range w.Nodes {
		calls += n.Reads
	}
	t.Logf("%d reads in %d s", calls, outage)
	// Each gateway may start one read before it learns of the outage.
	if most := outage*perSecond + len(w.Nodes); calls > most {
		t.Errorf("%d reads of a store that does not answer, over %d", calls, most)
	}
	w.Partitioned = nil
	w.Run(2500 * time.Millisecond)
	for _, n := range w.Nodes {
		if age := n.State.SnapshotAge(w.Now()); age > 1500*time.Millisecond {
			t.Errorf("%s: snapshot age %v, 2.5 s after the store's recovery", n.ID, age)
		}
	}
}

// TestLargeFleetStartsTogether: gateways that start at the same time learn of each other at
// different times, and the first message to a peer that does not know the sender yet is
// dropped. All gateways must still receive from all others soon, because each gateway without
// live peers reads the store itself.
func TestLargeFleetStartsTogether(t *testing.T) {
	const converged = 3 * time.Second
	w := controltest.New(seed, 33, 33, 33, 33, 32)
	w.Write(publishedtest.Config(config(1, "key")))
	w.Run(converged)
	for _, n := range w.Nodes {
		if live := n.State.Dump(w.Now()).LivePeers; live != len(w.Nodes)-1 {
			t.Errorf("%s has %d of %d live peers after %v", n.ID, live, len(w.Nodes)-1, converged)
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
		t.Errorf("%d store reads in the next 10 s", calls)
	}
}

// TestRejectedGatewaysOfLargeFleet: while the store rejects every third gateway, configurations
// that are too large for a pull and the leaving of an endpoint are each in force at all
// gateways within three seconds.
func TestRejectedGatewaysOfLargeFleet(t *testing.T) {
	const inForce, changes = 3 * time.Second, 6
	w := largeFleet(t)
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
				t.Errorf("%s (rejected: %t) has version %d, want %d", n.ID, n.StoreRejects, d.Store.ConfigVersion, version)
			}
			for _, e := range d.Endpoints {
				if e.ID == leaving.ID && !e.Leaving {
					t.Errorf("%s has not received that %s is leaving", n.ID, e.ID)
				}
			}
		}
	}
}

// TestRollingRestartStoreReads simulates a planned rolling restart, one gateway per second,
// while endpoints send heartbeats. The list that a starting gateway reads has the revision of
// the last heartbeat. The other gateways must not treat that revision as a change and read the
// store as well.
func TestRollingRestartStoreReads(t *testing.T) {
	const restarts, perSecond, perRestart = 20, 4, 4
	w := largeFleet(t)
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
	t.Logf("%d store reads", calls)
	if most := perSecond*(restarts+2) + perRestart*restarts; calls > most {
		t.Errorf("%d calls to the store, over %d", calls, most)
	}
}
