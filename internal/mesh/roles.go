package mesh

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// fullMeshFleetSize is the fleet size up to which every gateway sends its Status to every other
	// one at the same rate. In larger fleets, aggregators sum up the load of each data centre.
	fullMeshFleetSize = 16
	// aggregatorsPerDataCentre is how many gateways of a data centre receive the Status of its
	// gateways at a high rate. The first of them sends sums; the second takes over when it is down.
	aggregatorsPerDataCentre = 2
	// aggregatorHashKey is the rendezvous hashing key for the order of a data centre's aggregators.
	aggregatorHashKey = 0x9e3779b9
	// aggregatorTimeout is the time without a message after which a watched aggregator is
	// unresponsive: six intervals of the first aggregator, three of the second.
	aggregatorTimeout = time.Second
	// watchedPeerTimeout is the time without a message after which an aggregator counts a gateway of
	// its data centre as unresponsive: four idle intervals.
	watchedPeerTimeout = 4 * minIdleInterval
)

// roles lists the aggregators of each data centre, in their order.
type roles struct {
	aggregators map[fleet.DataCentreID][]*peer // without unresponsive and stopping gateways
	preferred   map[fleet.DataCentreID][]*peer // including them
	localPeers  int                            // peers in the data centre of this gateway
}

// Aggregated reports whether the fleet is large enough for aggregators.
func (s *State) Aggregated() bool { return s.aggregated() }

func (s *State) aggregated() bool { return s.Size() > fullMeshFleetSize }

// currentRoles returns the roles that follow from the members and the state of peers. All gateways
// with the same members and states agree on them.
func (s *State) currentRoles() *roles {
	if s.roles != nil {
		return s.roles
	}
	s.roles = &roles{aggregators: map[fleet.DataCentreID][]*peer{}, preferred: map[fleet.DataCentreID][]*peer{}}
	s.roles.add(s.self, !s.self.status.Stopping)
	for _, p := range s.sortedPeers {
		s.roles.add(p, !p.unresponsive && !p.status.Stopping)
		if p.DataCentre == s.self.DataCentre {
			s.roles.localPeers++
		}
	}
	for _, ranked := range s.roles.aggregators {
		for _, p := range ranked {
			p.aggregator = true
		}
	}
	return s.roles
}

func (r *roles) add(p *peer, available bool) {
	p.aggregator = false
	r.preferred[p.DataCentre] = insertRanked(r.preferred[p.DataCentre], p)
	if available {
		r.aggregators[p.DataCentre] = insertRanked(r.aggregators[p.DataCentre], p)
	}
}

// insertRanked inserts a gateway into a list of the first aggregatorsPerDataCentre gateways.
func insertRanked(ranked []*peer, p *peer) []*peer {
	at := len(ranked)
	for at > 0 && p.aggregatesBefore(ranked[at-1]) {
		at--
	}
	if at == aggregatorsPerDataCentre {
		return ranked
	}
	ranked = append(ranked, nil)
	copy(ranked[at+1:], ranked[at:])
	ranked[at] = p
	return ranked[:min(len(ranked), aggregatorsPerDataCentre)]
}

// aggregatesBefore orders the gateways of a data centre: those with more processor time come first.
func (p *peer) aggregatesBefore(other *peer) bool {
	if p.CPUMillis != other.CPUMillis {
		return p.CPUMillis > other.CPUMillis
	}
	return p.weight(aggregatorHashKey) > other.weight(aggregatorHashKey)
}

// isAggregator reports whether a gateway is an aggregator of its data centre.
func (s *State) isAggregator(p *peer) bool {
	s.currentRoles()
	return p.aggregator
}

// IsAggregator reports whether this gateway is an aggregator of a large fleet.
func (s *State) IsAggregator() bool { return s.aggregated() && s.isAggregator(s.self) }

// IsLocalAggregator reports whether a peer is an aggregator of this gateway's data centre in a large fleet.
func (s *State) IsLocalAggregator(id fleet.InstanceID) bool {
	p := s.peers[id]
	return p != nil && p.DataCentre == s.self.DataCentre && s.aggregated() && s.isAggregator(p)
}

// LocalPeers returns the number of peers in this gateway's data centre.
func (s *State) LocalPeers() int { return s.currentRoles().localPeers }

// LocalAggregators returns the aggregators of this gateway's data centre in their order, or none in a small
// fleet.
func (s *State) LocalAggregators() []fleet.InstanceID {
	if !s.aggregated() {
		return nil
	}
	var ids []fleet.InstanceID
	for _, p := range s.currentRoles().aggregators[s.self.DataCentre] {
		ids = append(ids, p.ID)
	}
	return ids
}

// noteStopping gives up this gateway's role when its planned stop begins.
func (s *State) noteStopping(stopping bool) {
	if s.self.status.Stopping != stopping {
		s.self.status.Stopping = stopping
		s.roles = nil
	}
}

// isFirstAggregator reports whether this gateway is the aggregator that sends the sums of its data
// centre.
func (s *State) isFirstAggregator() bool {
	ranked := s.currentRoles().aggregators[s.self.DataCentre]
	return len(ranked) > 0 && ranked[0] == s.self
}

// watches reports whether this gateway and a peer send each other their Status at a high rate: two
// aggregators, or an aggregator and a gateway of its data centre.
func (s *State) watches(p *peer) bool {
	if !s.aggregated() {
		return false
	}
	if p.DataCentre == s.self.DataCentre {
		return s.isAggregator(s.self) || s.isAggregator(p)
	}
	return s.isAggregator(s.self) && s.isAggregator(p)
}

// probes reports whether a peer that is unresponsive would be an aggregator that this gateway watches.
// It is sent a Status at downPeerInterval, so that both sides of a partition find each other again.
func (s *State) probes(p *peer) bool {
	if !p.unresponsive || !slices.Contains(s.currentRoles().preferred[p.DataCentre], p) {
		return false
	}
	return p.DataCentre == s.self.DataCentre || s.isAggregator(s.self)
}

// watchPeers marks watched peers as unresponsive that have been silent for too long.
func (s *State) watchPeers(now boottime.Instant) {
	for _, p := range s.sortedPeers {
		if !s.watches(p) {
			p.watchedSince = 0
			continue
		}
		if p.watchedSince == 0 {
			p.watchedSince = now
		}
		if !p.unresponsive && now.Sub(max(p.lastReceived, p.watchedSince)) > s.watchTimeout(p) {
			p.unresponsive = true
			s.roles = nil
		}
	}
}

func (s *State) watchTimeout(p *peer) time.Duration {
	if s.isAggregator(p) {
		return aggregatorTimeout
	}
	return watchedPeerTimeout
}
