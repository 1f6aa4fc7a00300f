package pool

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OwnerOf returns the router that owns an endpoint by this router's view.
type OwnerOf func(*fleet.Endpoint) fleet.InstanceID

// GossipSoon makes the next digest leave soon, after demand changed.
func (s *State) GossipSoon() { s.hurry = true }

// Tick sends a digest of one pool to the owner of another of its endpoints when one is due.
func (s *State) Tick(now time.Time, owner OwnerOf, out *wire.Outbox) {
	if len(s.pools) == 0 || now.Sub(s.last) < s.period() {
		return
	}
	s.last = now
	s.hurry = false
	p := s.pools[s.rng.IntN(len(s.pools))]
	to := s.partner(p, owner)
	if to == "" {
		return
	}
	out.Send(to, wire.Digest{Loads: s.Newest(now, p, maxDigest)})
}

func (s *State) period() time.Duration {
	if s.hurry {
		return gossipHurry
	}
	return s.steady
}

// setSteady lets the time between two digests grow with the pools, so that what a
// router spends on gossip does not.
func (s *State) setSteady() {
	members := 0
	for _, p := range s.pools {
		members = max(members, len(s.view.PoolEndpoints(p)))
	}
	s.steady = min(max(gossipMin, time.Duration(members)*gossipPerEntry), gossipMax)
}

// partner picks a random other owner of endpoints of the pool.
func (s *State) partner(p fleet.Pool, owner OwnerOf) fleet.InstanceID {
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

// Newest returns up to limit entries of a pool, this router's own first, then the
// most recently learnt.
func (s *State) Newest(now time.Time, p fleet.Pool, limit int) []wire.EndpointLoad {
	var ms []*member
	for i := range s.members[p] {
		m := &s.members[p][i]
		if m.entry.local && m.entry.version > 0 || m.entry.recent(now, recentVersions) {
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
		return b.entry.learnt.Compare(a.entry.learnt)
	})
	ms = ms[:min(limit, len(ms))]
	loads := make([]wire.EndpointLoad, 0, len(ms))
	for _, m := range ms {
		e := m.entry
		e.sent = e.Load
		loads = append(loads, wire.EndpointLoad{ID: m.hash, Version: e.version, Load: e.Load, Limit: e.Limit, IncarnationLow: e.Inc, Closed: e.Closed})
	}
	return loads
}

// OnDigest merges a digest and answers it with what this router knows of the same pool.
func (s *State) OnDigest(now time.Time, from fleet.InstanceID, d wire.Digest, out *wire.Outbox) {
	s.Merge(now, d.Loads)
	if d.Reply || len(d.Loads) == 0 {
		return
	}
	ep := s.ids[d.Loads[0].ID]
	if ep == nil {
		return
	}
	if news := newer(s.Newest(now, s.view.PoolOf(ep), maxDigest), d.Loads); len(news) > 0 {
		out.Send(from, wire.Digest{Loads: news, Reply: true})
	}
}

// newer returns the entries of loads that the other side does not have.
func newer(loads, theirs []wire.EndpointLoad) []wire.EndpointLoad {
	have := make(map[uint64]uint64, len(theirs))
	for _, l := range theirs {
		have[l.ID] = l.Version
	}
	news := loads[:0]
	for _, l := range loads {
		if v, ok := have[l.ID]; !ok || l.Version > v {
			news = append(news, l)
		}
	}
	return news
}

// Merge takes over the entries that are newer than what this router knows.
func (s *State) Merge(now time.Time, loads []wire.EndpointLoad) {
	for _, l := range loads {
		if s.ids[l.ID] != nil {
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
		return // this router's own count goes on above the version that it met
	}
	e.set(now, l)
	e.learnt = now
}
