package mesh

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Member is a gateway of the fleet.
type Member struct {
	ID          fleet.InstanceID   `json:"id"`
	DataCentre  fleet.DataCentreID `json:"data_centre"`
	Addr        string             `json:"peer_addr"`    // UDP IP:port
	ControlAddr string             `json:"control_addr"` // HTTP IP:port
	CPUMillis   uint32             `json:"cpu_millis"`   // processor share in thousandths of a core, 0: unknown
	SilentMS    uint64             `json:"silent_ms"`    // in a MemberList: since the lister, or one that it has the member from, heard of it
}

// maxMembers bounds the members besides this gateway. Anyone can become one with a Hello.
const maxMembers = 2048

// AddMembers adds members, or updates the addresses of those that are known. Members beyond maxMembers, and those that
// nobody has heard of for longer than members are retained, are left out.
func (s *State) AddMembers(now boottime.Instant, members []Member) {
	for _, m := range members {
		if m.ID == s.self.ID || m.ID == "" || m.Addr == "" {
			continue
		}
		silent := milliseconds(m.SilentMS)
		m.SilentMS = 0
		p := s.peers[m.ID]
		switch {
		case p == nil && silent <= aggregatedMemberRetention && len(s.peers) < maxMembers:
			p = newPeer(m, now)
			p.lastKnown = now.Add(-silent)
			s.peers[m.ID] = p
		case p != nil && p.Member != m:
			p.Member = m
			s.roles = nil
		}
	}
	if len(s.peers) != len(s.sortedPeers) {
		s.roles = nil
		s.sortedPeers = slices.SortedFunc(maps.Values(s.peers), compareIDs)
	}
}

func compareIDs(a, b *peer) int { return strings.Compare(string(a.ID), string(b.ID)) }

// Member returns a member by ID, and whether it is known.
func (s *State) Member(id fleet.InstanceID) (Member, bool) {
	p := s.peers[id]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}

// Incarnation returns the incarnation of a member's process, and whether a Status of it was received.
func (s *State) Incarnation(id fleet.InstanceID) (fleet.Incarnation, bool) {
	p := s.peers[id]
	if p == nil || p.lastReceived == 0 {
		return 0, false
	}
	return p.incarnation, true
}

// Members returns all known members, including this gateway.
func (s *State) Members() []Member {
	ms := []Member{s.self.Member}
	for _, p := range s.sortedPeers {
		ms = append(ms, p.Member)
	}
	return ms
}

// MemberList returns Members for another gateway, with the times since they were heard of. A member that is gone is
// thereby forgotten by all gateways at the same time; otherwise they would name it to one another for ever.
func (s *State) MemberList(now boottime.Instant) []Member {
	ms := s.Members()
	for i, p := range s.sortedPeers {
		ms[i+1].SilentMS = uint64(now.Sub(p.lastKnown) / time.Millisecond)
	}
	return ms
}

// MembersDigest returns a digest of Members that does not depend on their order.
func (s *State) MembersDigest() uint64 {
	digest := s.self.digest()
	for _, p := range s.sortedPeers {
		digest ^= p.digest()
	}
	return digest
}

func (m *Member) digest() uint64 {
	return fleet.Hash(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%d", m.ID, m.DataCentre, m.Addr, m.ControlAddr, m.CPUMillis))
}

func (s *State) removeExpired(now boottime.Instant) {
	s.sortedPeers = slices.DeleteFunc(s.sortedPeers, func(p *peer) bool {
		if now.Sub(p.lastKnown) <= s.memberRetention() {
			return false
		}
		s.roles = nil
		delete(s.peers, p.ID)
		return true
	})
}

// Size returns the number of gateways that may send to endpoints: this one and all members
// added or received from within memberRetention.
func (s *State) Size() int { return 1 + len(s.sortedPeers) }

// LivePeers returns the number of peers that are not down.
func (s *State) LivePeers(now boottime.Instant) int {
	n := 0
	for _, p := range s.sortedPeers {
		if s.live(now, p) {
			n++
		}
	}
	return n
}

// MemberRank returns the position of this gateway among all members, live or not, in the
// rendezvous order for a key, 0 for the first.
func (s *State) MemberRank(key uint64) int {
	ownWeight, rank := s.self.weight(key), 0
	for _, p := range s.sortedPeers {
		if p.weight(key) > ownWeight {
			rank++
		}
	}
	return rank
}
