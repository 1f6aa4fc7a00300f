package membership

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// TransitionKind is the kind of a Transition.
type TransitionKind uint8

// The changes that a Transition reports.
const (
	Listed    TransitionKind = iota + 1 // new in the platform's list
	Unlisted                            // no longer in the platform's list
	Suspected                           // silent, presumed failed
	Recovered                           // suspicion ended
	Leaving                             // announced its shutdown or is listed as leaving
	Restarted                           // message with a higher incarnation received
)

// String returns the name that logs use.
func (c TransitionKind) String() string {
	switch c {
	case Listed:
		return "listed"
	case Unlisted:
		return "gone"
	case Suspected:
		return "suspected"
	case Recovered:
		return "recovered"
	case Leaving:
		return "leaving"
	case Restarted:
		return "restarted"
	default:
		return "invalid"
	}
}

// Transition is one state change of an instance.
type Transition struct {
	Peer fleet.InstanceID
	Kind TransitionKind
}

// maxTransitions is the maximum number of transitions kept between two calls of Transitions.
const maxTransitions = 1024

func (s *State) record(id fleet.InstanceID, c TransitionKind) {
	if len(s.transitions) < maxTransitions {
		s.transitions = append(s.transitions, Transition{Peer: id, Kind: c})
	}
}

// Transitions returns and clears the transitions since the last call, in order. The slice is
// valid until the next call of a method that changes the state.
func (s *State) Transitions() []Transition {
	t := s.transitions
	s.transitions = s.transitions[:0]
	return t
}
