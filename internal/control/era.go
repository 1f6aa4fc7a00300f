package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// republishTime is how long after the store's return with an older copy of its content the endpoints publish
// again what it has lost. Entries in the copy of endpoints that have left expire within this time.
const republishTime = 5 * time.Second

// beginEra handles the return of the store with an older copy of its content. For republishTime, an entry that the
// copy has again is not taken for published.
func (s *State) beginEra(now boottime.Instant, revision fleet.Revision) {
	s.freshness.eraSince = now
	s.freshness.recoveredAt = now
	s.log(event.StoreRestored, "era", published.EraOf(revision), "revision", published.StoreRevision(revision))
}

// eraIsNew reports whether the store returned with an older copy less than republishTime ago.
func (s *State) eraIsNew(now boottime.Instant) bool {
	return s.freshness.eraSince != 0 && now.Sub(s.freshness.eraSince) < republishTime
}

// firstOfEra reports whether the mirror has reached an era since it had a revision, while no peer has reported one of
// that era. The peers then lack what the full snapshot contains.
func (s *State) firstOfEra(before fleet.Revision) bool {
	era := published.EraOf(s.mirror.Revision())
	return before != 0 && published.EraOf(before) < era && s.freshness.peersEra < era
}
