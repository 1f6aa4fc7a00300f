package mesh

import (
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// minPeriod is the least time between two Status messages to one peer. An engine of a
	// small deployment gets one or two requests in it.
	minPeriod = 120 * time.Millisecond
	// smallFleet is the size up to which the period stays at its least.
	smallFleet = 12
	// periodPerPeer bounds what a gateway of a large fleet sends to 33 messages a second:
	// 4 KB of Status messages of 120 bytes with the headers of UDP and IP, which leaves a
	// fifth of the control traffic that the target allows for news.
	periodPerPeer = 30 * time.Millisecond
	// quietPeriod is the time between two Status messages to one peer that say nothing new.
	quietPeriod = 500 * time.Millisecond
	// silentPeriods is after how many quiet periods without a word a peer counts as down.
	silentPeriods = 4
	// retryDown is the time between two Status messages to a peer that is down.
	retryDown = time.Second
	// forgetAfter is for how long a peer that is down counts among those that may still
	// send to endpoints, and is tried again.
	forgetAfter = time.Minute
	// directFleet is the size up to which news goes to every peer directly. In larger
	// fleets it goes to the own data centre and to the relays of the others.
	directFleet = 16
	// relays is how many gateways of a data centre pass on news from the others.
	relays = 2
	// readerKey orders the gateways for reading the store.
	readerKey = 0x5f3759df
	// relayKey orders the gateways of a data centre as relays.
	relayKey = 0x9e3779b9
)

