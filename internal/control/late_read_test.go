package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// change is a write to the store and the sign that a gateway has it in force.
type change struct {
	name        string
	write       func(w *controltest.World)
	inForce     func(w *controltest.World, s *control.State) bool
	withoutKeys bool // it takes all API keys away, and a gateway that has started needs none
}

// changesOfEachKind returns a change of each kind of content that callers notice.
func changesOfEachKind() []change {
	moved := config(2, "key")
	moved.Routes[2].Targets = []routing.Target{{Service: llm, Weight: 1}}
	return []change{
		{"a configuration that moves a route", func(w *controltest.World) { w.Write(publishedtest.Config(moved)) }, hasVersion(2), false},
		{"a configuration that adds a key", func(w *controltest.World) { w.Write(publishedtest.Config(config(2, "key", "added"))) }, hasVersion(2), false},
		{"a configuration without keys", func(w *controltest.World) { w.Write(publishedtest.Config(config(2))) }, hasVersion(2), true},
		{"an evacuation", func(w *controltest.World) { w.Write(publishedtest.Evacuation("b")) }, func(w *controltest.World, s *control.State) bool {
			return slices.Contains(s.Dump(w.Now()).Evacuated, "b")
		}, false},
		{"the removal of an endpoint", func(w *controltest.World) { w.Remove("engine-4") }, func(w *controltest.World, s *control.State) bool {
			return !slices.ContainsFunc(s.Dump(w.Now()).Endpoints, func(e control.EndpointDump) bool { return e.ID == "engine-4" && e.Usable })
		}, false},
	}
}

func hasVersion(v int64) func(w *controltest.World, s *control.State) bool {
	return func(w *controltest.World, s *control.State) bool { return s.Dump(w.Now()).Store.ConfigVersion == v }
}

// TestLateFirstReadKeepsLaterContent guards against a starting gateway that goes back to older content: the answer to its first
// read of the store is late, and replaces what peers have sent meanwhile and was published after the read was sent.
func TestLateFirstReadKeepsLaterContent(t *testing.T) {
	for _, c := range changesOfEachKind() {
		for _, held := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			for _, after := range []time.Duration{3 * time.Millisecond, 60 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %v after the read, which is held up for %v", c.name, after, held), func(t *testing.T) { playLateFirstRead(t, c, held, after) })
			}
		}
	}
}

// playLateFirstRead restarts a gateway whose first read is held up, and makes a change after that was sent. The seeds, once they have
// replied, are cut off from the gateway, so that none of them proves its content.
func playLateFirstRead(t *testing.T, c change, held, after time.Duration) {
	w := smallFleet(t)
	n := w.Nodes[4]
	n.Reads = 0
	w.StoreDelay = func(reader *controltest.Node) time.Duration {
		if reader != n || n.Reads != 1 {
			return 0
		}
		w.After(after, func() { c.write(w) })
		return held
	}
	n.RestartAfter(0)
	w.Run(10 * time.Millisecond)
	w.Partitioned = func(a, b string) bool { return a == string(n.ID) && b[0] == 'a' }
	seen := false
	for range 400 {
		w.Run(5 * time.Millisecond)
		now := n.State.Revision() != 0 && c.inForce(w, n.State)
		if seen && !now {
			t.Fatalf("back to the content before, %v after the start of the simulation", w.Elapsed())
		}
		seen = seen || now
	}
	if !seen {
		t.Error("not in force after two seconds")
	}
	if n.State.Fingerprints(w.Now()) == nil && !c.withoutKeys {
		t.Error("the content is unproven after two seconds")
	}
}
