package published_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
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
		known := make([]fleet.Revision, len(mirrors))
		for i := range mirrors {
			mirrors[i] = published.NewMirror(publishedtest.Protocol{})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")
			m, before := mirrors[i], mirrors[i].Revision()
			switch rapid.SampledFrom([]string{"write", "changes", "list", "peer"}).Draw(t, "step") {
			case "write":
				store.Write(drawItem(t))
			case "changes":
				u := store.Update(false, max(known[i], before))
				known[i] = u.Revision
				m.Apply(u)
			case "list":
				u := store.Update(true, 0)
				known[i] = u.Revision
				m.Apply(u)
			case "peer":
				from := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "from")]
				if from.Revision() > before {
					m.Apply(from.Since(before))
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
		return publishedtest.Out("a")
	case 3:
		return publishedtest.Back("a")
	default:
		e := endpoint(id)
		e.Leaving = rapid.Bool().Draw(t, "leaving")
		return publishedtest.Endpoint(e, rapid.IntRange(0, 9).Draw(t, "heartbeat"))
	}
}

// TestHeartbeatsMeanNothing: peers need not be told of an entry that says the same again.
func TestHeartbeatsMeanNothing(t *testing.T) {
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
		got = append(got, fmt.Sprintf("%s %T fault=%t", c.Key, c.Record, c.Fault != nil))
	}
	want := "[endpoint/e1 published.EndpointGone fault=true config <nil> fault=true endpoint/e2 published.EndpointGone fault=false]"
	if fmt.Sprint(got) != want {
		t.Errorf("got  %v\nwant %s", got, want)
	}
}

// TestLongAgoIsTold: after many deletions a peer that is far behind gets everything.
func TestLongAgoIsTold(t *testing.T) {
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
	if !u.Whole {
		t.Error("changes only")
	}
	behind.Apply(u)
	if contents(behind) != contents(m) {
		t.Error("the peer differs")
	}
}
