package published_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestLateChangesDoNotBringBackDeletedKeys guards against a removed endpoint that is used again: the answer to a read of changes is
// late, and a snapshot of a peer without the endpoint has been applied before.
func TestLateChangesDoNotBringBackDeletedKeys(t *testing.T) {
	store := publishedtest.NewStore()
	store.Write(publishedtest.Endpoint(endpoint(0), 1))
	m, peer := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	m.Apply(store.Update(true, 0))
	store.Write(publishedtest.Endpoint(endpoint(1), 1))
	late := store.Update(false, m.CoveredRevision())
	store.Write(publishedtest.EndpointGone(endpoint(1).ID))
	peer.Apply(store.Update(true, 0))
	m.Apply(peer.Since(m.CoveredRevision()))
	if changes := m.Apply(late); len(changes) > 0 {
		t.Errorf("the late answer changes %+v", changes)
	}
	if contents(m) != contents(peer) {
		t.Errorf("content %s, want %s", contents(m), contents(peer))
	}
}

// flight is an update on its way to a mirror.
type flight struct {
	to     *published.Mirror
	update published.Update
}

// TestUpdatesInAnyOrder lets reads of the store and updates of other mirrors arrive in any order, each with the content of the moment
// at which it was sent. No revision may go back, and mirrors at the same revision have the same content.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := publishedtest.NewStore()
		configVersion := int64(1)
		mirrors := newMirrors(3)
		var flights []flight
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")]
			switch rapid.SampledFrom([]string{"write", "changes", "list", "peer", "arrival", "arrival"}).Draw(t, "step") {
			case "write":
				store.Write(drawItem(t, &configVersion))
			case "changes":
				flights = append(flights, flight{m, store.Update(false, m.CoveredRevision())})
			case "list":
				flights = append(flights, flight{m, store.Update(true, 0)})
			case "peer":
				peer := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "from")]
				flights = append(flights, flight{m, peer.Since(m.CoveredRevision())})
			case "arrival":
				if len(flights) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				arrive(t, flights[i])
				flights = append(flights[:i], flights[i+1:]...)
			}
		}
		checkAgreement(t, mirrors)
	})
}

func arrive(t *rapid.T, f flight) {
	before := f.to.Revision()
	f.to.Apply(f.update)
	if f.to.Revision() < before {
		t.Fatalf("revision %d after %d", f.to.Revision(), before)
	}
}

// checkAgreement fails the test if mirrors at the same revision have different contents.
func checkAgreement(t *rapid.T, mirrors []*published.Mirror) {
	for i, a := range mirrors {
		for _, b := range mirrors[:i] {
			if a.Revision() == b.Revision() && contents(a) != contents(b) {
				t.Fatalf("contents of two mirrors at revision %d differ:\n%s\n%s", a.Revision(), contents(a), contents(b))
			}
		}
	}
}
