package mesh

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// readerHashKey is the rendezvous hashing key for the order of the store's readers.
const readerHashKey = 0x5f3759df

// ReaderRank returns the position of this gateway among the live ones in the order of the
// store's readers, 0 for the first. storeUnreadable states whether a read of this gateway has
// failed recently. Stopping gateways are left out, and gateways with a failed read come after
// the others. In a large fleet the aggregators come before the others, because it is known within a
// second when one of them is down.
func (s *State) ReaderRank(now boottime.Instant, storeUnreadable bool) int {
	own, rank := s.readerOrder(s.self, storeUnreadable), 0
	for _, p := range s.sortedPeers {
		if !s.live(now, p) || p.status.Stopping {
			continue
		}
		if s.readerOrder(p, p.status.StoreUnreadable).before(own) {
			rank++
		}
	}
	return rank
}

// readerOrder is the sort key of a gateway in the order of the store's readers.
type readerOrder struct {
	storeUnreadable bool
	aggregator      bool
	weight          uint64
}

func (s *State) readerOrder(p *peer, storeUnreadable bool) readerOrder {
	return readerOrder{storeUnreadable, s.aggregated() && s.isAggregator(p), p.weight(readerHashKey)}
}

func (o readerOrder) before(other readerOrder) bool {
	switch {
	case o.storeUnreadable != other.storeUnreadable:
		return other.storeUnreadable
	case o.aggregator != other.aggregator:
		return o.aggregator
	default:
		return o.weight > other.weight
	}
}
