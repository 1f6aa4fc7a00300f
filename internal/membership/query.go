package membership

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// MaxSuspects is the maximum number of suspects in one heartbeat.
const MaxSuspects = 16

// Alive reports whether an instance is listed and not suspected. This process is always alive.
func (s *State) Alive(id fleet.InstanceID) bool {
	if id == s.self {
		return true
	}
	p := s.peers[id]
	return p != nil && p.listed && !p.suspected
}

// Usable reports whether an instance is alive and not leaving.
func (s *State) Usable(id fleet.InstanceID) bool {
	if id == s.self {
		return !s.selfLeaving
	}
	p := s.peers[id]
	return p != nil && p.listed && !p.suspected && !p.listedLeaving && !p.announcedLeaving
}

// Unlisted reports whether an instance is absent from the list, regardless of suspicion.
func (s *State) Unlisted(id fleet.InstanceID) bool {
	if id == s.self {
		return false
	}
	p := s.peers[id]
	return p == nil || !p.listed
}

// Incarnation returns the highest incarnation received from an instance, or 0.
func (s *State) Incarnation(id fleet.InstanceID) fleet.Incarnation {
	if p := s.peers[id]; p != nil {
		return p.incarnation
	}
	return 0
}

// Version changes whenever a result of Alive or Usable changes.
func (s *State) Version() uint64 { return s.version }

// Period returns the time between two heartbeats to the same instance.
func (s *State) Period() time.Duration { return s.period }

// Suspects returns the most recent suspects, at most MaxSuspects, sorted by ID.
func (s *State) Suspects() []fleet.InstanceID {
	var ps []*peer
	for _, p := range s.order {
		if p.listed && p.suspected {
			ps = append(ps, p)
		}
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].suspectedAt.After(ps[j].suspectedAt) })
	ps = ps[:min(len(ps), MaxSuspects)]
	ids := make([]fleet.InstanceID, len(ps))
	for i, p := range ps {
		ids[i] = p.id
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
