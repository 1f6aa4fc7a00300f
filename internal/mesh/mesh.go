package mesh

import (
	"slices"
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
)

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
	backlog      *backlogSum // of its last Status without a store update; nil: it had none
	nextOffset   int         // index of the first count of the next summary sent to it

	watchedSince boottime.Instant // since when regular messages are expected from it, see watches; 0: they are not
	aggregator   bool             // as of State.roles
	unresponsive bool             // it was watched and silent; cleared by its next Status

	reportedSuspected bool                // reported as Suspected, and not as Recovered since
	reportedStopping  bool                // reported as Stopping
	incarnation       fleet.Incarnation   // random number of its process, not ordered
	endedIncarnations []fleet.Incarnation // of its latest previous processes, oldest first
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
	sentCounts    []sentCounts     // of the latest Status messages, oldest first
	lastBacklog   *backlogSum      // the last one sent as this gateway's own
	backlogAt     boottime.Instant // when the last Backlog was received; 0: never
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
	if p.ended(now, inc) || inc == p.incarnation && m.Timestamp < p.status.Timestamp {
		return true // from a previous process, or older than the last Status received
	}
	if inc != p.incarnation {
		p.startIncarnation(inc)
		if !s.aggregated() || s.watches(p) {
			p.lastSent = 0 // the new process waits for a first Status
		}
	}
	if p.unresponsive || p.status.Stopping != m.Stopping {
		s.roles = nil
	}
	p.unresponsive = false
	p.status = m
	if m.Update == nil { // otherwise there is no place for a Backlog
		p.backlog = nil
		if m.Summary == nil {
			p.backlog = s.receiveBacklog(now, m.Backlog)
		}
	}
	p.lastReceived = now
	p.lastKnown = now
	s.receiveSummary(now, p, m)
	return true
}

const (
	// maxEndedIncarnations bounds the previous processes of a peer whose delayed messages are recognized.
	maxEndedIncarnations = 8
	// maxMessageDelay is the longest expected delay of a message.
	maxMessageDelay = time.Second
)

// ended reports whether an incarnation of a peer has ended. After two restarts in quick succession, messages
// of the last process may arrive before one of the process before it, which then seems to be the later one.
// So an incarnation counts as ended only while the one that replaced it sends messages, or could have.
func (p *peer) ended(now boottime.Instant, inc fleet.Incarnation) bool {
	return slices.Contains(p.endedIncarnations, inc) && now.Sub(p.lastReceived) <= maxMessageDelay
}

// startIncarnation records that a peer's process with another incarnation has started.
func (p *peer) startIncarnation(inc fleet.Incarnation) {
	p.endedIncarnations = slices.DeleteFunc(p.endedIncarnations, func(old fleet.Incarnation) bool { return old == inc })
	if len(p.endedIncarnations) == maxEndedIncarnations {
		p.endedIncarnations = slices.Delete(p.endedIncarnations, 0, 1)
	}
	if p.incarnation != 0 {
		p.endedIncarnations = append(p.endedIncarnations, p.incarnation)
	}
	p.incarnation = inc
	p.backlog = nil
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
