package control_test

import (
	"encoding/json"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestDump shows the whole state as JSON.
func TestDump(t *testing.T) {
	w := coulee(t)
	w.Write(publishedtest.Evacuation("b"))
	w.Nodes[0].Send(book, ignore)
	w.Run(settle)
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
