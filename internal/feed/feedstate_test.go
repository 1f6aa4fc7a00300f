package feed

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

var t0 = time.Unix(1_800_000_000, 0)

// drawConfig returns a configuration over a few identifiers, so that records are added, removed and
// added again.
func drawConfig(t *rapid.T, rev fleet.Revision) *fleet.Configuration {
	c := &fleet.Configuration{
		Revision: rev, Workspaces: map[fleet.WorkspaceID]fleet.Workspace{}, Plans: map[fleet.PlanID]fleet.Plan{},
		DataCentres: map[fleet.DataCentreID]fleet.DataCentre{}, EndpointsOutOfService: map[fleet.EndpointID]bool{},
	}
	for _, id := range []fleet.WorkspaceID{"A", "B/C", "D"} {
		if rapid.Bool().Draw(t, string(id)) {
			w := fleet.Workspace{ID: id, Plan: fleet.PlanID(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "plan"))}
			for _, k := range []string{"01", "02", "03"} {
				if rapid.Bool().Draw(t, k) {
					w.KeyHashes = append(w.KeyHashes, k)
				}
			}
			c.Workspaces[id] = w
		}
	}
	for _, id := range []fleet.PlanID{"p", "q"} {
		c.Plans[id] = fleet.Plan{ID: id, Priority: fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))}
	}
	for _, id := range []fleet.DataCentreID{"dc0", "dc1"} {
		c.DataCentres[id] = fleet.DataCentre{ID: id, Region: "west", OutOfService: rapid.Bool().Draw(t, "out")}
	}
	for _, id := range []fleet.EndpointID{"e1", "e/2"} {
		if rapid.Bool().Draw(t, "endpoint") {
			c.EndpointsOutOfService[id] = true
		}
	}
	return c
}

func TestConfigRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t, 3)
		got, err := decodeConfig(3, encodeConfig(c))
		if err != nil || !reflect.DeepEqual(got, c) {
			t.Fatalf("got %+v, %v\nwant %+v", got, err, c)
		}
	})
}

// TestDeltaBetweenDifferentPaths exchanges deltas between two instances that adopted different
// intermediate revisions. A delta either leads to the same content, or is rejected without effect
// and replaced by a snapshot.
func TestDeltaBetweenDifferentPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New("a", "dc0", Options{MaxHistoryEntries: 4}), New("b", "dc0", Options{MaxHistoryEntries: 4})
		snapshots := 0
		for rev := fleet.Revision(1); rev <= 8; rev++ {
			c := drawConfig(t, rev)
			var out wire.Outbox
			if rev == 1 || rapid.Bool().Draw(t, "a reads") {
				a.OfferConfig(t0, c, &out)
			}
			if rev == 1 || rapid.Bool().Draw(t, "b reads") {
				b.OfferConfig(t0, c, &out)
			}
			snapshots += catchUp(t, a, b)
		}
		if !sameContent(a, b) {
			t.Fatal("contents differ")
		}
	})
}

// catchUp lets the instance with the lower revision pull from the other, and returns the number of
// snapshots that it needed.
func catchUp(t *rapid.T, a, b *State) (snapshots int) {
	if a.feeds[0].rev > b.feeds[0].rev {
		a, b = b, a
	}
	d := b.feeds[0].deltaSince(a.feeds[0].rev)
	before, view := a.feeds[0].hash, a.View()
	res := a.OnPush(t0, "peer", wire.FeedPush{Delta: d}, &wire.Outbox{})
	if res.Outcome == Deferred {
		if a.feeds[0].hash != before || a.View() != view {
			t.Fatal("a rejected delta had an effect")
		}
		snapshots++
		res = a.OnPush(t0, "peer", wire.FeedPush{Delta: b.feeds[0].snapshot()}, &wire.Outbox{})
	}
	if a.feeds[0].rev != b.feeds[0].rev || res.Outcome == Rejected {
		t.Fatalf("%+v", res)
	}
	return snapshots
}

// TestDeltaOverReversal sets and resets a data centre's OutOfService flag. An instance that adopted the
// intermediate revision must accept a delta from one that did not, without a snapshot.
func TestDeltaOverReversal(t *testing.T) {
	slow, fast := New("slow", "dc0", Options{}), New("fast", "dc0", Options{})
	var out wire.Outbox
	for rev := fleet.Revision(1); rev <= 3; rev++ {
		c := testConfig(1, 0)
		c.Revision = rev
		c.DataCentres["dc0"] = fleet.DataCentre{ID: "dc0", OutOfService: rev == 2}
		fast.OfferConfig(t0, c, &out)
		if rev != 2 {
			slow.OfferConfig(t0, c, &out)
		}
		if rev == 2 && !fast.View().Config.DataCentres["dc0"].OutOfService {
			t.Fatal("the data centre is not out of service")
		}
	}
	late := New("late", "dc0", Options{})
	c := testConfig(1, 0)
	c.DataCentres["dc0"] = fleet.DataCentre{ID: "dc0"}
	late.OfferConfig(t0, c, &out)
	c.Revision, c.DataCentres["dc0"] = 2, fleet.DataCentre{ID: "dc0", OutOfService: true}
	late.OfferConfig(t0, c, &out)
	d := slow.feeds[0].deltaSince(2)
	if d.From != 1 {
		t.Fatalf("delta from %d", d.From)
	}
	res := late.OnPush(t0, "slow", wire.FeedPush{Delta: d}, &out)
	if res.Outcome != Adopted || late.View().Config.DataCentres["dc0"].OutOfService {
		t.Errorf("%+v, out %v", res, late.View().Config.DataCentres["dc0"].OutOfService)
	}
}

