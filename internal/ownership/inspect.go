package ownership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OwnedSince returns the time since which this router has owned a resource in its view.
func (s *State) OwnedSince(r wire.Resource) (time.Time, bool) {
	o := s.owned[r]
	if o == nil {
		return time.Time{}, false
	}
	return o.since, true
}

// GrantedVotes returns the number of votes granted by this router that are valid at now.
func (s *State) GrantedVotes(now time.Time) int {
	n := 0
	for _, vote := range s.grantedVotes {
		if vote.until.After(now) {
			n++
		}
	}
	return n
}
