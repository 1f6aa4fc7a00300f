package control_test

import (
	"encoding/json"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestDump checks the dump of a fleet with one evacuated data centre, and that it can be
// encoded as JSON.
func TestDump(t *testing.T) {
	w := smallFleet(t)
	w.Write(publishedtest.Evacuation("b"))
	w.Nodes[0].Send(bookRequest, ignore)
	w.Run(convergenceTime)
	d := w.Nodes[0].State.Dump(w.Now())
	if !d.Ready || d.LivePeers != 8 || len(d.Members) != 9 || len(d.Endpoints) != 13 || len(d.Evacuated) != 1 || d.Store.ConfigVersion != 1 || len(d.Services) != 1 {
		t.Errorf("%+v", d)
	}
	for _, e := range d.Endpoints {
		if e.Usable == (e.DataCentre == "b") {
			t.Errorf("%+v", e)
		}
	}
	if _, err := json.Marshal(d); err != nil {
		t.Error(err)
	}
}
