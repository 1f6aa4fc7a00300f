package mesh

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Change is a kind of state change of a peer.
type Change int

// Changes of a peer.
const (
	Suspected Change = iota + 1 // no message has arrived for the failure detector's timeout
	Recovered                   // a message has arrived after that
	Stopping                    // it has begun a planned stop
)

// Transition is a state change of one peer.
type Transition struct {
	Peer      fleet.InstanceID
	Change    Change
	SilentFor time.Duration // time since its last message
	Stopping  bool          // it had begun a planned stop before
}

// Transitions returns the state changes of all peers since the last call.
func (s *State) Transitions(now boottime.Instant) []Transition {
	var out []Transition
	for _, p := range s.sortedPeers {
		if c := s.transition(now, p); c != 0 {
			out = append(out, Transition{Peer: p.ID, Change: c, SilentFor: now.Sub(p.lastReceived), Stopping: p.status.Stopping})
		}
	}
	return out
}

func (s *State) transition(now boottime.Instant, p *peer) Change {
	live := s.live(now, p)
	switch {
	case p.lastReceived == 0:
		return 0
	case !live && !p.reportedSuspected:
		p.reportedSuspected = true
		return Suspected
	case live && p.reportedSuspected:
		p.reportedSuspected, p.reportedLeaving = false, false
		return Recovered
	case live && p.status.Stopping && !p.reportedLeaving:
		p.reportedLeaving = true
		return Stopping
	case live && !p.status.Stopping:
		p.reportedLeaving = false
	}
	return 0
}
