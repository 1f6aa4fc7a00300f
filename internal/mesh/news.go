package mesh

import (
	"math/rand/v2"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// NewsRecipients returns the gateways to which news from a gateway is to be sent on by this one, so that it reaches the
// whole fleet. News of its own goes to all peers in a small fleet; in a large one, to the aggregators of its data centre,
// which send it on to their data centre and to the other aggregators.
func (s *State) NewsRecipients(now boottime.Instant, from fleet.InstanceID) []Member {
	var out []Member
	for _, p := range s.sortedPeers {
		if p.ID != from && s.reachable(now, p) && s.forwardsNews(from, p) {
			out = append(out, p.Member)
		}
	}
	return out
}

func (s *State) forwardsNews(from fleet.InstanceID, to *peer) bool {
	local := to.DataCentre == s.self.DataCentre
	switch {
	case !s.aggregated():
		return from == s.self.ID
	case !s.isAggregator(s.self):
		return from == s.self.ID && local && s.isAggregator(to)
	case local:
		return true
	default:
		return s.isAggregator(to) && s.isLocal(from)
	}
}

func (s *State) isLocal(id fleet.InstanceID) bool {
	if id == s.self.ID {
		return true
	}
	p := s.peers[id]
	return p != nil && p.DataCentre == s.self.DataCentre
}

// RandomHeardPeers returns up to n random peers that have sent a Status and are likely to be reachable.
func (s *State) RandomHeardPeers(now boottime.Instant, rng *rand.Rand, n int) []Member {
	return s.randomPeers(rng, n, func(p *peer) bool { return p.lastReceived != 0 && s.reachable(now, p) })
}

// RandomPeers returns up to n random peers that are likely to be reachable.
func (s *State) RandomPeers(now boottime.Instant, rng *rand.Rand, n int) []Member {
	return s.randomPeers(rng, n, func(p *peer) bool { return s.reachable(now, p) })
}

func (s *State) randomPeers(rng *rand.Rand, n int, eligible func(*peer) bool) []Member {
	var out []Member
	for _, i := range rng.Perm(len(s.sortedPeers)) {
		if p := s.sortedPeers[i]; len(out) < n && eligible(p) {
			out = append(out, p.Member)
		}
	}
	return out
}
