package membership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Detail is what a process knows about one other instance.
type Detail struct {
	Incarnation  fleet.Incarnation // highest heard, 0 for none
	LastReceived time.Time         // or when it was listed
	Suspected    bool
	Leaving      bool
	Failures     int // heartbeats and requests without an answer since LastHeard
}

// Detail returns what is known about an instance, false for this process and strangers.
func (s *State) Detail(id fleet.InstanceID) (Detail, bool) {
	p := s.peers[id]
	if p == nil {
		return Detail{}, false
	}
	return Detail{
		Incarnation:  p.incarnation,
		LastReceived: p.lastHeard,
		Suspected:    p.suspected,
		Leaving:      p.listLeaving || p.saidLeaving,
		Failures:     p.failures,
	}, true
}
