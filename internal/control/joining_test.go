package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
)

// TestJoining: gateways that start together find one another; one that starts later
// takes callers only when it knows the configuration and its peers.
func TestJoining(t *testing.T) {
	w := coulee(t)
	for _, n := range w.Nodes {
		if got := len(n.State.Members()); got != len(w.Nodes) {
			t.Errorf("%s knows %d of %d", n.ID, got, len(w.Nodes))
		}
	}
	late := w.AddNode("c", 3)
	if late.State.Ready(w.Now()) {
		t.Error("ready at once")
	}
	w.Run(time.Second)
	if !late.State.Ready(w.Now()) {
		t.Error("not ready after a second")
	}
	if got := len(late.State.Members()); got != len(w.Nodes) {
		t.Errorf("the late one knows %d of %d", got, len(w.Nodes))
	}
}

// TestJoiningWithoutSeeds: a gateway whose seeds do not answer takes callers only after it
// has waited for them, and then as part of a large fleet.
func TestJoiningWithoutSeeds(t *testing.T) {
	w := coulee(t)
	w.Partitioned = func(a, b string) bool {
		return (a == "c-3" || b == "c-3") && a != controltest.StoreName && b != controltest.StoreName
	}
	late := w.AddNode("c", 3)
	w.Run(time.Second)
	if late.State.Ready(w.Now()) {
		t.Error("ready without a word from its seeds")
	}
	w.Run(time.Second)
	if !late.State.Ready(w.Now()) {
		t.Error("not ready after two seconds")
	}
}
