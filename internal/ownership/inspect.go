package ownership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OwnedSince returns since when this router has owned a resource by its own view.
func (s *State) OwnedSince(r wire.Resource) (time.Time, bool) {
	o := s.owned[r]
	if o == nil {
		return time.Time{}, false
	}
	return o.since, true
}

// GrantedVotes returns how many backings this router has given that still bind it at now.
func (s *State) GrantedVotes(now time.Time) int {
	n := 0
	for _, p := range s.promises {
		if p.until.After(now) {
			n++
		}
	}
	return n
}
