package published_test

import (
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// TestRewrittenRecordReachesMirrorsOfTheCopy guards against a gateway that keeps the records of an older copy of the store for good: what
// the store has lost is written again, and the gateway that reads the store had the records all the while.
func TestRewrittenRecordReachesMirrorsOfTheCopy(t *testing.T) {
	store := publishedtest.NewStore()
	e := endpoint(1)
	e.Incarnation = 7
	store.Write(publishedtest.Config(&routing.Config{Version: 4}), publishedtest.Endpoint(e, 1))
	copied := store.Copy()
	e.Incarnation, e.Leaving = 8, true
	lost := []published.Item{publishedtest.Config(&routing.Config{Version: 9}), publishedtest.Endpoint(e, 1), publishedtest.Evacuation("a")}
	store.Write(lost...)
	reader, started, follower := published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{}), published.NewMirror(publishedtest.Protocol{})
	reader.Apply(store.Update(true, 0))

	store.Restore(copied)
	reader.Apply(store.Update(true, 0))
	started.Apply(store.Update(true, 0))
	follower.Apply(reader.Since(0))
	for _, it := range lost {
		store.Write(it)
		before := reader.Revision()
		reader.Apply(store.Update(false, reader.CoveredRevision()))
		if reader.Revision() <= before {
			t.Errorf("%s: the revision stays %d", it.Key, before)
		}
		started.Apply(reader.Since(started.CoveredRevision()))
		follower.Apply(reader.Since(follower.CoveredRevision()))
	}
	for name, m := range map[string]*published.Mirror{"started": started, "follower": follower} {
		if contents(m) != contents(reader) {
			t.Errorf("%s has %s, want %s", name, contents(m), contents(reader))
		}
	}
}

// TestLostKeyIsNotDeleted guards against a mirror that takes a key for deleted which the store has lost by its return with an older copy,
// or for lost which was deleted after the return.
func TestLostKeyIsNotDeleted(t *testing.T) {
	store := publishedtest.NewStore()
	store.Write(publishedtest.Evacuation("a"))
	copied := store.Copy()
	store.Write(publishedtest.Evacuation("b"))
	m := published.NewMirror(publishedtest.Protocol{})
	m.Apply(store.Update(true, 0))
	store.Restore(copied)
	for _, step := range []struct {
		update published.Update
		lost   bool
	}{{store.Update(true, 0), true}, {deleted(store, "a"), false}} {
		changes := m.Apply(step.update)
		if len(changes) != 1 || changes[0].Lost != step.lost {
			t.Errorf("changes %+v, want one, lost: %v", changes, step.lost)
		}
	}
}

// deleted ends an evacuation and returns the writes of the store.
func deleted(store *publishedtest.Store, dc string) published.Update {
	store.Write(publishedtest.EvacuationEnd(fleet.DataCentreID(dc)))
	return store.Update(false, 0)
}