// Member is one gateway of the fleet.
type Member struct {
	ID         fleet.InstanceID   `json:"id"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Addr       string             `json:"peer_addr"`    // UDP IP:port
	Control    string             `json:"control_addr"` // HTTP IP:port
}

// Outgoing is a message for a peer.
type Outgoing struct {
	To      fleet.InstanceID
	Addr    string
	Message wire.Message
}

// LocalStatus is what this gateway tells its peers.
type LocalStatus struct {
	Revision        fleet.Revision
	Confirmed       boottime.Instant // zero: never
	Stopping        bool
	StoreUnreadable bool // the last read of the store has failed a moment ago
	InFlight        wire.InFlight
	FailureReports  []wire.FailureReport
	RecentChanges   *wire.StoreUpdate // the latest changes, told in Spread and Relay; nil: none that fit
	Version         uint64            // rises when one of the fields above changes, but for Confirmed
}

type peer struct {
	Member
	hash     uint64           // of the ID
	known    boottime.Instant // when it was learned or last heard
	heard    boottime.Instant // zero: never
	status   wire.Status      // the last one
	sent     boottime.Instant
	sentWhat uint64 // Version of what was sent

	lost        bool              // told as lost, and not as back since
	leaving     bool              // told as stopping
	incarnation fleet.Incarnation // a random number of its process
	former      fleet.Incarnation // of the process before
}

// State is the membership and the last Status of each member. See the package comment.
type State struct {
	self  *peer // this gateway; it is not among the peers
	start boottime.Instant
	base  uint64 // stamp at the start: no stamp of an earlier process lies after it
	peers map[fleet.InstanceID]*peer
	order []*peer // sorted by ID
}

// stampBits bounds the random first stamp of a process. Two processes of a gateway that
// follow each other draw overlapping stamps with a chance of a minute in 2^stampBits ms.
const stampBits = 31

// New returns the state of a gateway that knows nobody. The seed must differ between
// the processes of one gateway that follow each other.
func New(now boottime.Instant, self Member, seed uint64) *State {
	return &State{self: newPeer(self, now), start: now, base: 1 + seed>>(64-stampBits), peers: map[fleet.InstanceID]*peer{}}
}

func newPeer(m Member, known boottime.Instant) *peer {
	return &peer{Member: m, hash: fleet.Hash(string(m.ID)), known: known}
}

// weight ranks a gateway in an order that all share.
func (p *peer) weight(key uint64) uint64 { return fleet.Weight(key, p.hash) }

// stamp returns the time on this gateway's clock as peers echo it.
func (s *State) stamp(now boottime.Instant) uint64 {
	return s.base + uint64(now.Sub(s.start)/time.Millisecond)
}

// AddMembers adds members that are not known yet.
func (s *State) AddMembers(now boottime.Instant, members []Member) {
	for _, m := range members {
		if m.ID == s.self.ID || m.ID == "" || m.Addr == "" {
			continue
		}
		p := s.peers[m.ID]
		if p == nil {
			s.add(newPeer(m, now))
			continue
		}
		p.Member = m
	}
}

func (s *State) add(p *peer) {
	s.peers[p.ID] = p
	s.order = append(s.order, p)
	slices.SortFunc(s.order, func(a, b *peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// Member returns a member, and whether it is known.
func (s *State) Member(id fleet.InstanceID) (Member, bool) {
	p := s.peers[id]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}

// Members returns all known members, this gateway among them.
func (s *State) Members() []Member {
	ms := []Member{s.self.Member}
	for _, p := range s.order {
		ms = append(ms, p.Member)
	}
	return ms
}

// Receive takes a peer's Status. It returns false for a sender that is no known member
// and does not say where it is: the caller has to ask a seed.
func (s *State) Receive(now boottime.Instant, from fleet.InstanceID, inc fleet.Incarnation, m wire.Status) bool {
	if h := m.Hello; h != nil && s.peers[from] == nil {
		s.AddMembers(now, []Member{{ID: from, DataCentre: h.DataCentre, Addr: h.Addr, Control: h.Control}})
	}
	p := s.peers[from]
	if p == nil {
		return false
	}
	if inc == p.former || inc == p.incarnation && m.Timestamp < p.status.Timestamp {
		return true // overtaken by a later one
	}
	if inc != p.incarnation {
		p.former, p.incarnation = p.incarnation, inc
	}
	p.status = m
	p.heard = now
	p.known = now
	return true
}

// ConfirmedAt returns the time, on this gateway's clock, by which a peer knew everything
// that its Status claims to know, and whether the Status allows to tell.
func (s *State) ConfirmedAt(now boottime.Instant, m wire.Status) (boottime.Instant, bool) {
	if !m.Confirmed || m.Echo < s.base || m.Echo > s.stamp(now) {
		return 0, false
	}
	knew := s.start.Add(milliseconds(m.Echo-s.base) + milliseconds(m.EchoAgeMS))
	if now.Before(knew) {
		return 0, false
	}
	return knew.Add(-milliseconds(m.AgeMS)), true
}

// maxMilliseconds bounds the durations that a message may carry.
const maxMilliseconds = 1 << 40

func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxMilliseconds)) * time.Millisecond
}

// StatusInterval is the least time between two Status messages to one peer, within which peers
// hear what this gateway has to tell.
func (s *State) StatusInterval() time.Duration {
	if s.Size() <= smallFleet {
		return minPeriod
	}
	return time.Duration(len(s.peers)) * periodPerPeer
}

// silence is the time without a word after which a peer counts as down.
func (s *State) silence() time.Duration { return silentPeriods * s.quietPeriod() }

// quietPeriod is the time between two Status messages that say nothing new.
func (s *State) quietPeriod() time.Duration { return max(quietPeriod, s.StatusInterval()) }

// Tick returns the Status messages that are due.
func (s *State) Tick(now boottime.Instant, l LocalStatus) []Outgoing {
	s.forget(now)
	var out []Outgoing
	for _, p := range s.order {
		if now.Sub(p.sent) < s.pause(now, p, l) {
			continue
		}
		p.sent = now
		p.sentWhat = l.Version
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: s.status(now, p, l)})
	}
	return out
}

// Broadcast returns a Status with the news for the whole fleet: directly for each live peer
// of a small one, else for the own data centre and the relays of the others.
func (s *State) Broadcast(now boottime.Instant, l LocalStatus) []Outgoing {
	direct := s.Size() <= directFleet
	return s.news(now, l, func(p *peer) bool {
		return direct || p.DataCentre == s.self.DataCentre || s.rankIn(now, p) < relays
	})
}

// Relay returns what this gateway passes on of the news from another data centre: a
// Status for each live peer of its own, if it is one of its relays.
func (s *State) Relay(now boottime.Instant, from fleet.InstanceID, l LocalStatus) []Outgoing {
	p := s.peers[from]
	if s.Size() <= directFleet || p == nil || p.DataCentre == s.self.DataCentre || s.rankIn(now, s.self) >= relays {
		return nil
	}
	return s.news(now, l, func(p *peer) bool { return p.DataCentre == s.self.DataCentre })
}

func (s *State) news(now boottime.Instant, l LocalStatus, to func(*peer) bool) []Outgoing {
	var out []Outgoing
	for _, p := range s.order {
		if !s.live(now, p) || !to(p) {
			continue
		}
		p.sent = now
		p.sentWhat = l.Version
		m := s.status(now, p, l)
		m.Update = l.RecentChanges
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: m})
	}
	return out
}

// rankIn returns the place of a gateway among the live ones of its data centre.
func (s *State) rankIn(now boottime.Instant, g *peer) int {
	own, rank := g.weight(relayKey), 0
	if s.self.DataCentre == g.DataCentre && s.self.weight(relayKey) > own {
		rank++
	}
	for _, p := range s.order {
		if p.DataCentre == g.DataCentre && s.live(now, p) && !p.status.Stopping && p.weight(relayKey) > own {
			rank++
		}
	}
	return rank
}

func (s *State) pause(now boottime.Instant, p *peer, l LocalStatus) time.Duration {
	switch {
	case p.sent == 0:
		return 0
	case !s.live(now, p):
		return retryDown
	case p.sentWhat != l.Version:
		return s.StatusInterval()
	default:
		return s.quietPeriod()
	}
}

func (s *State) status(now boottime.Instant, p *peer, l LocalStatus) wire.Status {
	m := wire.Status{
		Timestamp:       s.stamp(now),
		Revision:        l.Revision,
		Stopping:        l.Stopping,
		StoreUnreadable: l.StoreUnreadable,
		InFlight:        l.InFlight,
		FailureReports:  l.FailureReports,
	}
	if p.heard != 0 {
		m.Echo = p.status.Timestamp
		m.EchoAgeMS = uint64(now.Sub(p.heard) / time.Millisecond)
	} else {
		m.Hello = &wire.Hello{DataCentre: s.self.DataCentre, Addr: s.self.Addr, Control: s.self.Control}
	}
	if l.Confirmed != 0 {
		m.Confirmed = true
		m.AgeMS = uint64(now.Sub(l.Confirmed)/time.Millisecond) + 1
	}
	return m
}

func (s *State) forget(now boottime.Instant) {
	s.order = slices.DeleteFunc(s.order, func(p *peer) bool {
		if now.Sub(p.known) <= forgetAfter {
			return false
		}
		delete(s.peers, p.ID)
		return true
	})
}

func (s *State) live(now boottime.Instant, p *peer) bool {
	return p.heard != 0 && now.Sub(p.heard) <= s.silence()
}

// Size returns how many gateways may send to endpoints: this one and all that were
// known within the last minute.
func (s *State) Size() int { return 1 + len(s.order) }

// LivePeers returns how many peers are heard.
func (s *State) LivePeers(now boottime.Instant) int {
	n := 0
	for _, p := range s.order {
		if s.live(now, p) {
			n++
		}
	}
	return n
}

// InFlight adds up what live peers have at endpoints, by the low bits of their hashes.
func (s *State) InFlight(now boottime.Instant) map[uint32]int {
	sum := map[uint32]int{}
	for _, p := range s.order {
		if !s.live(now, p) {
			continue
		}
		for endpoint, requests := range p.status.InFlight {
			sum[endpoint] += int(requests)
		}
	}
	return sum
}

// ReaderRank returns the place of this gateway in the order in which the live ones read
// the store, 0 for the first. Those that stop are left out, and those whose last read has
// failed come after the others.
func (s *State) ReaderRank(now boottime.Instant, noStore bool) int {
	own, rank := s.self.weight(readerKey), 0
	for _, p := range s.order {
		if !s.live(now, p) || p.status.Stopping {
			continue
		}
		before := p.weight(readerKey) > own
		if p.status.StoreUnreadable != noStore {
			before = noStore
		}
		if before {
			rank++
		}
	}
	return rank
}

// MemberRank returns the place of this gateway among all known ones, live or not, in an
// order that all of them share: 0 for the first.
func (s *State) MemberRank(key uint64) int {
	own, rank := s.self.weight(key), 0
	for _, p := range s.order {
		if p.weight(key) > own {
			rank++
		}
	}
	return rank
}
