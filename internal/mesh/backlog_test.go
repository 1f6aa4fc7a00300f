package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	testRead      = 40 * time.Millisecond
	testWorkspace = 5
)

// testBacklog is the Backlog of each gateway of a fleetSim.
func testBacklog() Backlog {
	return Backlog{Reads: map[uint32]time.Duration{testEndpoint: testRead}, Workspaces: map[uint32]int{testWorkspace: 1}}
}

// newFleet returns the first aggregator of a data centre and the IDs of its n peers, which it has heard.
func newFleet(n int, endpoints int) (*State, []fleet.InstanceID, []uint32) {
	const addr = "10.200.100.100:40123"
	first := New(start, Member{ID: "first", DataCentre: "a", Addr: addr, ControlAddr: addr, CPUMillis: 900}, 1<<63)
	var members []Member
	var ids []fleet.InstanceID
	for i := range n {
		id := fleet.InstanceID(fmt.Sprint("g-", i))
		ids = append(ids, id)
		members = append(members, Member{ID: id, DataCentre: "a", Addr: string(id)})
	}
	first.AddMembers(start, members)
	var short []uint32
	for i := range endpoints {
		short = append(short, 1<<31+uint32(i)*7919)
	}
	first.SetEndpoints(short)
	for _, id := range ids {
		first.Receive(start, id, 1, wire.Status{Timestamp: 1})
	}
	return first, ids, short
}

// TestBacklogFitsDatagram: a Status with a Backlog of 600 or more endpoints fits into a datagram, for ordinary gateways and for
// aggregators, in calm and with many failures. All counts of the summary still arrive in turns.
func TestBacklogFitsDatagram(t *testing.T) {
	const maxStatusBytes = 1100 // gossip.MaxBytes without room for the ID of the sender
	for _, endpoints := range []int{9, 600, 3000} {
		for _, failures := range []int{0, 100} {
			for _, peers := range []int{fullMeshFleetSize - 4, fullMeshFleetSize + 4} {
				s, _, ids := newFleet(peers, endpoints)
				l := LocalStatus{Revision: 1 << 50, Confirmed: start.Add(-time.Minute), InFlight: wire.Counts{}, Failed: wire.Counts{}, Backlog: Backlog{Speeds: map[uint32]backlog.Speed{}, Reads: map[uint32]time.Duration{}, Workspaces: map[uint32]int{}}}
				for i, id := range ids {
					l.Backlog.Speeds[id] = backlog.Speed{Percent: 1000, At: start}
					l.Backlog.Reads[id] = time.Hour
					l.Backlog.Workspaces[id] = 1 << 30
					if i < 40 {
						l.InFlight[id] = 1000
					}
					if i < failures {
						l.Failed[id] = 1000
						l.FailureReports = append(l.FailureReports, wire.FailureReport{Endpoint: id, AgeMS: 900})
					}
				}
				largest, carried := 0, 0
				for step := range 6 {
					l.Version++
					for _, o := range s.Tick(start.Add(time.Duration(step)*aggregationInterval), l) {
						b, err := wire.Encode(wire.Frame{Header: wire.Header{Incarnation: 1 << 50}, Message: o.Message})
						if err != nil {
							t.Fatal(err)
						}
						largest = max(largest, len(b))
						if o.Message.(wire.Status).Backlog != nil {
							carried++
						}
					}
				}
				t.Logf("%d endpoints, %d failures, %d peers: up to %d bytes, %d messages with a backlog", endpoints, failures, peers, largest, carried)
				if largest > maxStatusBytes {
					t.Errorf("%d endpoints, %d failures, %d peers: a Status of %d bytes", endpoints, failures, peers, largest)
				}
				if carried == 0 {
					t.Errorf("%d endpoints, %d peers: no Status has a backlog", endpoints, peers)
				}
			}
		}
	}
}

// TestWhichEntriesAreSent: if not all fit, the newest speeds, the longest reads and the largest workspaces are sent. With 600
// endpoints, 90 speeds and 30 reads fit beside all counts.
func TestWhichEntriesAreSent(t *testing.T) {
	s, _, ids := newFleet(fullMeshFleetSize+4, 600)
	send := func(speeds, reads, workspaces int) wire.Status {
		b := Backlog{Speeds: map[uint32]backlog.Speed{}, Reads: map[uint32]time.Duration{}, Workspaces: map[uint32]int{}}
		now := start.Add(time.Second)
		for i, id := range ids {
			if i < speeds {
				b.Speeds[id] = backlog.Speed{Percent: 250, At: now.Add(-time.Duration(i) * time.Millisecond)}
			}
			if i < reads {
				b.Reads[id] = time.Duration(10+10*(i%60)) * time.Millisecond
			}
			if i < workspaces {
				b.Workspaces[id] = 1 + i
			}
		}
		for _, p := range s.sortedPeers {
			p.lastSent = 0
		}
		return s.Tick(now, LocalStatus{Backlog: b, Version: 1})[0].Message.(wire.Status)
	}
	if m := send(90, 30, 0); len(m.Backlog.Speeds) != 90 || len(m.Backlog.Reads) != 30 || len(m.Summary.Counts) != 600 {
		t.Errorf("%d speeds, %d reads, %d counts", len(m.Backlog.Speeds), len(m.Backlog.Reads), len(m.Summary.Counts))
	}
	m := send(600, 600, 20)
	speeds, reads := len(m.Backlog.Speeds), len(m.Backlog.Reads)
	t.Logf("%d speeds, %d reads", speeds, reads)
	if len(m.Backlog.Workspaces) != maxWorkspaces || m.Backlog.Workspaces[maxWorkspaces-1].Requests != 5 {
		t.Errorf("workspaces %+v", m.Backlog.Workspaces)
	}
	for _, e := range m.Backlog.Speeds {
		if e.AgeMS >= uint32(speeds) {
			t.Errorf("of %d speeds one is %d ms old", speeds, e.AgeMS)
		}
	}
	for _, r := range m.Backlog.Reads {
		if longest, tenths := uint32(600), uint32(reads/10+1)*10; r.Units*wire.ReadUnitMS+wire.ReadUnitMS < longest-tenths {
			t.Errorf("of %d reads one is %d ms", reads, r.Units*wire.ReadUnitMS)
		}
	}
	if speeds < 20 || reads < 20 {
		t.Errorf("%d speeds and %d reads", speeds, reads)
	}
}

