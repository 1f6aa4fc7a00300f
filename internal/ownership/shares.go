package ownership

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// VoteShare returns the number of valid votes for this router as the owner of a resource, divided
// by the number of voters: the listed instances of the data centre except stopped ones. It
// returns 0 for a resource that this router does not own.
func (s *State) VoteShare(now time.Time, r wire.Resource) float64 {
	return s.VoteShareSince(now, r, now)
}

// VoteShareSince is like VoteShare, but counts only the votes that have been valid without
// interruption since from.
func (s *State) VoteShareSince(now time.Time, r wire.Resource, from time.Time) float64 {
	o := s.owned[r]
	if o == nil || len(s.instances) == 0 || s.stopped {
		return 0
	}
	n := 0
	for id, vote := range o.votes {
		if vote.until.After(now) && !vote.from.After(from) && !s.excluded(now, id) {
			n++
		}
	}
	return float64(n) / float64(s.voterCount(now))
}

// UsableFraction returns the fraction of a resource that an owner with the given vote share may
// use. If the vote shares of several owners add up to at most one, so do their fractions. An owner
// may use the whole resource while up to a third of the voters do not answer.
func UsableFraction(share float64) float64 { return min(max(3*share-1, 0), 1) }

// voterCount returns the number of listed instances that count as voters.
func (s *State) voterCount(now time.Time) int {
	n := len(s.instances)
	for id := range s.stoppedPeers {
		if s.excluded(now, id) {
			n--
		}
	}
	return max(n, 1)
}

// excluded reports whether a listed instance does not count as a voter, because it has announced its
// stop and its votes for other owners have expired.
func (s *State) excluded(now time.Time, id fleet.InstanceID) bool {
	stop, ok := s.stoppedPeers[id]
	return ok && !now.Before(stop.from) && (stop.until.IsZero() || now.Before(stop.until))
}

// KeySlotOwnedSince returns the time since which this router has held a quorum of votes for a key
// slot without interruption, and whether it holds one at now. The quorum is more than two thirds
// of the voters, so two instances cannot both hold one as long as their lists differ by less
// than a third.
func (s *State) KeySlotOwnedSince(now time.Time, slot int) (time.Time, bool) {
	o := s.owned[KeySlotResource(slot)]
	if o == nil || s.stopped {
		return time.Time{}, false
	}
	var froms []time.Time
	for id, vote := range o.votes {
		if vote.until.After(now) && !s.excluded(now, id) {
			froms = append(froms, vote.from)
		}
	}
	need := 2*s.voterCount(now)/3 + 1
	if len(froms) < need {
		return time.Time{}, false
	}
	sort.Slice(froms, func(i, j int) bool { return froms[i].Before(froms[j]) })
	return froms[need-1], true
}
