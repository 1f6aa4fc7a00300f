package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	models = fleet.Pool{Region: "r", Model: "m"}
)

func endpointID(i int) fleet.EndpointID { return fleet.EndpointID(fmt.Sprintf("e%d", i)) }

func testView(endpoints int) *fleet.View {
	var es []fleet.Endpoint
	for i := range endpoints {
		es = append(es, fleet.Endpoint{ID: endpointID(i), DataCentre: "dc", Kind: fleet.Engine, Model: "m"})
	}
	c := &fleet.Configuration{DataCentres: map[fleet.DataCentreID]fleet.DataCentre{"dc": {ID: "dc", Region: "r"}}}
	return fleet.NewView(c, nil, &fleet.EndpointList{Endpoints: es})
}

func newState(endpoints int) *State {
	s := New("i0", rand.New(rand.NewPCG(1, 1)))
	s.SetView(testView(endpoints))
	return s
}

func load(i int, version uint64, load, limit uint32) wire.EndpointLoad {
	return wire.EndpointLoad{ID: fleet.Hash(string(endpointID(i))), Version: version, Load: load, Limit: limit}
}

func TestMergeKeepsTheHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(3)
		best := map[int]wire.EndpointLoad{}
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			i := rapid.IntRange(0, 3).Draw(t, "endpoint") // endpoint 3 is not listed
			l := load(i, rapid.Uint64Range(1, 9).Draw(t, "version"), rapid.Uint32Range(0, 50).Draw(t, "load"), 200)
			s.Merge(epoch, []wire.EndpointLoad{l})
			if l.Version > best[i].Version {
				best[i] = l
			}
		}
		delete(best, 3)
		total := 0
		for _, l := range best {
			total += int(l.Load)
		}
		if got, n := s.UnconstrainedTotal(epoch, models); got != total || n != len(best) {
			t.Fatalf("total load %d on %d endpoints, want %d on %d", got, n, total, len(best))
		}
	})
}

func TestOwnCountIsNotReplaced(t *testing.T) {
	s := newState(2)
	s.SetOwned([]fleet.EndpointID{"e0"})
	h := fleet.Hash("e0")
	s.SetLocal(epoch, h, wire.EndpointLoad{Load: 5, Limit: 9, IncarnationLow: 1})
	s.Merge(epoch, []wire.EndpointLoad{load(0, 100, 1, 9)})
	if e, _ := s.Known(epoch, h); e.Load != 5 {
		t.Errorf("load %d, want the local load 5 to take precedence over a former owner's", e.Load)
	}
	s.SetLocal(epoch, h, wire.EndpointLoad{Load: 6, Limit: 9, IncarnationLow: 1})
	if got := s.Newest(epoch, models, 1)[0]; got.Load != 6 || got.Version <= 100 {
		t.Errorf("published %+v, want load 6 with a version above 100", got)
	}
}

func TestEntriesExpire(t *testing.T) {
	s := newState(2)
	s.Merge(epoch, []wire.EndpointLoad{load(0, 1, 5, 9), load(1, 1, 7, 9)})
	later := epoch.Add(minEntryTTL)
	s.Merge(later, []wire.EndpointLoad{load(1, 2, 8, 9)})
	if got, n := s.UnconstrainedTotal(later, models); got != 13 || n != 2 {
		t.Errorf("total load %d on %d endpoints at the end of an entry's TTL, want 13 on 2", got, n)
	}
	if got, n := s.UnconstrainedTotal(later.Add(time.Millisecond), models); got != 8 || n != 1 {
		t.Errorf("total load %d on %d endpoints, want the refreshed one alone", got, n)
	}
}