func TestOffers(t *testing.T) {
	base := encodeConfig(testConfig(4, 0))
	next := encodeConfig(testConfig(5, 0))
	d := base.diff(next).fillDelta(wire.Delta{Feed: wire.FeedConfig, From: 4, To: 5, Hash: next.hash()})
	altered := func(f func(d *wire.Delta)) wire.Delta {
		c := d
		c.Upserts = append([]wire.Record(nil), d.Upserts...)
		f(&c)
		return c
	}
	withRecord := func(key string, value []byte) wire.Delta {
		r := base.apply(changes{key: value})
		return base.diff(r).fillDelta(wire.Delta{Feed: wire.FeedConfig, From: 4, To: 5, Hash: r.hash()})
	}
	for _, tc := range []struct {
		name string
		d    wire.Delta
		want Outcome
		rev  fleet.Revision
	}{
		{"next", d, Adopted, 5},
		{"wrong hash", altered(func(d *wire.Delta) { d.Hash++ }), Deferred, 4},
		{"record lost", altered(func(d *wire.Delta) { d.Upserts = d.Upserts[1:] }), Deferred, 4},
		{"snapshot with wrong hash", altered(func(d *wire.Delta) { d.From = 0 }), Rejected, 4},
		{"undecodable record", withRecord("plan/x", []byte{0xff}), Rejected, 4},
		{"record under another key", withRecord("plan/x", base["plan/basic"]), Rejected, 4},
		{"unknown kind", withRecord("x/y", []byte{}), Rejected, 4},
		{"key of no workspace", withRecord("key/nobody/00", []byte{}), Rejected, 4},
		{"from a later revision", altered(func(d *wire.Delta) { d.From = 5; d.To = 6 }), Deferred, 4},
		{"lower revision", altered(func(d *wire.Delta) { d.From, d.To = 2, 3 }), Stale, 4},
		{"backwards", altered(func(d *wire.Delta) { d.From, d.To = 9, 3 }), Rejected, 4},
		{"unknown feed", altered(func(d *wire.Delta) { d.Feed = 9 }), Rejected, 4},
		{"digest of the current revision", wire.Delta{Feed: wire.FeedConfig, From: 4, To: 4, Hash: base.hash()}, Unchanged, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New("a", "dc0", Options{})
			var out wire.Outbox
			s.OfferConfig(t0, testConfig(4, 0), &out)
			view := s.View()
			res := s.OnPush(t0, "b", wire.FeedPush{Delta: tc.d}, &out)
			rev, _, _ := s.Revisions()
			if res.Outcome != tc.want || rev != tc.rev || (res.Outcome == Rejected) != (res.Err != nil) {
				t.Errorf("%+v at %d, want %d at %d", res, rev, tc.want, tc.rev)
			}
			if changed := s.View() != view; changed != (tc.want == Adopted) {
				t.Errorf("view changed: %v", changed)
			}
		})
	}
}

func TestPublishedRevisions(t *testing.T) {
	high, low := testConfig(4, 0), testConfig(4, 1)
	if encodeConfig(high).hash() < encodeConfig(low).hash() {
		high, low = low, high
	}
	for _, tc := range []struct {
		name     string
		first, c *fleet.Configuration
		want     Outcome
		replaced bool
	}{
		{"higher", low, testConfig(5, 0), Adopted, false},
		{"lower", low, testConfig(3, 0), Stale, false},
		{"zero", low, testConfig(0, 0), Stale, false},
		{"same", low, low, Unchanged, false},
		{"other content, lower hash", high, low, Conflict, false},
		{"other content, higher hash", low, high, Conflict, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New("a", "dc0", Options{})
			var out wire.Outbox
			s.OfferConfig(t0, tc.first, &out)
			view := s.View()
			res := s.OfferConfig(t0, tc.c, &out)
			if res.Outcome != tc.want || res.Replaced != tc.replaced {
				t.Errorf("%+v", res)
			}
			if changed := s.View() != view; changed != (tc.want == Adopted || tc.replaced) {
				t.Errorf("view changed: %v", changed)
			}
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s := New("a", "dc0", Options{MaxHistoryBytes: 300, MaxHistoryEntries: 8})
	var out wire.Outbox
	for rev := fleet.Revision(1); rev <= 50; rev++ {
		s.OfferConfig(t0, testConfig(rev, 0), &out)
		h := &s.feeds[0].history
		if len(h.entries) > 8 || h.bytes > 300 {
			t.Fatalf("%d entries of %d bytes", len(h.entries), h.bytes)
		}
	}
	if d := s.feeds[0].deltaSince(49); d.From != 49 {
		t.Errorf("no delta from the previous revision: from %d", d.From)
	}
	if d := s.feeds[0].deltaSince(2); d.From != 0 {
		t.Errorf("delta from %d, which is beyond the history", d.From)
	}
}

// TestReplyLimit checks that the bytes of large replies are limited, and that a peer whose pull
// exceeds the limit gets the digest.
func TestReplyLimit(t *testing.T) {
	s := New("a", "dc0", Options{})
	var out wire.Outbox
	s.OfferConfig(t0, largeConfig(3), &out)
	out.Reset()
	bytes := 0
	for range 40 {
		s.OnPull(t0, "b", wire.FeedPull{Feed: wire.FeedConfig}, &out)
	}
	for _, o := range out.Messages {
		d := o.Message.(wire.FeedPush).Delta
		bytes += deltaSize(&d)
		if d.To != 3 {
			t.Fatalf("reply at revision %d", d.To)
		}
	}
	if len(out.Messages) != 40 || bytes > s.opts.ReplyBurstBytes+s.feeds[0].size {
		t.Errorf("%d replies of %d bytes", len(out.Messages), bytes)
	}
}
