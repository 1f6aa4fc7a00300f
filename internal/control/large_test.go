package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestControlTraffic bounds the control traffic of a large fleet with requests in flight at all times:
// on average, a gateway sends at most 5 KB per second to peers, UDP and IP headers included, and the
// whole fleet reads the store at most four times per second.
func TestControlTraffic(t *testing.T) {
	const udpIPHeaderBytes = 28
	w := largeFleet(t)
	sendLoad(w, 1000, w.Now().Add(20*time.Second), chatRequests(w, 600, 0), ignore)
	bytes, reads := 0, 0
	for _, n := range w.Nodes {
		bytes -= n.SentBytes + udpIPHeaderBytes*n.Sent
		reads -= n.Reads
	}
	w.Run(20 * time.Second)
	for _, n := range w.Nodes {
		bytes += n.SentBytes + udpIPHeaderBytes*n.Sent
		reads += n.Reads
		if age := n.State.SnapshotAge(w.Now()); age > 1500*time.Millisecond {
			t.Errorf("%s: snapshot age %v", n.ID, age)
		}
	}
	if mean := bytes / len(w.Nodes) / 20; mean > 5000 {
		t.Errorf("a gateway sends %d bytes per second", mean)
	}
	if reads > 20*4 {
		t.Errorf("%d store reads in 20 s", reads)
	}
}

// TestStoreOutageOfLargeFleet: while the store does not answer, a fleet of 83 gateways sends at most
// three times as many reads as nine gateways, which send one per second each. It still detects the
// store's recovery within 2.5 s.
func TestStoreOutageOfLargeFleet(t *testing.T) {
	const outage, perSecond = 10, 3 * 9
	w := largeFleet(t)
	reads := 0
	for _, n := range w.Nodes {
		reads -= n.Reads
	}
	w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
	w.Run(outage * time.Second)
	for _, n := range w.Nodes {
		reads += n.Reads
	}
	t.Logf("%d reads in %d s", reads, outage)
	// Each gateway may start one read before it detects the outage.
	if limit := outage*perSecond + len(w.Nodes); reads > limit {
		t.Errorf("%d reads of a store that does not answer, over %d", reads, limit)
	}
	w.Partitioned = nil
	w.Run(2500 * time.Millisecond)
	for _, n := range w.Nodes {
		if age := n.State.SnapshotAge(w.Now()); age > 1500*time.Millisecond {
			t.Errorf("%s: snapshot age %v, 2.5 s after the store's recovery", n.ID, age)
		}
	}
}

// TestLargeFleetStartsTogether: gateways that start at the same time discover each other at different
// times, and a message from a gateway that the receiver has not discovered yet is dropped. All gateways
// must still receive from all others within seconds, because each gateway without live peers reads the
// store itself.
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
	reads := 0
	for _, n := range w.Nodes {
		reads -= n.Reads
	}
	w.Run(10 * time.Second)
	for _, n := range w.Nodes {
		reads += n.Reads
	}
	if reads > 10*4 {
		t.Errorf("%d store reads in the next 10 s", reads)
	}
}

// TestRejectedGatewaysOfLargeFleet: while the store rejects every third gateway, all gateways receive
// a configuration that is too large for a pull, and an endpoint's leaving, within three seconds.
func TestRejectedGatewaysOfLargeFleet(t *testing.T) {
	const propagationTime, changes = 3 * time.Second, 6
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
		w.Run(propagationTime)
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

// TestRollingRestartStoreReads simulates a planned rolling restart, one gateway per second, while
// endpoints send heartbeats. The full snapshot that a starting gateway reads has the revision of the
// last heartbeat. The other gateways must not treat that revision as a change and read the store, too:
// each restart may cause four reads, in addition to the regular four per second.
func TestRollingRestartStoreReads(t *testing.T) {
	const restarts, perSecond, perRestart = 20, 4, 4
	w := largeFleet(t)
	heartbeats := 0
	var heartbeat func()
	heartbeat = func() {
		heartbeats++
		for _, e := range w.Endpoints {
			w.Store.Write(publishedtest.Endpoint(e.Endpoint, heartbeats))
		}
		w.After(time.Second, heartbeat)
	}
	heartbeat()
	w.Run(5 * time.Second)
	reads := 0
	for _, n := range w.Nodes {
		reads -= n.Reads
	}
	for _, n := range w.Nodes[:restarts] {
		n.RestartAfter(400 * time.Millisecond)
		w.Run(time.Second)
	}
	w.Run(2 * time.Second)
	for _, n := range w.Nodes {
		reads += n.Reads
	}
	t.Logf("%d store reads", reads)
	if limit := perSecond*(restarts+2) + perRestart*restarts; reads > limit {
		t.Errorf("%d store reads, over %d", reads, limit)
	}
}
