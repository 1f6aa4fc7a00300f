package mesh

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Change is what has become of a peer.
type Change int

// The changes of peers.
const (
	Suspected Change = iota + 1 // it was heard before and is silent
	Recovered                   // it is heard again
	Leaving                     // it has begun a planned stop
)

// Transition is a change of one peer.
type Transition struct {
	Peer      fleet.InstanceID
	Change    Change
	SilentFor time.Duration // since its last message
	Stopping  bool          // it had begun a planned stop
}

// Transitions returns what has changed since the last call.
func (s *State) Transitions(now boottime.Instant) []Transition {
	var out []Transition
	for _, p := range s.order {
		if c := s.change(now, p); c != 0 {
			out = append(out, Transition{Peer: p.ID, Change: c, SilentFor: now.Sub(p.heard), Stopping: p.status.Stopping})
		}
	}
	return out
}

func (s *State) change(now boottime.Instant, p *peer) Change {
	live := s.live(now, p)
	switch {
	case p.heard == 0:
		return 0
	case !live && !p.lost:
		p.lost = true
		return Suspected
	case live && p.lost:
		p.lost, p.leaving = false, false
		return Recovered
	case live && p.status.Stopping && !p.leaving:
		p.leaving = true
		return Leaving
	case live && !p.status.Stopping:
		p.leaving = false
	}
	return 0
}
