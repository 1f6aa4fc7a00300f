package mesh

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// minStatusInterval is the minimum time between two Status messages to one peer. In a small
	// deployment, an endpoint receives one or two requests in this time, so a peer's in-flight
	// counts are out of date by no more than that.
	minStatusInterval = 120 * time.Millisecond
	// smallFleetSize is the fleet size up to which the interval is minStatusInterval.
	smallFleetSize = 12
	// statusIntervalPerPeer limits a gateway in a fleet larger than smallFleetSize to 33 Status
	// messages per second. With 120 bytes each, including the headers of UDP and IP, these are
	// 4 KB/s. Of a limit of 5 KB/s of control traffic per gateway, a fifth remains for broadcasts
	// of changes.
	statusIntervalPerPeer = 30 * time.Millisecond
	// minIdleInterval is the minimum time between two Status messages to one peer without a
	// change.
	minIdleInterval = 500 * time.Millisecond
	// downAfterIdleIntervals is the number of idle intervals without a message after which a
	// peer counts as down.
	downAfterIdleIntervals = 4
	// downPeerInterval is the time between two Status messages to a peer that is down.
	downPeerInterval = time.Second
	// memberRetention is how long a peer that is down stays a member: it counts as a possible
	// sender to endpoints, and is sent a Status at downPeerInterval.
	memberRetention = time.Minute
	// readerHashKey is the rendezvous hashing key for the order of the store's readers.
	readerHashKey = 0x5f3759df
)

// Member is a gateway of the fleet.
type Member struct {
	ID          fleet.InstanceID   `json:"id"`
	DataCentre  fleet.DataCentreID `json:"data_centre"`
	Addr        string             `json:"peer_addr"`    // UDP IP:port
	ControlAddr string             `json:"control_addr"` // HTTP IP:port
	CPUMillis   uint32             `json:"cpu_millis"`   // processor share in thousandths of a core, 0: unknown
}

// Outgoing is a message to be sent to a peer.
type Outgoing struct {
	To      fleet.InstanceID
	Addr    string
	Message wire.Message
}

// LocalStatus is the part of a Status that the caller provides.
type LocalStatus struct {
	Revision        fleet.Revision
	Confirmed       boottime.Instant // when the copy of the store was last confirmed to be current; zero: never
	Stopping        bool
	StoreUnreadable bool // a read of the store has failed recently
	InFlight        wire.Counts
	Failed          wire.Counts // recent failures of endpoints
	FailureReports  []wire.FailureReport
	RecentChanges   *wire.StoreUpdate // sent by Broadcast and Relay; nil: there are none, or they don't fit in a Status
	Version         uint64            // rises with each change of a field above, except Confirmed
}

type peer struct {
	Member
	hash         uint64           // of the ID
	added        boottime.Instant // when it became a member
	lastKnown    boottime.Instant // when it was added or last received from
	lastReceived boottime.Instant // when its last Status arrived; zero: never
	status       wire.Status      // the last one received
	lastSent     boottime.Instant
	sentVersion  uint64 // LocalStatus.Version of the last Status sent to it
	summary      summary
	nextOffset   int // index of the first count of the next summary sent to it

	watchedSince boottime.Instant // since when regular messages are expected from it, see watches; 0: they are not
	aggregator   bool             // as of State.roles
	unresponsive bool             // it was watched and silent; cleared by its next Status

	reportedSuspected   bool              // reported as Suspected, and not as Recovered since
	reportedStopping    bool              // reported as Stopping
	incarnation         fleet.Incarnation // random number of its process, not ordered
	previousIncarnation fleet.Incarnation // of its previous process
}

// State holds the members and the last Status of each. See the package comment.
type State struct {
	self          *peer // this gateway; not in peers
	start         boottime.Instant
	baseTimestamp uint64 // random timestamp of the start
	peers         map[fleet.InstanceID]*peer
	sortedPeers   []*peer // the values of peers, sorted by ID
	roles         *roles  // nil: to be computed
	endpoints     endpointIndex
	sentCounts    []sentCounts // of the latest Status messages, oldest first
}

// timestampBits is the size of the random first timestamp of a process, in milliseconds. It keeps
// an echo of an earlier process's timestamp from being taken for one of the current process: such
// an echo falls within the range that the current process issues in its first minute with a
// probability of 60000/2^timestampBits, about 3 in 100,000.
const timestampBits = 31

// New returns the state of a gateway without members. The seed must differ between consecutive
// processes of one gateway.
func New(now boottime.Instant, self Member, randomSeed uint64) *State {
	return &State{self: newPeer(self, now), start: now, baseTimestamp: 1 + randomSeed>>(64-timestampBits), peers: map[fleet.InstanceID]*peer{}}
}

func newPeer(m Member, lastKnown boottime.Instant) *peer {
	return &peer{Member: m, hash: fleet.Hash(string(m.ID)), added: lastKnown, lastKnown: lastKnown}
}

// weight returns the rendezvous hashing weight of a gateway for a key. All gateways compute the
// same weights.
func (p *peer) weight(key uint64) uint64 { return fleet.Weight(key, p.hash) }

// timestamp returns the time on this gateway's clock in the form that peers echo.
func (s *State) timestamp(now boottime.Instant) uint64 {
	return s.baseTimestamp + uint64(now.Sub(s.start)/time.Millisecond)
}

// AddMembers adds members, or updates the addresses of those that are known.
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
		if p.Member != m {
			p.Member = m
			s.roles = nil
		}
	}
}

