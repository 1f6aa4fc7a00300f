package membership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Detail is the failure detector's state of one other instance.
type Detail struct {
	Incarnation fleet.Incarnation // highest received, 0 if none
	SilentSince time.Time         // start of the current silence: last message, listing, pause of this process or end of a suspicion
	Suspected   bool
	Leaving     bool
	Failures    int // heartbeats sent and requests timed out since SilentSince
}

// Detail returns the state of an instance, or false for this instance and unknown ones.
func (s *State) Detail(id fleet.InstanceID) (Detail, bool) {
	p := s.peers[id]
	if p == nil {
		return Detail{}, false
	}
	return Detail{
		Incarnation: p.incarnation,
		SilentSince: p.silentSince,
		Suspected:   p.suspected,
		Leaving:     p.listedLeaving || p.announcedLeaving,
		Failures:    p.failures,
	}, true
}
