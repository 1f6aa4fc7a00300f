package pool

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OwnerOf returns the router that owns an endpoint in this router's view.
type OwnerOf func(*fleet.Endpoint) fleet.InstanceID

// GossipSoon shortens the time to the next gossip message, after a change of load.
func (s *State) GossipSoon() { s.urgent = true }

// Tick sends the loads of one random owned pool to another owner in that pool when a gossip
// message is due.
func (s *State) Tick(now time.Time, owner OwnerOf, out *wire.Outbox) {
	if len(s.ownedPools) == 0 || now.Sub(s.lastGossip) < s.period() {
		return
	}
	s.lastGossip = now
	s.urgent = false
	p := s.ownedPools[s.rng.IntN(len(s.ownedPools))]
	to := s.randomOwner(p, owner)
	if to == "" {
		return
	}
	out.Send(to, wire.LoadGossip{Loads: s.Newest(now, p, maxGossipEntries)})
}

// period returns the time between the last gossip message and the next one.
func (s *State) period() time.Duration {
	if s.urgent {
		return urgentGossipPeriod
	}
	return s.steadyPeriod
}

// updateSteadyPeriod derives the gossip period from the size of the largest owned pool, so that the
// gossip traffic of a router stays bounded as pools grow.
func (s *State) updateSteadyPeriod() {
	members := 0
	for _, p := range s.ownedPools {
		members = max(members, len(s.view.PoolEndpoints(p)))
	}
	s.steadyPeriod = min(max(minGossipPeriod, time.Duration(members)*gossipPeriodPerEndpoint), maxGossipPeriod)
}

// randomOwner returns a random other owner of endpoints of the pool, or "" if there is none.
func (s *State) randomOwner(p fleet.Pool, owner OwnerOf) fleet.InstanceID {
	var owners []fleet.InstanceID
	seen := map[fleet.InstanceID]bool{s.self: true, "": true}
	for _, e := range s.view.PoolEndpoints(p) {
		if id := owner(e); !seen[id] {
			seen[id] = true
			owners = append(owners, id)
		}
	}
	if len(owners) == 0 {
		return ""
	}
	return owners[s.rng.IntN(len(owners))]
}

// Newest returns up to limit entries of a pool: those of this router's endpoints first, then the
// most recently received.
func (s *State) Newest(now time.Time, p fleet.Pool, limit int) []wire.EndpointLoad {
	var ms []*member
	for i := range s.members[p] {
		m := &s.members[p][i]
		if m.entry.local && m.entry.version > 0 || m.entry.recent(now, recentEntryAge) {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b *member) int {
		if a.entry.local != b.entry.local {
			if a.entry.local {
				return -1
			}
			return 1
		}
		return b.entry.learnedAt.Compare(a.entry.learnedAt)
	})
	ms = ms[:min(limit, len(ms))]
	loads := make([]wire.EndpointLoad, 0, len(ms))
	for _, m := range ms {
		e := m.entry
		e.gossipedLoad = e.Load
		loads = append(loads, wire.EndpointLoad{ID: m.hash, Version: e.version, Load: e.Load, Limit: e.Limit, IncarnationLow: e.IncarnationLow, Closed: e.Closed})
	}
	return loads
}

// OnLoadGossip merges the loads of a gossip message. If the message is not a reply, the entries of the
// same pool that it lacks or that are newer here are sent in reply.
func (s *State) OnLoadGossip(now time.Time, from fleet.InstanceID, gossip wire.LoadGossip, out *wire.Outbox) {
	s.Merge(now, gossip.Loads)
	if gossip.Reply || len(gossip.Loads) == 0 {
		return
	}
	ep := s.endpointsByHash[gossip.Loads[0].ID]
	if ep == nil {
		return
	}
	if missing := newer(s.Newest(now, s.view.PoolOf(ep), maxGossipEntries), gossip.Loads); len(missing) > 0 {
		out.Send(from, wire.LoadGossip{Loads: missing, Reply: true})
	}
}

// newer returns the entries of loads that are absent from theirs or have a higher version. It
// reuses the memory of loads.
func newer(loads, theirs []wire.EndpointLoad) []wire.EndpointLoad {
	have := make(map[uint64]uint64, len(theirs))
	for _, l := range theirs {
		have[l.ID] = l.Version
	}
	missing := loads[:0]
	for _, l := range loads {
		if v, ok := have[l.ID]; !ok || l.Version > v {
			missing = append(missing, l)
		}
	}
	return missing
}

// Merge adopts entries of listed endpoints whose version is higher than the local one. Of endpoints
// that this router owns it adopts the version alone.
func (s *State) Merge(now time.Time, loads []wire.EndpointLoad) {
	for _, l := range loads {
		if s.endpointsByHash[l.ID] != nil {
			s.merge(now, l)
		}
	}
}

func (s *State) merge(now time.Time, l wire.EndpointLoad) {
	e := s.entry(l.ID)
	if l.Version <= e.version {
		return
	}
	e.version = l.Version
	if e.local {
		return // the local load takes precedence; its next version is higher than the received one
	}
	e.set(now, l)
	e.learnedAt = now
}
