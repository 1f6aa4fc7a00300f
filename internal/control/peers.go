package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// joinTimeout is how long a starting process waits for a peer before it takes callers.
	joinTimeout = 1500 * time.Millisecond
	// joinRetryInterval is the time between two questions to the seeds until a peer is known.
	joinRetryInterval = 300 * time.Millisecond
	// seedRefreshInterval is the time between two later questions, which find members that this
	// part of the fleet has lost.
	seedRefreshInterval = 10 * time.Second
	// maxPullBytes is how much a peer is asked for. What is larger, as a configuration is,
	// comes from the store: it has the bandwidth for the whole fleet, and a peer has not.
	maxPullBytes = 8 << 10
	// maxStatusChangesBytes is what of the latest changes fits a Status beside the rest of it.
	maxStatusChangesBytes = 700
	// minRelayImprovement is how much more recent a Status must make what is known, for the Status
	// to be passed on.
	minRelayImprovement = 100 * time.Millisecond
	// assumedFleetSize is the size assumed before any peer is known: the shares of a fleet
	// that large are of no use to this process and of no harm to others.
	assumedFleetSize = 400
)

// joinState is how far this process has come in finding its peers.
type joinState struct {
	processStart boottime.Instant // of the process
	lastQuery    boottime.Instant
	seedReplied  bool
	unknownPeer  bool // an unknown gateway has sent a message: the seeds know it
}

// over tells whether the process knows its peers, or has waited long enough.
func (j *joinState) done(now boottime.Instant) bool {
	return j.seedReplied || now.Sub(j.processStart) >= joinTimeout
}

func (s *State) tickJoining(now boottime.Instant) {
	j := &s.join
	if s.opts.SeedCount == 0 {
		j.seedReplied = true
		return
	}
	interval := seedRefreshInterval
	if !j.seedReplied || j.unknownPeer {
		interval = joinRetryInterval
	}
	if j.lastQuery != 0 && now.Sub(j.lastQuery) < interval {
		return
	}
	j.lastQuery, j.unknownPeer = now, false
	s.emit(QuerySeeds{})
}

// SeedReplied takes the members that a seed knows.
func (s *State) SeedReplied(now boottime.Instant, members []mesh.Member) {
	s.join.seedReplied = true
	s.addMembers(now, members)
}

// Join takes a gateway that asks this one for its members.
func (s *State) Join(now boottime.Instant, m mesh.Member) { s.addMembers(now, []mesh.Member{m}) }

func (s *State) addMembers(now boottime.Instant, members []mesh.Member) {
	before := s.mesh.Size()
	s.mesh.AddMembers(now, members)
	if size := s.mesh.Size(); size != before {
		s.log(event.MembersLearned, "members", size)
	}
}

// Members returns all gateways that are known, this one among them.
func (s *State) Members() []mesh.Member { return s.mesh.Members() }

// logPeerTransitions writes a line for each peer that is lost, back or leaving.
func (s *State) logPeerTransitions(now boottime.Instant) {
	for _, t := range s.mesh.Transitions(now) {
		switch t.Change {
		case mesh.Suspected:
			s.log(event.PeerSuspected, "peer", t.Peer, "silent_ms", t.SilentFor.Milliseconds(), "stopping", t.Stopping, "live", s.mesh.LivePeers(now))
		case mesh.Recovered:
			s.log(event.PeerRecovered, "peer", t.Peer, "live", s.mesh.LivePeers(now))
		case mesh.Leaving:
			s.log(event.PeerLeaving, "peer", t.Peer)
		}
	}
}

// fleetSize is the number of gateways that may send to the same endpoints.
func (s *State) fleetSize() int {
	if !s.join.seedReplied {
		return assumedFleetSize
	}
	return s.mesh.Size()
}

// Receive takes a message of a peer.
func (s *State) Receive(now boottime.Instant, from fleet.InstanceID, inc fleet.Incarnation, m wire.Message) {
	if st, ok := m.(wire.Status); ok {
		s.onStatus(now, from, inc, st)
	}
}

func (s *State) onStatus(now boottime.Instant, from fleet.InstanceID, inc fleet.Incarnation, m wire.Status) {
	if !s.mesh.Receive(now, from, inc, m) {
		s.join.unknownPeer = true
		return
	}
	s.peerLoads.stale = true
	s.receiveFailureReports(now, m.Down)
	before, age := s.mirror.Revision(), s.SnapshotAge(now)
	at, confirms := s.mesh.ConfirmedAt(now, m)
	confirms = confirms && m.Revision != 0
	if confirms {
		s.noteStoreAnswer(now, at)
	}
	if m.News != nil {
		s.applyItems(now, from, *m.News)
	}
	if m.Revision > s.mirror.Covered() {
		s.pull(from, maxPullBytes)
	} else if confirms {
		s.settleRevision(at, m.Revision)
		s.noteConfirmed(now, at)
	}
	if s.mirror.Revision() != before || age-s.SnapshotAge(now) > minRelayImprovement {
		s.send(s.mesh.Relay(now, from, s.localStatus(now)))
	}
}

// pull asks a peer for what it knows and this process does not.
func (s *State) pull(from fleet.InstanceID, maxBytes int) {
	if m, ok := s.mesh.Member(from); ok {
		s.emit(PullItems{From: from, Control: m.Control, After: s.mirror.Covered(), MaxBytes: maxBytes})
	}
}

// ItemsSince returns what was published after a revision, for a peer that pulls it.
func (s *State) ItemsSince(after fleet.Revision, maxBytes int) wire.Items {
	u := s.mirror.Since(after)
	out := wire.Items{Revision: u.Revision, Whole: u.Whole, After: after}
	size := 0
	for _, it := range u.Items {
		size += len(it.Key) + len(it.Value)
		out.Items = append(out.Items, wire.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	if size > maxBytes {
		out.TooLarge, out.Items = true, nil
	}
	return out
}

// PullDone takes what PullItems asked for.
func (s *State) PullDone(now boottime.Instant, from fleet.InstanceID, m wire.Items) {
	s.applyItems(now, from, m)
}

func (s *State) applyItems(now boottime.Instant, from fleet.InstanceID, m wire.Items) {
	covered := s.mirror.Covered()
	if m.Revision <= covered || !m.Whole && m.After > covered {
		return
	}
	if m.TooLarge {
		s.scheduleOnDemandRead(now, from)
		return
	}
	u := published.Update{Revision: m.Revision, Whole: m.Whole, Gaps: true}
	for _, it := range m.Items {
		u.Items = append(u.Items, published.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	s.apply(now, u)
	s.listedAt = 0
}

// changesForStatus returns the changes after a revision for peers, if they fit a Status.
func (s *State) changesForStatus(after fleet.Revision) *wire.Items {
	if after == 0 || after == s.mirror.Revision() {
		return nil
	}
	items := s.ItemsSince(after, maxStatusChangesBytes)
	if items.TooLarge || items.Whole {
		return nil
	}
	return &items
}

// localStatus is what peers are told.
func (s *State) localStatus(now boottime.Instant) mesh.LocalStatus {
	return mesh.LocalStatus{
		Revision:        s.advertisedRevision(now),
		Confirmed:       s.freshness.confirmed,
		Stopping:        s.stopping,
		StoreUnreadable: s.reader.failedRecently(now),
		InFlight:        s.ownInFlight(),
		FailureReports:  s.ownFailureReports(now),
		RecentChanges:   s.recentChanges,
		Version:         s.peerLoads.statusVersion,
	}
}
