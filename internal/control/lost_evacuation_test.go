package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// evacuatedAt returns the number of gateways that have a data centre out of service.
func evacuatedAt(w *controltest.World) int {
	count := 0
	for _, n := range w.Nodes {
		if len(n.State.Dump(w.Now()).Evacuated) > 0 {
			count++
		}
	}
	return count
}

// TestLostEvacuationGoesOn guards against gateways that send requests to an evacuated data centre because the store has lost the
// evacuation, before the operator has published it again.
func TestLostEvacuationGoesOn(t *testing.T) {
	w := smallFleet(t)
	copied := w.Store.Copy()
	w.Write(publishedtest.Evacuation("b"))
	w.Run(4 * time.Second)
	w.Store.Restore(copied)
	for range 10 {
		w.Run(time.Second)
		if n := evacuatedAt(w); n < len(w.Nodes) {
			t.Fatalf("%v after the start, %d of %d gateways have the data centre out of service", w.Elapsed(), n, len(w.Nodes))
		}
	}
	w.Write(publishedtest.Evacuation("b"))
	w.Run(changeBound)
	for _, n := range w.Nodes {
		if lost := n.State.Dump(w.Now()).EvacuationsLost; len(lost) > 0 {
			t.Errorf("%s still takes the evacuation for lost", n.ID)
		}
	}
	w.Write(publishedtest.EvacuationEnd("b"))
	w.Run(changeBound)
	if n := evacuatedAt(w); n > 0 {
		t.Errorf("%d gateways still have the data centre out of service", n)
	}
}

// TestLostEvacuationEndsAtLast guards against an evacuation that goes on for good, because the store has lost its end as well.
func TestLostEvacuationEndsAtLast(t *testing.T) {
	w := smallFleet(t)
	copied := w.Store.Copy()
	w.Write(publishedtest.Evacuation("b"))
	w.Run(time.Second)
	w.Store.Restore(copied)
	w.Run(time.Minute + changeBound)
	if n := evacuatedAt(w); n > 0 {
		t.Errorf("%d gateways still have the data centre out of service", n)
	}
}

// TestEvacuationEndsAfterTheStoresReturn guards against a data centre that stays out of service, because the operator ends its evacuation
// just after the store's return with an older copy that has the evacuation.
func TestEvacuationEndsAfterTheStoresReturn(t *testing.T) {
	w := smallFleet(t)
	w.Write(publishedtest.Evacuation("b"))
	w.Run(time.Second)
	copied := w.Store.Copy()
	w.Run(time.Second)
	w.Store.Restore(copied)
	w.Run(changeBound)
	w.Write(publishedtest.EvacuationEnd("b"))
	w.Run(changeBound)
	if n := evacuatedAt(w); n > 0 {
		t.Errorf("%d gateways still have the data centre out of service", n)
	}
}
