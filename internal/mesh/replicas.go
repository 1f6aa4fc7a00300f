package mesh

import (
	"cmp"
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// localReplicas and remoteReplicas are how many gateways of this data centre, and of all others, hold a
	// copy of a key's value: any one of them, or the whole data centre, may be lost with the sender.
	localReplicas  = 2
	remoteReplicas = 2
	// localReplicaCandidates and replicaCandidates are how many gateways of this data centre, and of the
	// fleet, are asked for a key in a large fleet. They are more than there are replicas, because gateways
	// disagree for some time on which others are down, and because the sender's data centre is not known.
	localReplicaCandidates = 3
	replicaCandidates      = 6
)

// Replicas returns the gateways that are to hold the value of a key that this gateway sets: the first live ones
// of its data centre and of the others, in the rendezvous order for the key.
func (s *State) Replicas(now boottime.Instant, key uint64) []Member {
	var out []Member
	local, remote := 0, 0
	for _, p := range s.rankedPeers(key) {
		if !s.reachable(now, p) {
			continue
		}
		switch {
		case p.DataCentre == s.self.DataCentre && local < localReplicas:
			local++
		case p.DataCentre != s.self.DataCentre && remote < remoteReplicas:
			remote++
		default:
			continue
		}
		out = append(out, p.Member)
	}
	return out
}

// ReplicaCandidates returns the gateways that may hold the value of a key that any gateway has set: all of a
// small fleet, and the first ones of this data centre and of the fleet otherwise.
func (s *State) ReplicaCandidates(now boottime.Instant, key uint64) []Member {
	var out []Member
	local := 0
	for i, p := range s.rankedPeers(key) {
		if !s.reachable(now, p) {
			continue
		}
		inDataCentre := p.DataCentre == s.self.DataCentre && local < localReplicaCandidates
		if inDataCentre {
			local++
		}
		if inDataCentre || i < replicaCandidates || !s.aggregated() {
			out = append(out, p.Member)
		}
	}
	return out
}

// reachable reports whether a message to a peer is likely to arrive. Most peers of a large fleet are not
// watched, and count as reachable.
func (s *State) reachable(now boottime.Instant, p *peer) bool {
	if s.aggregated() {
		return !p.unresponsive
	}
	return s.live(now, p)
}

// rankedPeers returns the peers in the rendezvous order for a key.
func (s *State) rankedPeers(key uint64) []*peer {
	ranked := slices.Clone(s.sortedPeers)
	slices.SortFunc(ranked, func(a, b *peer) int { return cmp.Compare(b.weight(key), a.weight(key)) })
	return ranked
}