// TestTotalCountsThoseThatMayReturn checks that a cold endpoint and one that failed recently
// are in the total although they cannot carry half of the mean.
func TestTotalCountsThoseThatMayReturn(t *testing.T) {
	s := newState(4)
	failed := load(2, 1, 0, 0)
	failed.Closed = true
	s.Merge(epoch, []wire.EndpointLoad{load(0, 1, 20, 32), load(1, 1, 1, 1), failed})
	if total, n := s.UnconstrainedTotal(epoch, models); total != 20 || n != 1 {
		t.Errorf("unconstrained load %d on %d endpoints, want 20 on 1", total, n)
	}
	if total, n := s.Total(epoch, models); total != 21 || n != 3 {
		t.Errorf("total load %d on %d endpoints, want 21 on 3", total, n)
	}
	later := epoch.Add(failureRecoveryTime)
	failed.Version = 2
	s.Merge(later, []wire.EndpointLoad{load(0, 2, 20, 32), load(1, 2, 1, 1), failed})
	if total, n := s.Total(later, models); total != 21 || n != 2 {
		t.Errorf("total load %d on %d endpoints after the recovery time, want 21 on 2", total, n)
	}
}

func TestSuggestOrdersByRoomThenLoad(t *testing.T) {
	s := newState(6)
	closed := load(3, 1, 0, 9)
	closed.Closed = true
	s.Merge(epoch, []wire.EndpointLoad{
		load(0, 1, 0, 9), // excluded
		load(1, 1, 1, 1), // at its limit
		load(2, 1, 4, 9),
		closed,
		load(4, 1, 2, 9),
	}) // the load of e5 is unknown
	got := s.Suggest(epoch, models, "e0", 4)
	if want := []fleet.EndpointID{"e4", "e2", "e1"}; !slices.Equal(got, want) {
		t.Errorf("suggested %v, want %v", got, want)
	}
	if got := s.Suggest(epoch, models, "e0", 1); !slices.Equal(got, []fleet.EndpointID{"e4"}) {
		t.Errorf("suggested %v, want the best alone", got)
	}
}

func TestDigestIsAnsweredWithNewsOnly(t *testing.T) {
	s := newState(3)
	s.Merge(epoch, []wire.EndpointLoad{load(0, 5, 1, 9), load(1, 5, 2, 9), load(2, 5, 3, 9)})
	var out wire.Outbox
	s.OnLoadGossip(epoch, "i1", wire.LoadGossip{Loads: []wire.EndpointLoad{load(0, 5, 1, 9), load(1, 4, 0, 9)}}, &out)
	if len(out.Messages) != 1 {
		t.Fatalf("%d replies, want 1", len(out.Messages))
	}
	d := out.Messages[0].Message.(wire.LoadGossip)
	var ids []uint64
	for _, l := range d.Loads {
		ids = append(ids, l.ID)
	}
	slices.Sort(ids)
	want := []uint64{fleet.Hash("e1"), fleet.Hash("e2")}
	slices.Sort(want)
	if !d.Reply || !slices.Equal(ids, want) {
		t.Errorf("reply %+v, want the entries of e1 and e2", d)
	}
	out.Reset()
	if s.OnLoadGossip(epoch, "i1", d, &out); len(out.Messages) > 0 {
		t.Error("a reply was sent in response to a reply")
	}
}

func TestMeanIsOfThoseThatCanCarryIt(t *testing.T) {
	for _, tt := range []struct {
		name             string
		loads            []wire.EndpointLoad
		total, endpoints int
	}{
		{"none constrained", []wire.EndpointLoad{load(0, 1, 8, 32), load(1, 1, 6, 32), load(2, 1, 4, 32)}, 18, 3},
		{"one failing", []wire.EndpointLoad{load(0, 1, 8, 32), load(1, 1, 6, 32), load(2, 1, 0, 0)}, 14, 2},
		{"one cold", []wire.EndpointLoad{load(0, 1, 8, 32), load(1, 1, 6, 32), load(2, 1, 2, 2)}, 14, 2},
		{"one that can carry half", []wire.EndpointLoad{load(0, 1, 8, 32), load(1, 1, 6, 32), load(2, 1, 4, 4)}, 18, 3},
		{"cold only", []wire.EndpointLoad{load(0, 1, 1, 1), load(1, 1, 0, 1)}, 1, 2},
	} {
		s := newState(3)
		s.Merge(epoch, tt.loads)
		if total, n := s.UnconstrainedTotal(epoch, models); total != tt.total || n != tt.endpoints {
			t.Errorf("%s: %d on %d endpoints, want %d on %d", tt.name, total, n, tt.total, tt.endpoints)
		}
	}
}
