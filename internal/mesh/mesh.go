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
	// minStatusInterval is the least time between two Status messages to one peer. An engine of a
	// small deployment gets one or two requests in it.
	minStatusInterval = 120 * time.Millisecond
	// smallFleetSize is the size up to which the period stays at its least.
	smallFleetSize = 12
	// statusIntervalPerPeer bounds what a gateway of a large fleet sends to 33 messages a second:
	// 4 KB of Status messages of 120 bytes with the headers of UDP and IP, which leaves a
	// fifth of the control traffic that the target allows for news.
	statusIntervalPerPeer = 30 * time.Millisecond
	// minIdleInterval is the time between two Status messages to one peer that say nothing new.
	minIdleInterval = 500 * time.Millisecond
	// downAfterIdleIntervals is after how many quiet periods without a word a peer counts as down.
	downAfterIdleIntervals = 4
	// downPeerInterval is the time between two Status messages to a peer that is down.
	downPeerInterval = time.Second
	// memberRetention is for how long a peer that is down counts among those that may still
	// send to endpoints, and is tried again.
	memberRetention = time.Minute
	// directBroadcastFleetSize is the size up to which news goes to every peer directly. In larger
	// fleets it goes to the own data centre and to the relays of the others.
	directBroadcastFleetSize = 16
	// relaysPerDataCentre is how many gateways of a data centre pass on news from the others.
	relaysPerDataCentre = 2
	// readerHashKey orders the gateways for reading the store.
	readerHashKey = 0x5f3759df
	// relayHashKey orders the gateways of a data centre as relays.
	relayHashKey = 0x9e3779b9
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
	FailureReports  []wire.Down
	RecentChanges   *wire.Items // the latest changes, told in Spread and Relay; nil: none that fit
	Version         uint64      // rises when one of the fields above changes, but for Confirmed
}

type peer struct {
	Member
	hash         uint64           // of the ID
	lastKnown    boottime.Instant // when it was learned or last heard
	lastReceived boottime.Instant // zero: never
	status       wire.Status      // the last one
	lastSent     boottime.Instant
	sentVersion  uint64 // Version of what was sent

	reportedSuspected   bool              // told as lost, and not as back since
	reportedLeaving     bool              // told as stopping
	incarnation         fleet.Incarnation // a random number of its process
	previousIncarnation fleet.Incarnation // of the process before
}

// State is the membership and the last Status of each member. See the package comment.
type State struct {
	self        *peer // this gateway; it is not among the peers
	start       boottime.Instant
	baseStamp   uint64 // stamp at the start: no stamp of an earlier process lies after it
	peers       map[fleet.InstanceID]*peer
	sortedPeers []*peer // sorted by ID
}

// stampBits bounds the random first stamp of a process. Two processes of a gateway that
// follow each other draw overlapping stamps with a chance of a minute in 2^stampBits ms.
const stampBits = 31

// New returns the state of a gateway that knows nobody. The seed must differ between
// the processes of one gateway that follow each other.
func New(now boottime.Instant, self Member, seed uint64) *State {
	return &State{self: newPeer(self, now), start: now, baseStamp: 1 + seed>>(64-stampBits), peers: map[fleet.InstanceID]*peer{}}
}

func newPeer(m Member, lastKnown boottime.Instant) *peer {
	return &peer{Member: m, hash: fleet.Hash(string(m.ID)), lastKnown: lastKnown}
}

// weight ranks a gateway in an order that all share.
func (p *peer) weight(key uint64) uint64 { return fleet.Weight(key, p.hash) }

// stamp returns the time on this gateway's clock as peers echo it.
func (s *State) stamp(now boottime.Instant) uint64 {
	return s.baseStamp + uint64(now.Sub(s.start)/time.Millisecond)
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
	s.sortedPeers = append(s.sortedPeers, p)
	slices.SortFunc(s.sortedPeers, func(a, b *peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
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
	for _, p := range s.sortedPeers {
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
	if inc == p.previousIncarnation || inc == p.incarnation && m.Stamp < p.status.Stamp {
		return true // overtaken by a later one
	}
	if inc != p.incarnation {
		p.previousIncarnation, p.incarnation = p.incarnation, inc
	}
	p.status = m
	p.lastReceived = now
	p.lastKnown = now
	return true
}

// ConfirmedAt returns the time, on this gateway's clock, by which a peer knew everything
// that its Status claims to know, and whether the Status allows to tell.
func (s *State) ConfirmedAt(now boottime.Instant, m wire.Status) (boottime.Instant, bool) {
	if !m.Current || m.Echo < s.baseStamp || m.Echo > s.stamp(now) {
		return 0, false
	}
	sentAt := s.start.Add(milliseconds(m.Echo-s.baseStamp) + milliseconds(m.EchoAgeMs))
	if now.Before(sentAt) {
		return 0, false
	}
	return sentAt.Add(-milliseconds(m.AgeMs)), true
}

// maxMilliseconds bounds the durations that a message may carry.
const maxMilliseconds = 1 << 40

func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxMilliseconds)) * time.Millisecond
}

// StatusInterval is the least time between two Status messages to one peer, within which peers
// hear what this gateway has to tell.
func (s *State) StatusInterval() time.Duration {
	if s.Size() <= smallFleetSize {
		return minStatusInterval
	}
	return time.Duration(len(s.peers)) * statusIntervalPerPeer
}

// downTimeout is the time without a word after which a peer counts as down.
func (s *State) downTimeout() time.Duration { return downAfterIdleIntervals * s.idleInterval() }

