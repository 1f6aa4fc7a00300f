package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
)

// TestJoining: gateways that start together discover each other. A gateway that starts later is not
// ready immediately; within a second it is, and has all members.
func TestJoining(t *testing.T) {
	w := smallFleet(t)
	for _, n := range w.Nodes {
		if got := len(n.State.Members()); got != len(w.Nodes) {
			t.Errorf("%s has %d of %d members", n.ID, got, len(w.Nodes))
		}
	}
	late := w.AddNode("c", 3)
	if late.State.Ready(w.Now()) {
		t.Error("ready immediately after its start")
	}
	w.Run(time.Second)
	if !late.State.Ready(w.Now()) {
		t.Error("not ready after a second")
	}
	if got := len(late.State.Members()); got != len(w.Nodes) {
		t.Errorf("the later gateway has %d of %d members", got, len(w.Nodes))
	}
}

// TestJoiningWithoutSeeds: a gateway whose seeds do not reply becomes ready only after the join timeout.
func TestJoiningWithoutSeeds(t *testing.T) {
	w := smallFleet(t)
	w.Partitioned = func(a, b string) bool {
		return (a == "c-3" || b == "c-3") && a != controltest.StoreName && b != controltest.StoreName
	}
	late := w.AddNode("c", 3)
	w.Run(time.Second)
	if late.State.Ready(w.Now()) {
		t.Error("ready before the join timeout without a reply from its seeds")
	}
	w.Run(time.Second)
	if !late.State.Ready(w.Now()) {
		t.Error("not ready after two seconds")
	}
}
