package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// TestWatch: each change of a peer is told once.
func TestWatch(t *testing.T) {
	s := New(start, Member{ID: "self"}, 1)
	s.AddMembers(start, []Member{{ID: "p", Addr: "x"}, {ID: "unheard", Addr: "y"}})
	var got []string
	watch := func(after time.Duration) {
		for range 2 {
			for _, w := range s.Transitions(start.Add(after)) {
				got = append(got, fmt.Sprintf("%v:%s %d silent %v stopping %t", after, w.Peer, w.Change, w.SilentFor, w.Stopping))
			}
		}
	}
	hear := func(after time.Duration, stamp uint64, stopping bool) {
		s.Receive(start.Add(after), "p", 1, wire.Status{Timestamp: stamp, Stopping: stopping})
	}
	hear(0, 1, false)
	watch(time.Second)
	watch(8 * time.Second)
	hear(9*time.Second, 2, false)
	watch(9 * time.Second)
	hear(10*time.Second, 3, true)
	watch(10 * time.Second)
	watch(20 * time.Second)
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
