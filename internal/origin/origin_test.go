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
		history := NewHistory(start)
		history.Replaced(start, 1)
		if got := history.Sole(start.Add(tc.after), 10*time.Second, tc.present); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}

// TestLookups lets the gateways that are asked reply in random order or not at all, and others reply as well. A lookup
// ends with the first reply of an asked gateway that has a record, whether or not its version is certain. It is unrecorded when all
// have replied without one, or at its timeout.
func TestLookups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := []fleet.InstanceID{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "asked")]
		var s Lookups
		number, l := s.Start(start, 5, asked)
		waiting, recorded, want := slices.Clone(asked), false, Version(0)
		for range rapid.IntRange(0, 6).Draw(t, "replies") {
			from := fleet.InstanceID(rapid.SampledFrom([]string{"a", "b", "c", "other"}).Draw(t, "from"))
			reply := Reply{Recorded: rapid.Bool().Draw(t, "recorded"), Version: Version(rapid.IntRange(0, 2).Draw(t, "version"))}
			if i := slices.Index(waiting, from); i >= 0 && !recorded {
				waiting = slices.Delete(waiting, i, i+1)
				if recorded = reply.Recorded; recorded {
					want = reply.Version
				}
			}
			s.Receive(number, from, reply)
		}
		if l.Ended() != recorded || l.Unrecorded() != (!recorded && len(waiting) == 0) {
			t.Fatalf("ended: %t, unrecorded: %t, want ended: %t, waiting for %d", l.Ended(), l.Unrecorded(), recorded, len(waiting))
		}
		var repeated []fleet.InstanceID
		for _, after := range []time.Duration{0, repeatAfter, 2 * repeatAfter, lookupTimeout} {
			s.Tick(start.Add(after), func(_ uint32, _ *Lookup, to fleet.InstanceID) { repeated = append(repeated, to) })
		}
		slices.Sort(repeated)
		if !recorded && !slices.Equal(repeated, waiting) {
			t.Fatalf("asked again: %v, want %v", repeated, waiting)
		}
		if l.Ended() != recorded || l.Unrecorded() == recorded || l.Version != want || len(s.pending) != 0 {
			t.Fatalf("version %d, want %d; unrecorded: %t; %d pending", l.Version, want, l.Unrecorded(), len(s.pending))
		}
	})
}

// TestHistoryCovers checks from when on a history knows all versions.
func TestHistoryCovers(t *testing.T) {
	h := NewHistory(start)
	for name, tc := range map[string]struct {
		change func()
		want   boottime.Instant
	}{
		"new":       {func() {}, start},
		"extended":  {func() { h.Extend(start.Add(-time.Second)) }, start.Add(-time.Second)},
		"not later": {func() { h.Extend(start.Add(time.Second)) }, start.Add(-time.Second)},
		"forgotten": {func() { h.Forget(start.Add(2 * time.Second)) }, start.Add(2 * time.Second)},
	} {
		h = NewHistory(start)
		if name == "not later" {
			h.Extend(start.Add(-time.Second))
		}
		tc.change()
		if got := h.Since(); got != tc.want || !h.Covers(tc.want.Add(time.Second), time.Second) || h.Covers(tc.want.Add(time.Second-1), time.Second) {
			t.Errorf("%s: known since %d, want %d", name, got, tc.want)
		}
	}
}
