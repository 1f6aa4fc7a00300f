package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// TestTransitions checks that each state change of a peer is reported exactly once.
func TestTransitions(t *testing.T) {
	s := New(start, Member{ID: "self"}, 1)
	s.AddMembers(start, []Member{{ID: "p", Addr: "x"}, {ID: "unheard", Addr: "y"}})
	var got []string
	record := func(after time.Duration) {
		for range 2 {
			for _, w := range s.Transitions(start.Add(after)) {
				got = append(got, fmt.Sprintf("%v:%s %d silent %v stopping %t", after, w.Peer, w.Change, w.SilentFor, w.Stopping))
			}
		}
	}
	receive := func(after time.Duration, stamp uint64, stopping bool) {
		s.Receive(start.Add(after), "p", 1, wire.Status{Timestamp: stamp, Stopping: stopping})
	}
	receive(0, 1, false)
	record(time.Second)
	record(8 * time.Second)
	receive(9*time.Second, 2, false)
	record(9 * time.Second)
	receive(10*time.Second, 3, true)
	record(10 * time.Second)
	record(20 * time.Second)
	want := fmt.Sprint([]string{
		"8s:p 1 silent 8s stopping false",
		"9s:p 2 silent 0s stopping false",
		"10s:p 3 silent 0s stopping true",
		"20s:p 1 silent 10s stopping true",
	})
	if fmt.Sprint(got) != want {
		t.Errorf("got  %v\nwant %s", got, want)
	}
}
