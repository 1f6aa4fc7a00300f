package membership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Detail is the failure detector's state of one other instance.
type Detail struct {
	Incarnation fleet.Incarnation // highest received, 0 for none
	SilentSince time.Time         // time of the last message, or when the instance was listed
	Suspected   bool
	Leaving     bool
	Failures    int // heartbeats and requests without an answer since LastReceived
}

// Detail returns the state of an instance, or false for this process and unknown instances.
func (s *State) Detail(id fleet.InstanceID) (Detail, bool) {
	p := s.peers[id]
	if p == nil {
		return Detail{}, false
	}
	return Detail{
		Incarnation: p.incarnation,
		SilentSince: p.lastReceived,
		Suspected:   p.suspected,
		Leaving:     p.listedLeaving || p.announcedLeaving,
		Failures:    p.failures,
	}, true
}
