package origin

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const start = boottime.Instant(time.Hour)

// TestTable checks that records expire, that two versions of one stream make it unknown, and that own records survive.
func TestTable(t *testing.T) {
	table := NewTable()
	record := func(v Version, left time.Duration, own bool) Record {
		return Record{Version: v, Expires: start.Add(left), Own: own, Service: "s"}
	}
	table.Add(1, record(7, time.Second, false))
	table.Add(1, record(7, 3*time.Second, true))
	table.Add(2, record(7, time.Second, true))
	table.Add(2, record(8, time.Second, false))
	if r, ok := table.Get(start.Add(2*time.Second), 1); !ok || r.Version != 7 || !r.Own {
		t.Errorf("%+v, %t: want the later end and an own record", r, ok)
	}
	if r, ok := table.Get(start, 2); !ok || r.Version != 0 {
		t.Errorf("%+v, %t: want an unknown version", r, ok)
	}
	all := func(fleet.ServiceID) bool { return true }
	if ids := table.Unreplicated(all); len(ids) != 2 {
		t.Errorf("%v are to be replicated", ids)
	}
	table.MarkReplicated(1)
	if ids := table.Unreplicated(all); !slices.Equal(ids, []StreamID{2}) {
		t.Errorf("%v are to be replicated, want 2", ids)
	}
	table.Expire(start.Add(time.Second))
	if _, ok := table.Get(start.Add(time.Second), 2); ok || table.Len() != 1 {
		t.Errorf("%d records after the end of one", table.Len())
	}
}

// TestTableIsBounded checks that records of peers do not fill the memory and that own ones are kept all the same.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for id := range StreamID(maxRecords + 10) {
		table.Add(id, Record{Version: 1, Expires: start.Add(time.Second)})
	}
	table.Add(maxRecords+20, Record{Version: 1, Expires: start.Add(time.Second), Own: true})
	if _, ok := table.Get(start, maxRecords+20); !ok || table.Len() != maxRecords+1 || table.Dropped() != 10 {
		t.Errorf("%d records, %d dropped, own one kept: %t", table.Len(), table.Dropped(), ok)
	}
}

// TestSoleVersion checks that a service has one version only if no endpoint had another one within the period.
func TestSoleVersion(t *testing.T) {
	var h History
	h.Replaced(start, 1)
	for name, tc := range map[string]struct {
		after   time.Duration
		present []Version
		want    Version
	}{
		"none":                        {11 * time.Second, nil, 0},
		"only a replaced one":         {time.Second, nil, 1},
		"the same":                    {time.Second, []Version{1, 1}, 1},
		"another one now":             {time.Second, []Version{2}, 0},
		"another one, after a period": {11 * time.Second, []Version{2, 2}, 2},
		"two":                         {11 * time.Second, []Version{2, 3}, 0},
	} {
		history := History{replaced: map[Version]boottime.Instant{1: h.replaced[1]}}
		if got := history.Sole(start.Add(tc.after), 10*time.Second, tc.present); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}

// TestLookups lets the gateways that are asked reply in random order or not at all, and others reply as well. A lookup
// ends with the first version that an asked gateway knows, or with none when all have replied or at its timeout.
func TestLookups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := []fleet.InstanceID{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "asked")]
		var s Lookups
		number, l := s.Start(start, 5, asked)
		waiting, want := slices.Clone(asked), Version(0)
		for range rapid.IntRange(0, 6).Draw(t, "replies") {
			from := fleet.InstanceID(rapid.SampledFrom([]string{"a", "b", "c", "other"}).Draw(t, "from"))
			reply := Reply{Version: Version(rapid.IntRange(0, 2).Draw(t, "version")), Sole: Version(rapid.IntRange(0, 1).Draw(t, "sole"))}
			if i := slices.Index(waiting, from); i >= 0 && want == 0 {
				waiting = slices.Delete(waiting, i, i+1)
				want = max(reply.Version, 0)
				if want == 0 {
					want = reply.Sole
				}
			}
			s.Receive(number, from, reply)
		}
		if ended := want != 0 || len(waiting) == 0; l.Ended() != ended {
			t.Fatalf("ended: %t, want %t", l.Ended(), ended)
		}
		var repeated []fleet.InstanceID
		for _, after := range []time.Duration{0, repeatAfter, 2 * repeatAfter, lookupTimeout} {
			s.Tick(start.Add(after), func(_ uint32, _ *Lookup, to fleet.InstanceID) { repeated = append(repeated, to) })
		}
		slices.Sort(repeated)
		if want == 0 && !slices.Equal(repeated, waiting) {
			t.Fatalf("asked again: %v, want %v", repeated, waiting)
		}
		if !l.Ended() || l.Version != want || len(s.pending) != 0 {
			t.Fatalf("version %d, want %d; %d pending", l.Version, want, len(s.pending))
		}
	})
}
