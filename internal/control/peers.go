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
	// joinTime is how long a starting process waits for a peer before it takes callers.
	joinTime = 1500 * time.Millisecond
	// joinRetry is the time between two questions to the seeds until a peer is known.
	joinRetry = 300 * time.Millisecond
	// joinAgain is the time between two later questions, which find members that this
	// part of the fleet has lost.
	joinAgain = 10 * time.Second
	// maxPullBytes is how much a peer is asked for. What is larger, as a configuration is,
	// comes from the store: it has the bandwidth for the whole fleet, and a peer has not.
	maxPullBytes = 8 << 10
	// maxNewsBytes is what of the latest changes fits a Status beside the rest of it.
	maxNewsBytes = 700
	// relayGain is how much more recent a Status must make what is known, for the Status
	// to be passed on.
	relayGain = 100 * time.Millisecond
	// unknownFleet is the size assumed before any peer is known: the shares of a fleet
	// that large are of no use to this process and of no harm to others.
	unknownFleet = 400
)

// joining is how far this process has come in finding its peers.
type joining struct {
	since    boottime.Instant // of the process
	asked    boottime.Instant
	answered bool
	stranger bool // an unknown gateway has sent a message: the seeds know it
}

// over tells whether the process knows its peers, or has waited long enough.
func (j *joining) over(now boottime.Instant) bool {
	return j.answered || now.Sub(j.since) >= joinTime
}

func (s *State) tickJoining(now boottime.Instant) {
	j := &s.joined
	if s.opts.SeedCount == 0 {
		j.answered = true
		return
	}
	pause := joinAgain
	if !j.answered || j.stranger {
		pause = joinRetry
	}
	if j.asked != 0 && now.Sub(j.asked) < pause {
		return
	}
	j.asked, j.stranger = now, false
	s.do(QuerySeeds{})
}

// SeedReplied takes the members that a seed knows.
func (s *State) SeedReplied(now boottime.Instant, members []mesh.Member) {
	s.joined.answered = true
	s.learn(now, members)
}

// Join takes a gateway that asks this one for its members.
func (s *State) Join(now boottime.Instant, m mesh.Member) { s.learn(now, []mesh.Member{m}) }

func (s *State) learn(now boottime.Instant, members []mesh.Member) {
	before := s.mesh.Size()
	s.mesh.AddMembers(now, members)
	if size := s.mesh.Size(); size != before {
		s.log(event.MembersLearned, "members", size)
	}
}

// Members returns all gateways that are known, this one among them.
func (s *State) Members() []mesh.Member { return s.mesh.Members() }

// logPeers writes a line for each peer that is lost, back or leaving.
func (s *State) logPeers(now boottime.Instant) {
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
	if !s.joined.answered {
		return unknownFleet
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
		s.joined.stranger = true
		return
	}
	s.loads.stale = true
	s.hearDown(now, m.FailureReports)
	before, age := s.mirror.Revision(), s.SnapshotAge(now)
	at, confirms := s.mesh.ConfirmedAt(now, m)
	confirms = confirms && m.Revision != 0
	if confirms {
		s.hear(now, at)
	}
	if m.Update != nil {
		s.takeItems(now, from, *m.Update)
	}
	if m.Revision > s.mirror.CoveredRevision() {
		s.pull(from, maxPullBytes)
	} else if confirms {
		s.settle(at, m.Revision)
		s.confirm(now, at)
	}
	if s.mirror.Revision() != before || age-s.SnapshotAge(now) > relayGain {
		s.send(s.mesh.Relay(now, from, s.local(now)))
	}
}

// pull asks a peer for what it knows and this process does not.
func (s *State) pull(from fleet.InstanceID, maxBytes int) {
	if m, ok := s.mesh.Member(from); ok {
		s.do(PullItems{From: from, Control: m.Control, After: s.mirror.CoveredRevision(), MaxBytes: maxBytes})
	}
}

// ItemsSince returns what was published after a revision, for a peer that pulls it.
func (s *State) ItemsSince(after fleet.Revision, maxBytes int) wire.StoreUpdate {
	u := s.mirror.Since(after)
	out := wire.StoreUpdate{Revision: u.Revision, Snapshot: u.Snapshot, After: after}
	size := 0
	for _, it := range u.Items {
		size += len(it.Key) + len(it.Value)
		out.Items = append(out.Items, wire.StoreItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	if size > maxBytes {
		out.TooLarge, out.Items = true, nil
	}
	return out
}

// PullDone takes what PullItems asked for.
func (s *State) PullDone(now boottime.Instant, from fleet.InstanceID, m wire.StoreUpdate) {
	s.takeItems(now, from, m)
}

func (s *State) takeItems(now boottime.Instant, from fleet.InstanceID, m wire.StoreUpdate) {
	covered := s.mirror.CoveredRevision()
	if m.Revision <= covered || !m.Snapshot && m.After > covered {
		return
	}
	if m.TooLarge {
		s.wantRead(now, from)
		return
	}
	u := published.Update{Revision: m.Revision, Snapshot: m.Snapshot, Coalesced: true}
	for _, it := range m.Items {
		u.Items = append(u.Items, published.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	s.apply(now, u)
	s.unsettled = 0
}

// newsFrom returns the changes after a revision for peers, if they fit a Status.
func (s *State) newsFrom(after fleet.Revision) *wire.StoreUpdate {
	if after == 0 || after == s.mirror.Revision() {
		return nil
	}
	items := s.ItemsSince(after, maxNewsBytes)
	if items.TooLarge || items.Snapshot {
		return nil
	}
	return &items
}

// local is what peers are told.
func (s *State) local(now boottime.Instant) mesh.LocalStatus {
	return mesh.LocalStatus{
		Revision:        s.told(now),
		Confirmed:       s.belief.confirmed,
		Stopping:        s.stopping,
		StoreUnreadable: s.reader.noStore(now),
		InFlight:        s.ownInFlight(),
		FailureReports:  s.ownDown(now),
		RecentChanges:   s.news,
		Version:         s.loads.version,
	}
}
