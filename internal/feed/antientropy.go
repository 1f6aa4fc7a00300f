package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// antiEntropy schedules the periodic digests by which instances detect differing content.
type antiEntropy struct {
	nextLocal  time.Time // time of the next digest within the data centre
	nextRemote time.Time // time of the next digests to the other data centres
	localTurn  uint64
	remoteTurn uint64
}

// tickAntiEntropy sends the digest of one feed to one instance of the data centre and, on a reader,
// to one instance of each other data centre, both in rotation. A receiver with a lower revision
// pulls, one with different content at the same revision resolves the conflict, and one with a
// higher revision treats the sender as a lagging peer.
func (s *State) tickAntiEntropy(now time.Time, out *wire.Outbox) {
	a := &s.antiEntropy
	if a.nextLocal.IsZero() {
		s.staggerAntiEntropy(now)
	}
	if !now.Before(a.nextLocal) {
		a.nextLocal = now.Add(s.opts.AntiEntropyInterval)
		s.antiEntropyWith(s.dc, a.localTurn, out)
		a.localTurn++
	}
	if !now.Before(a.nextRemote) && s.IsReader(now) {
		a.nextRemote = now.Add(s.opts.RemoteAntiEntropyInterval)
		for _, dc := range s.otherDataCentres() {
			s.antiEntropyWith(dc, a.remoteTurn, out)
		}
		a.remoteTurn++
	}
}

// staggerAntiEntropy sets the times of the first digests, spread over the interval by the hash of the
// instance.
func (s *State) staggerAntiEntropy(now time.Time) {
	h := fleet.Hash(string(s.self))
	s.antiEntropy.localTurn, s.antiEntropy.remoteTurn = h, h
	s.antiEntropy.nextLocal = now.Add(s.opts.AntiEntropyInterval * time.Duration(h%64) / 64)
	s.antiEntropy.nextRemote = now.Add(s.opts.RemoteAntiEntropyInterval * time.Duration(h%64) / 64)
}

// antiEntropyWith sends a digest to one instance of a data centre. The turn selects the feed and the
// instance.
func (s *State) antiEntropyWith(dc fleet.DataCentreID, turn uint64, out *wire.Outbox) {
	ids := s.instancesByReaderWeight(dc)
	if len(ids) == 0 {
		return
	}
	f := &s.feeds[turn%feedCount]
	s.push(ids[(turn/feedCount)%uint64(len(ids))], f.digest(), out)
}
