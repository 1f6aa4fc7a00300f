package published_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// contents describes the items of a mirror, for comparison.
func contents(m *published.Mirror) string {
	out := ""
	for _, it := range m.Since(0).Items {
		r, err := publishedtest.Protocol{}.DecodeItem(it)
		if c, ok := r.(published.Config); ok {
			r, err = nil, fmt.Errorf("config %d", c.Config.Version)
		}
		out += fmt.Sprintf("%s=%+v,%v;", it.Key, r, err)
	}
	return out
}

// newMirrors returns n empty mirrors.
func newMirrors(n int) []*published.Mirror {
	out := make([]*published.Mirror, n)
	for i := range out {
		out[i] = published.NewMirror(publishedtest.Protocol{})
	}
	return out
}

// TestMirrorsAgree lets mirrors read the store and one another in random order. The revision of a
// mirror must not decrease except by LowerRevision, and mirrors at the same revision must have the
// same content.
func TestMirrorsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := publishedtest.NewStore()
		configVersion := int64(1)
		mirrors := newMirrors(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")
			m, before := mirrors[i], mirrors[i].Revision()
			switch rapid.SampledFrom([]string{"write", "changes", "list", "peer", "lower revision"}).Draw(t, "step") {
			case "write":
				store.Write(drawItem(t, &configVersion))
			case "changes":
				m.Apply(store.Update(false, m.CoveredRevision()))
			case "list":
				m.Apply(store.Update(true, 0))
			case "peer":
				peer := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "from")]
				if peer.Revision() > m.CoveredRevision() {
					m.Apply(peer.Since(m.CoveredRevision()))
				}
			case "lower revision":
				peer := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "by")]
				if peer.CoveredRevision() >= m.CoveredRevision() && peer.Revision() < before {
					m.LowerRevision(peer.Revision())
					before = m.Revision()
				}
			}
			if m.Revision() < before {
				t.Fatalf("revision %d after %d", m.Revision(), before)
			}
		}
		checkAgreement(t, mirrors)
	})
}

// drawItem draws the next write. The version of configurations never decreases, as the operator's does not.
func drawItem(t *rapid.T, configVersion *int64) published.Item {
	id := rapid.IntRange(0, 2).Draw(t, "endpoint")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return publishedtest.EndpointGone(endpoint(id).ID)
	case 1:
		*configVersion += rapid.Int64Range(0, 4).Draw(t, "version")
		return publishedtest.Config(&routing.Config{Version: *configVersion})
	case 2:
		return publishedtest.Evacuation("a")
	case 3:
		return publishedtest.EvacuationEnd("a")
	default:
		e := endpoint(id)
		e.Leaving = rapid.Bool().Draw(t, "leaving")
		return publishedtest.Endpoint(e, rapid.IntRange(0, 9).Draw(t, "heartbeat"))
	}
}

// TestSkippedDeletionIsSent deletes an endpoint and writes the same registration again between two
// lists of one mirror. A second mirror that applied the deletion must get the endpoint back from
// the first, although the first did not see a change.
func TestSkippedDeletionIsSent(t *testing.T) {
	store := publishedtest.NewStore()
	lister, follower := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(0), 1))
	lister.Apply(store.Update(true, 0))
	store.Write(publishedtest.EndpointGone(endpoint(0).ID))
	store.Write(publishedtest.Config(&routing.Config{Version: 1}))
	follower.Apply(store.Update(false, 0))
	store.Write(publishedtest.Endpoint(endpoint(0), 2))
	lister.Apply(store.Update(true, 0))
	follower.Apply(lister.Since(follower.CoveredRevision()))
	if contents(follower) != contents(lister) || follower.Revision() != lister.Revision() {
		t.Errorf("content at revision %d:\n%s\ncontent at revision %d:\n%s", lister.Revision(), contents(lister), follower.Revision(), contents(follower))
	}
}