// TestNothingToReport: a gateway that has nothing to report sends no Backlog, also after it had.
func TestNothingToReport(t *testing.T) {
	for _, peers := range []int{4, fullMeshFleetSize + 4} {
		s, ids, short := newFleet(peers, 20)
		count := func(now boottime.Instant, l LocalStatus) (n int) {
			l.Version = uint64(now)
			for _, o := range s.Tick(now, l) {
				if o.Message.(wire.Status).Backlog != nil {
					n++
				}
			}
			return n
		}
		if n := count(start, LocalStatus{}); n != 0 {
			t.Errorf("%d peers: %d messages with a backlog", peers, n)
		}
		speeds := map[uint32]backlog.Speed{short[3]: {Percent: 250, At: start}}
		if n := count(start.Add(time.Second), LocalStatus{Backlog: Backlog{Speeds: speeds}}); n != peers {
			t.Errorf("%d peers: %d messages with a backlog", peers, n)
		}
		s.Receive(start.Add(time.Second), ids[0], 1, wire.Status{Timestamp: 2, Backlog: &wire.Backlog{Digest: s.endpoints.digest}})
		if n := count(start.Add(2200*time.Millisecond), LocalStatus{Backlog: Backlog{Speeds: speeds}}); n != 0 {
			t.Errorf("%d peers: %d messages with a speed that is 2.2 s old", peers, n)
		}
	}
}

// TestAbsurdBacklog: a Backlog with positions that do not exist, or of other endpoints, changes nothing. Huge values stay bounded.
func TestAbsurdBacklog(t *testing.T) {
	s, ids, short := newFleet(4, 20)
	receive := func(m wire.Backlog) Backlog {
		s.Receive(start, ids[0], 1, wire.Status{Timestamp: 2, Backlog: &m})
		return s.Backlog(start)
	}
	entries := wire.Backlog{Digest: s.endpoints.digest, Speeds: []wire.EndpointSpeed{{Position: 1 << 31, Percent: 250}}, Reads: []wire.PendingRead{{Position: 20, Units: 1}}}
	if b := receive(entries); len(b.Speeds)+len(b.Reads) != 0 {
		t.Errorf("%+v", b)
	}
	entries = wire.Backlog{Digest: s.endpoints.digest + 1, Speeds: []wire.EndpointSpeed{{Percent: 250}}, Reads: []wire.PendingRead{{Units: 1}}}
	if b := receive(entries); len(b.Speeds)+len(b.Reads) != 0 {
		t.Errorf("of other endpoints: %+v", b)
	}
	huge := wire.Backlog{Digest: s.endpoints.digest, Reads: []wire.PendingRead{{Units: 1<<32 - 1}}, Speeds: []wire.EndpointSpeed{{Percent: 250, AgeMS: 1<<32 - 1}}}
	for n := range uint32(100) {
		huge.Workspaces = append(huge.Workspaces, wire.WorkspaceLoad{Workspace: n, Requests: 1<<32 - 1})
	}
	if b := receive(huge); b.Reads[short[0]] > 90*time.Second || len(b.Workspaces) > maxWorkspaces || b.Workspaces[0] < 0 {
		t.Errorf("%+v", b)
	}
}

// TestBacklogOutlivesStoreUpdate: a Status with a store update has no place for a Backlog; the one before still counts.
func TestBacklogOutlivesStoreUpdate(t *testing.T) {
	s, ids, short := newFleet(4, 20)
	s.Receive(start, ids[0], 1, wire.Status{Timestamp: 2, Backlog: &wire.Backlog{Digest: s.endpoints.digest, Reads: []wire.PendingRead{{Units: 2}}}})
	s.Receive(start, ids[0], 1, wire.Status{Timestamp: 3, Update: &wire.StoreUpdate{Revision: 5}})
	if got := s.Backlog(start).Reads[short[0]]; got != testRead {
		t.Errorf("%v pending", got)
	}
	s.Receive(start, ids[0], 1, wire.Status{Timestamp: 4})
	if got := s.Backlog(start).Reads[short[0]]; got != 0 {
		t.Errorf("%v pending after a Status without a Backlog", got)
	}
}
