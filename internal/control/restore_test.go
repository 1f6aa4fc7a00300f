package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestOlderCopyOfTheStore restores the store from a copy that lacks an evacuation and the entry of an engine, and still
// has the entry of an engine that has left.
func TestOlderCopyOfTheStore(t *testing.T) {
	w := smallFleet(t)
	copied := w.Store.Copy()
	gone, added := w.Endpoints["engine-9"], engine(20, "a")
	leaving := *gone
	leaving.Leaving = true
	w.Write(publishedtest.Endpoint(leaving.Endpoint, 1), publishedtest.Evacuation("b"), publishedtest.Config(config(7, "key")))
	w.Publish(added)
	w.Run(time.Second)
	w.Remove(gone.ID)
	w.Run(2 * time.Second)

	restored := w.Now()
	w.Store.Restore(copied)
	sendLoad(w, 80, restored.Add(12*time.Second), chatRequests(w, 40, 0), ignore)
	w.After(1500*time.Millisecond, func() {
		w.Write(publishedtest.Evacuation("b"), publishedtest.Config(config(7, "key")))
		w.Publish(added)
	})
	w.After(3600*time.Millisecond, func() { w.Remove(gone.ID) })
	w.Run(6 * time.Second)
	w.Write(publishedtest.Config(config(8, "key", "later")))
	w.Run(6 * time.Second)

	for _, e := range w.Endpoints {
		n := arrivalsSince(e, restored)
		if (e == gone || e.DataCentre == "b") && n > 0 {
			t.Errorf("%d requests reached %s of data centre %s after the store's return", n, e.ID, e.DataCentre)
		}
		if e == added && n == 0 {
			t.Errorf("no request reached %s, whose entry the copy lacks", e.ID)
		}
	}
	for _, n := range w.Nodes {
		if v := n.State.Dump(w.Now()).Store.ConfigVersion; v != 8 {
			t.Errorf("%s uses configuration %d, want 8", n.ID, v)
		}
	}
}

func arrivalsSince(e *controltest.Endpoint, from boottime.Instant) int {
	n := 0
	for _, at := range e.Arrivals {
		if at > from {
			n++
		}
	}
	return n
}