// TestDeletionBeforeList checks that a mirror that listed the store after a deletion passes the
// deletion on to a mirror that still holds the endpoint.
func TestDeletionBeforeList(t *testing.T) {
	store := publishedtest.NewStore()
	stale, fresh := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(0), 1))
	stale.Apply(store.Update(true, 0))
	store.Write(publishedtest.EndpointGone(endpoint(0).ID), publishedtest.Endpoint(endpoint(1), 1))
	fresh.Apply(store.Update(true, 0))
	stale.Apply(fresh.Since(stale.CoveredRevision()))
	if contents(stale) != contents(fresh) {
		t.Errorf("contents differ:\n%s\n%s", contents(stale), contents(fresh))
	}
}

// TestOlderWriteChangesNothing checks that an older write does not override a newer one. A page of
// a list may contain a later write of a key than the changes that follow it.
func TestOlderWriteChangesNothing(t *testing.T) {
	m := published.NewMirror(publishedtest.Protocol{})
	e := endpoint(0)
	before := publishedtest.Endpoint(e, 1)
	e.Leaving = true
	after := publishedtest.Endpoint(e, 2)
	before.Revision, after.Revision = 4, 5
	m.Apply(published.Update{Revision: 6, Snapshot: true, Coalesced: true, Items: []published.Item{after, before}})
	if got := contents(m); !strings.Contains(got, "Leaving:true") {
		t.Errorf("content %s", got)
	}
}

// TestSettle checks that a mirror that has listed the store does not send its items to a peer after
// LowerRevision, because the peer's revision shows that nothing significant was written since. A
// later deletion must still be sent.
func TestSettle(t *testing.T) {
	store := publishedtest.NewStore()
	stale, fresh := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(0), 1), publishedtest.Endpoint(endpoint(1), 1))
	stale.Apply(store.Update(true, 0))
	store.Write(publishedtest.Endpoint(endpoint(0), 2))
	fresh.Apply(store.Update(true, 0))
	stale.Apply(store.Update(false, stale.CoveredRevision()))
	fresh.LowerRevision(stale.Revision())
	if fresh.Revision() != stale.Revision() {
		t.Errorf("revision %d, not %d", fresh.Revision(), stale.Revision())
	}
	if u := fresh.Since(stale.Revision()); u.Snapshot || len(u.Items) != 0 {
		t.Errorf("sends %+v", u)
	}
	store.Write(publishedtest.EndpointGone(endpoint(0).ID))
	fresh.Apply(store.Update(false, fresh.CoveredRevision()))
	stale.Apply(fresh.Since(stale.CoveredRevision()))
	if contents(stale) != contents(fresh) {
		t.Errorf("contents differ:\n%s\n%s", contents(stale), contents(fresh))
	}
}

// TestHeartbeatsChangeNothing checks that writes that do not change the record of a key do not raise
// the revision.
func TestHeartbeatsChangeNothing(t *testing.T) {
	store := publishedtest.NewStore()
	m := published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(1), 1))
	m.Apply(store.Update(true, 0))
	rev := m.Revision()
	for n := range 10 {
		store.Write(publishedtest.Endpoint(endpoint(1), n+2))
	}
	if changes := m.Apply(store.Update(false, rev)); len(changes) != 0 || m.Revision() != rev {
		t.Errorf("%d changes, revision %d after %d", len(changes), m.Revision(), rev)
	}
}

// TestUnreadableItems checks that a truncated registration is reported as EndpointGone, that an unreadable
// configuration leaves the previous one valid, and that the other items of the update are applied.
func TestUnreadableItems(t *testing.T) {
	store := publishedtest.NewStore()
	m := published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Config(&routing.Config{Version: 1}), publishedtest.Endpoint(endpoint(1), 1), publishedtest.Endpoint(endpoint(2), 1))
	m.Apply(store.Update(true, 0))
	rev := m.Revision()
	torn := publishedtest.Endpoint(endpoint(1), 2)
	torn.Value = torn.Value[:4]
	bad := publishedtest.Config(&routing.Config{Version: 2})
	bad.Value = []byte("{")
	store.Write(torn, bad, publishedtest.EndpointGone("e2"))
	var got []string
	for _, c := range m.Apply(store.Update(false, rev)) {
		got = append(got, fmt.Sprintf("%s %T fault=%t", c.Key, c.Record, c.Err != nil))
	}
	want := "[endpoint/e1 published.EndpointGone fault=true config <nil> fault=true endpoint/e2 published.EndpointGone fault=false]"
	if fmt.Sprint(got) != want {
		t.Errorf("got  %v\nwant %s", got, want)
	}
}

