package published_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// contents lists what a mirror holds, for comparison.
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

// TestMirrorsAgree lets mirrors read the store and one another in any order. None may go
// back, and mirrors at one revision must hold the same.
func TestMirrorsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := publishedtest.NewStore()
		mirrors := make([]*published.Mirror, 3)
		for i := range mirrors {
			mirrors[i] = published.NewMirror(publishedtest.Protocol{})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")
			m, before := mirrors[i], mirrors[i].Revision()
			switch rapid.SampledFrom([]string{"write", "changes", "list", "peer", "settle"}).Draw(t, "step") {
			case "write":
				store.Write(drawItem(t))
			case "changes":
				m.Apply(store.Update(false, m.CoveredRevision()))
			case "list":
				m.Apply(store.Update(true, 0))
			case "peer":
				from := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "from")]
				if from.Revision() > m.CoveredRevision() {
					m.Apply(from.Since(m.CoveredRevision()))
				}
			case "settle":
				by := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "by")]
				if by.CoveredRevision() >= m.CoveredRevision() && by.Revision() < before {
					m.SettleRevision(by.Revision())
					before = m.Revision()
				}
			}
			if m.Revision() < before {
				t.Fatalf("revision %d after %d", m.Revision(), before)
			}
		}
		for i, a := range mirrors {
			for _, b := range mirrors[:i] {
				if a.Revision() == b.Revision() && contents(a) != contents(b) {
					t.Fatalf("two mirrors at revision %d hold\n%s\n%s", a.Revision(), contents(a), contents(b))
				}
			}
		}
	})
}

func drawItem(t *rapid.T) published.Item {
	id := rapid.IntRange(0, 2).Draw(t, "endpoint")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return publishedtest.EndpointGone(endpoint(id).ID)
	case 1:
		return publishedtest.Config(&routing.Config{Version: rapid.Int64Range(1, 5).Draw(t, "version")})
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

// TestSkippedDeletionIsTold: an endpoint that leaves and comes back with the same entry
// between two lists of a mirror is told to a mirror that saw it leave.
func TestSkippedDeletionIsSent(t *testing.T) {
	store := publishedtest.NewStore()
	skips, sees := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(0), 1))
	skips.Apply(store.Update(true, 0))
	store.Write(publishedtest.EndpointGone(endpoint(0).ID))
	store.Write(publishedtest.Config(&routing.Config{Version: 1}))
	sees.Apply(store.Update(false, 0))
	store.Write(publishedtest.Endpoint(endpoint(0), 2))
	skips.Apply(store.Update(true, 0))
	sees.Apply(skips.Since(sees.CoveredRevision()))
	if contents(sees) != contents(skips) || sees.Revision() != skips.Revision() {
		t.Errorf("revision %d holds\n%s\nrevision %d holds\n%s", skips.Revision(), contents(skips), sees.Revision(), contents(sees))
	}
}

// TestDeletionBeforeList: a mirror that listed the store after an endpoint had gone tells
// a mirror that still holds it.
func TestDeletionBeforeList(t *testing.T) {
	store := publishedtest.NewStore()
	old, young := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(0), 1))
	old.Apply(store.Update(true, 0))
	store.Write(publishedtest.EndpointGone(endpoint(0).ID), publishedtest.Endpoint(endpoint(1), 1))
	young.Apply(store.Update(true, 0))
	old.Apply(young.Since(old.CoveredRevision()))
	if contents(old) != contents(young) {
		t.Errorf("one holds\n%s\nthe other\n%s", contents(old), contents(young))
	}
}

// TestOlderWriteChangesNothing: a page may hold a later write of a key than the changes
// that follow it.
func TestOlderWriteChangesNothing(t *testing.T) {
	m := published.NewMirror(publishedtest.Protocol{})
	e := endpoint(0)
	before := publishedtest.Endpoint(e, 1)
	e.Leaving = true
	after := publishedtest.Endpoint(e, 2)
	before.Revision, after.Revision = 4, 5
	m.Apply(published.Update{Revision: 6, Snapshot: true, Coalesced: true, Items: []published.Item{after, before}})
	if got := contents(m); !strings.Contains(got, "Leaving:true") {
		t.Errorf("holds %s", got)
	}
}

// TestSettle: what a mirror listed need not be told to others once a mirror that covers
// as much shows that it means nothing new.
func TestSettle(t *testing.T) {
	store := publishedtest.NewStore()
	old, young := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	store.Write(publishedtest.Endpoint(endpoint(0), 1), publishedtest.Endpoint(endpoint(1), 1))
	old.Apply(store.Update(true, 0))
	store.Write(publishedtest.Endpoint(endpoint(0), 2))
	young.Apply(store.Update(true, 0))
	old.Apply(store.Update(false, old.CoveredRevision()))
	young.SettleRevision(old.Revision())
	if young.Revision() != old.Revision() {
		t.Errorf("revision %d, not %d", young.Revision(), old.Revision())
	}
	if u := young.Since(old.Revision()); u.Snapshot || len(u.Items) != 0 {
		t.Errorf("tells %+v", u)
	}
	store.Write(publishedtest.EndpointGone(endpoint(0).ID))
	young.Apply(store.Update(false, young.CoveredRevision()))
	old.Apply(young.Since(old.CoveredRevision()))
	if contents(old) != contents(young) {
		t.Errorf("one holds\n%s\nthe other\n%s", contents(old), contents(young))
	}
}

// TestHeartbeatsMeanNothing: peers need not be told of an entry that says the same again.
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

// TestUnreadableItems: a torn entry names no endpoint, an unreadable configuration
// leaves the one before in force, and neither harms the rest of its update.
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

// TestLongAgoIsTold: after many deletions a peer that is far behind gets everything.
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
		t.Error("changes only")
	}
	behind.Apply(u)
	if contents(behind) != contents(m) {
		t.Error("the peer differs")
	}
}