func (s *State) add(p *peer) {
	s.roles = nil
	s.peers[p.ID] = p
	s.sortedPeers = append(s.sortedPeers, p)
	slices.SortFunc(s.sortedPeers, func(a, b *peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// Member returns a member by ID, and whether it is known.
func (s *State) Member(id fleet.InstanceID) (Member, bool) {
	p := s.peers[id]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}

// Members returns all known members, including this gateway.
func (s *State) Members() []Member {
	ms := []Member{s.self.Member}
	for _, p := range s.sortedPeers {
		ms = append(ms, p.Member)
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

// Receive handles a peer's Status. It returns false if the sender is not a member and the
// Status has no Hello with its address: the caller must then query a seed.
func (s *State) Receive(now boottime.Instant, from fleet.InstanceID, inc fleet.Incarnation, m wire.Status) bool {
	if h := m.Hello; h != nil && s.peers[from] == nil {
		s.AddMembers(now, []Member{{ID: from, DataCentre: h.DataCentre, Addr: h.Addr, ControlAddr: h.Control, CPUMillis: h.CPUMillis}})
	}
	p := s.peers[from]
	if p == nil {
		return false
	}
	if inc == p.previousIncarnation || inc == p.incarnation && m.Timestamp < p.status.Timestamp {
		return true // from the previous process, or older than the last Status received
	}
	if inc != p.incarnation {
		p.previousIncarnation, p.incarnation = p.incarnation, inc
	}
	if p.unresponsive || p.status.Stopping != m.Stopping {
		s.roles = nil
	}
	p.unresponsive = false
	p.status = m
	p.lastReceived = now
	p.lastKnown = now
	s.receiveSummary(now, p, m)
	return true
}

// ConfirmedAt returns the time, on this gateway's clock, at which the sender of a Status had a
// confirmed copy of the store. It returns false if the Status is not sufficient to determine
// it. The time is a lower bound: the Status echoes a timestamp of this gateway and the time since
// the sender received it, so that network delays only make the result older.
func (s *State) ConfirmedAt(now boottime.Instant, m wire.Status) (boottime.Instant, bool) {
	if !m.Confirmed || m.Echo < s.baseTimestamp || m.Echo > s.timestamp(now) {
		return 0, false
	}
	sentAt := s.start.Add(milliseconds(m.Echo-s.baseTimestamp) + milliseconds(m.EchoAgeMS))
	if now.Before(sentAt) {
		return 0, false
	}
	return sentAt.Add(-milliseconds(m.ConfirmedAgeMS)), true
}

// maxMilliseconds bounds durations in received messages.
const maxMilliseconds = 1 << 40

func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxMilliseconds)) * time.Millisecond
}

// Tick removes expired members and returns the Status messages that are due.
func (s *State) Tick(now boottime.Instant, l LocalStatus) []Outgoing {
	s.removeExpired(now)
	s.watchPeers(now)
	var all *sums
	var out []Outgoing
	for _, p := range s.sortedPeers {
		if now.Sub(p.lastSent) < s.sendInterval(now, p, l) {
			continue
		}
		p.lastSent = now
		p.sentVersion = l.Version
		m := s.status(now, p, l)
		if s.watches(p) && !p.unresponsive {
			if all == nil {
				all = s.computeSums(now, l)
			}
			m.Summary = s.nextPart(p, all)
			m.FailureReports = s.forwardedFailures(now, p, l.FailureReports)
		}
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: m})
	}
	return out
}

// Broadcast returns Status messages with the recent changes for the whole fleet: for each live
// peer of a small fleet, otherwise for the live peers of this gateway's data centre and the
// aggregators of the others. Without a change since the last Broadcast (changed is false), only the
// aggregators of a large fleet are sent a Status; theirs soon follow to the others.
func (s *State) Broadcast(now boottime.Instant, l LocalStatus, changed bool) []Outgoing {
	if !s.aggregated() {
		return s.statusesWithChanges(now, l, func(*peer) bool { return true })
	}
	return s.statusesWithChanges(now, l, func(p *peer) bool {
		return changed && p.DataCentre == s.self.DataCentre || s.isAggregator(p)
	})
}

// Relay returns the Status messages that forward changes received from another data centre to
// the live peers of this gateway's data centre. It returns none if this gateway is not an aggregator.
func (s *State) Relay(now boottime.Instant, from fleet.InstanceID, l LocalStatus) []Outgoing {
	p := s.peers[from]
	if !s.aggregated() || p == nil || p.DataCentre == s.self.DataCentre || !s.isAggregator(s.self) {
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
		m.Update = l.RecentChanges
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: m})
	}
	return out
}

func (s *State) status(now boottime.Instant, p *peer, l LocalStatus) wire.Status {
	s.rememberCounts(now, l.InFlight)
	m := wire.Status{
		Timestamp:       s.timestamp(now),
		Revision:        l.Revision,
		Stopping:        l.Stopping,
		StoreUnreadable: l.StoreUnreadable,
		InFlight:        l.InFlight,
		Failed:          l.Failed,
		FailureReports:  l.FailureReports,
	}
	if p.lastReceived != 0 {
		m.Echo = p.status.Timestamp
		m.EchoAgeMS = uint64(now.Sub(p.lastReceived) / time.Millisecond)
	} else {
		m.Hello = &wire.Hello{DataCentre: s.self.DataCentre, Addr: s.self.Addr, Control: s.self.ControlAddr, CPUMillis: s.self.CPUMillis}
	}
	if l.Confirmed != 0 {
		m.Confirmed = true
		m.ConfirmedAgeMS = uint64(now.Sub(l.Confirmed)/time.Millisecond) + 1
	}
	return m
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