// panickingProtocol panics for one key.
type panickingProtocol struct {
	publishedtest.Protocol
	key string
}

func (p panickingProtocol) DecodeItem(it published.Item) (published.Record, error) {
	if it.Key == p.key {
		panic("an item that cannot be decoded")
	}
	return p.Protocol.DecodeItem(it)
}

// TestItemThatPanicsTakesNoOtherWithIt: it is reported as unreadable, and all others of the update are applied.
func TestItemThatPanicsTakesNoOtherWithIt(t *testing.T) {
	store := publishedtest.NewStore()
	bad := publishedtest.Endpoint(endpoint(2), 1)
	store.Write(publishedtest.Endpoint(endpoint(1), 1), bad, publishedtest.Endpoint(endpoint(3), 1))
	m := published.NewMirror(panickingProtocol{key: bad.Key})
	var got []string
	for _, c := range m.Apply(store.Update(true, 0)) {
		got = append(got, fmt.Sprintf("%s %T fault=%t", c.Key, c.Record, c.Err != nil))
	}
	want := "[endpoint/e1 published.Endpoint fault=false endpoint/e2 <nil> fault=true endpoint/e3 published.Endpoint fault=false]"
	if fmt.Sprint(got) != want || m.CoveredRevision() == 0 {
		t.Errorf("got  %v\nwant %s", got, want)
	}
}

// TestPeerFarBehindGetsSnapshot checks that a peer gets a snapshot after the tombstones were
// dropped.
func TestPeerFarBehindGetsSnapshot(t *testing.T) {
	store := publishedtest.NewStore()
	m := published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(0), 1))
	m.Apply(store.Update(true, 0))
	behind := published.NewMirror(publishedtest.Protocol{})
	behind.Apply(m.Since(0))
	for n := 1; n < 6000; n++ {
		store.Write(publishedtest.Endpoint(endpoint(n), 1), publishedtest.EndpointGone(endpoint(n).ID))
	}
	m.Apply(store.Update(false, m.Revision()))
	u := m.Since(behind.Revision())
	if !u.Snapshot {
		t.Error("Since returned changes, not a snapshot")
	}
	behind.Apply(u)
	if contents(behind) != contents(m) {
		t.Error("the content of the peer differs")
	}
}