// idleInterval is the time between two Status messages that say nothing new.
func (s *State) idleInterval() time.Duration { return max(minIdleInterval, s.StatusInterval()) }

// Tick returns the Status messages that are due.
func (s *State) Tick(now boottime.Instant, l LocalStatus) []Outgoing {
	s.removeExpired(now)
	var out []Outgoing
	for _, p := range s.sortedPeers {
		if now.Sub(p.lastSent) < s.sendInterval(now, p, l) {
			continue
		}
		p.lastSent = now
		p.sentVersion = l.Version
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: s.status(now, p, l)})
	}
	return out
}

// Broadcast returns a Status with the news for the whole fleet: directly for each live peer
// of a small one, else for the own data centre and the relays of the others.
func (s *State) Broadcast(now boottime.Instant, l LocalStatus) []Outgoing {
	direct := s.Size() <= directBroadcastFleetSize
	return s.statusesWithChanges(now, l, func(p *peer) bool {
		return direct || p.DataCentre == s.self.DataCentre || s.relayRank(now, p) < relaysPerDataCentre
	})
}

// Relay returns what this gateway passes on of the news from another data centre: a
// Status for each live peer of its own, if it is one of its relays.
func (s *State) Relay(now boottime.Instant, from fleet.InstanceID, l LocalStatus) []Outgoing {
	p := s.peers[from]
	if s.Size() <= directBroadcastFleetSize || p == nil || p.DataCentre == s.self.DataCentre || s.relayRank(now, s.self) >= relaysPerDataCentre {
		return nil
	}
	return s.statusesWithChanges(now, l, func(p *peer) bool { return p.DataCentre == s.self.DataCentre })
}

func (s *State) statusesWithChanges(now boottime.Instant, l LocalStatus, include func(*peer) bool) []Outgoing {
	var out []Outgoing
	for _, p := range s.sortedPeers {
		if !s.live(now, p) || !include(p) {
			continue
		}
		p.lastSent = now
		p.sentVersion = l.Version
		m := s.status(now, p, l)
		m.News = l.RecentChanges
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: m})
	}
	return out
}

// relayRank returns the place of a gateway among the live ones of its data centre.
func (s *State) relayRank(now boottime.Instant, gateway *peer) int {
	own, rank := gateway.weight(relayHashKey), 0
	if s.self.DataCentre == gateway.DataCentre && s.self.weight(relayHashKey) > own {
		rank++
	}
	for _, p := range s.sortedPeers {
		if p.DataCentre == gateway.DataCentre && s.live(now, p) && !p.status.Stopping && p.weight(relayHashKey) > own {
			rank++
		}
	}
	return rank
}

func (s *State) sendInterval(now boottime.Instant, p *peer, l LocalStatus) time.Duration {
	switch {
	case p.lastSent == 0:
		return 0
	case !s.live(now, p):
		return downPeerInterval
	case p.sentVersion != l.Version:
		return s.StatusInterval()
	default:
		return s.idleInterval()
	}
}

func (s *State) status(now boottime.Instant, p *peer, l LocalStatus) wire.Status {
	m := wire.Status{
		Stamp:    s.stamp(now),
		Revision: l.Revision,
		Stopping: l.Stopping,
		NoStore:  l.StoreUnreadable,
		InFlight: l.InFlight,
		Down:     l.FailureReports,
	}
	if p.lastReceived != 0 {
		m.Echo = p.status.Stamp
		m.EchoAgeMs = uint64(now.Sub(p.lastReceived) / time.Millisecond)
	} else {
		m.Hello = &wire.Hello{DataCentre: s.self.DataCentre, Addr: s.self.Addr, Control: s.self.Control}
	}
	if l.Confirmed != 0 {
		m.Current = true
		m.AgeMs = uint64(now.Sub(l.Confirmed)/time.Millisecond) + 1
	}
	return m
}

func (s *State) removeExpired(now boottime.Instant) {
	s.sortedPeers = slices.DeleteFunc(s.sortedPeers, func(p *peer) bool {
		if now.Sub(p.lastKnown) <= memberRetention {
			return false
		}
		delete(s.peers, p.ID)
		return true
	})
}

func (s *State) live(now boottime.Instant, p *peer) bool {
	return p.lastReceived != 0 && now.Sub(p.lastReceived) <= s.downTimeout()
}

// Size returns how many gateways may send to endpoints: this one and all that were
// known within the last minute.
func (s *State) Size() int { return 1 + len(s.sortedPeers) }

// LivePeers returns how many peers are heard.
func (s *State) LivePeers(now boottime.Instant) int {
	n := 0
	for _, p := range s.sortedPeers {
		if s.live(now, p) {
			n++
		}
	}
	return n
}

// InFlight adds up what live peers have at endpoints, by the low bits of their hashes.
func (s *State) InFlight(now boottime.Instant) map[uint32]int {
	sum := map[uint32]int{}
	for _, p := range s.sortedPeers {
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
	own, rank := s.self.weight(readerHashKey), 0
	for _, p := range s.sortedPeers {
		if !s.live(now, p) || p.status.Stopping {
			continue
		}
		readsBefore := p.weight(readerHashKey) > own
		if p.status.NoStore != noStore {
			readsBefore = noStore
		}
		if readsBefore {
			rank++
		}
	}
	return rank
}

// MemberRank returns the place of this gateway among all known ones, live or not, in an
// order that all of them share: 0 for the first.
func (s *State) MemberRank(key uint64) int {
	own, rank := s.self.weight(key), 0
	for _, p := range s.sortedPeers {
		if p.weight(key) > own {
			rank++
		}
	}
	return rank
}