// TestOlderCopyDoesNotUndoChanges restores the store from an older copy. A mirror must then hold the newer configuration
// and an endpoint's leaving and later incarnation, take the changes of the new era although their revisions are used again, and pass all of
// that on to a mirror of the former era.
func TestOlderCopyDoesNotUndoChanges(t *testing.T) {
	store := publishedtest.NewStore()
	e, restarted := endpoint(1), endpoint(4)
	e.Incarnation, restarted.Incarnation = 7, 7
	store.Write(publishedtest.Config(&routing.Config{Version: 4}), publishedtest.Endpoint(e, 1), publishedtest.Endpoint(restarted, 1))
	copied := store.Copy()
	e.Leaving = true
	restarted.Incarnation, restarted.Version = 8, "v2"
	store.Write(publishedtest.Config(&routing.Config{Version: 9}), publishedtest.Endpoint(e, 2), publishedtest.Endpoint(endpoint(2), 1), publishedtest.Endpoint(restarted, 1))
	m, follower := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	m.Apply(store.Update(true, 0))
	follower.Apply(m.Since(0))
	formerEra := store.Update(false, m.CoveredRevision())

	store.Restore(copied)
	before := m.Revision()
	m.Apply(store.Update(true, 0))
	if m.Revision() <= before || published.EraOf(m.Revision()) != 1 {
		t.Errorf("revision %d after %d", m.Revision(), before)
	}
	store.Write(publishedtest.Config(&routing.Config{Version: 6}), publishedtest.Endpoint(endpoint(3), 1))
	m.Apply(store.Update(false, m.CoveredRevision()))
	m.Apply(formerEra)
	e.Leaving = true
	for name, mirror := range map[string]*published.Mirror{"mirror": m, "follower": follower} {
		if mirror == follower {
			follower.Apply(m.Since(follower.CoveredRevision()))
		}
		got := map[string]published.Record{}
		for _, it := range mirror.Since(0).Items {
			got[it.Key], _ = publishedtest.Protocol{}.DecodeItem(it)
		}
		if c, ok := got["config"].(published.Config); !ok || c.Config.Version != 9 {
			t.Errorf("%s: configuration %+v, want version 9", name, got["config"])
		}
		if r, ok := got["endpoint/e1"].(published.Endpoint); !ok || !r.Endpoint.Leaving {
			t.Errorf("%s: %+v, want it leaving", name, got["endpoint/e1"])
		}
		if r, ok := got["endpoint/e4"].(published.Endpoint); !ok || r.Endpoint.Version != "v2" {
			t.Errorf("%s: %+v, want its later incarnation", name, got["endpoint/e4"])
		}
		if got["endpoint/e2"] != nil || got["endpoint/e3"] == nil {
			t.Errorf("%s: e2 %v, e3 %v, want what the new era has", name, got["endpoint/e2"], got["endpoint/e3"])
		}
	}
}

// TestReplacedMirror: a mirror with arbitrary content, of higher revisions too, has the content of the store after
// Replace, and reports exactly the records that differ.
func TestReplacedMirror(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, version int64) *publishedtest.Store {
			store := publishedtest.NewStore()
			for range rapid.IntRange(0, 12).Draw(t, name) {
				store.Write(drawItem(t, &version))
			}
			return store
		}
		store, other := draw("writes", 1), draw("other writes", 100)
		mirror := published.NewMirror(publishedtest.Protocol{})
		u := other.Update(true, 0)
		u.Revision = published.InEra(3, u.Revision)
		for i := range u.Items {
			u.Items[i].Revision = published.InEra(3, u.Items[i].Revision)
		}
		mirror.Apply(u)
		changes := mirror.Replace(store.Update(true, 0))
		fresh := published.NewMirror(publishedtest.Protocol{})
		want := map[string]published.Record{}
		for _, c := range fresh.Apply(store.Update(true, 0)) {
			want[c.Key] = c.Record
		}
		if contents(mirror) != contents(fresh) || mirror.Revision() != fresh.Revision() {
			t.Fatalf("content %s at %d, want %s at %d", contents(mirror), mirror.Revision(), contents(fresh), fresh.Revision())
		}
		for _, c := range changes {
			if w, listed := want[c.Key]; listed && !reflect.DeepEqual(c.Record, w) {
				t.Fatalf("%s is reported as %+v, want %+v", c.Key, c.Record, w)
			}
		}
		for key, w := range want {
			before, known := recordsOf(u)[key]
			if reported := reports(changes, key); reported == (known && reflect.DeepEqual(before, w)) {
				t.Fatalf("%s, before %+v, now %+v: reported %t", key, before, w, reported)
			}
		}
		for key, before := range recordsOf(u) {
			if _, listed := want[key]; !listed && before != nil && !reports(changes, key) {
				t.Fatalf("the deletion of %s is not reported", key)
			}
		}
	})
}

// recordsOf returns the records of an update of a whole store.
func recordsOf(u published.Update) map[string]published.Record {
	records := map[string]published.Record{}
	for _, c := range published.NewMirror(publishedtest.Protocol{}).Apply(u) {
		records[c.Key] = c.Record
	}
	return records
}

func reports(changes []published.ItemChange, key string) bool {
	return slices.ContainsFunc(changes, func(c published.ItemChange) bool { return c.Key == key })
}
