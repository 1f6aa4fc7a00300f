package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/msgauth"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// joinTimeout is how long a starting process waits for a seed's reply before it may become ready
	// without one.
	joinTimeout = 1500 * time.Millisecond
	// firstQueryInterval is the time between two queries to the seeds until one has replied.
	firstQueryInterval = 100 * time.Millisecond
	// joinRetryInterval is the time between two queries after a message from an unknown peer.
	joinRetryInterval = 300 * time.Millisecond
	// joinQueryInterval is the time between two queries within joinPeriod after the start of the process. When
	// many gateways start together, the first lists of the seeds are incomplete and differ.
	joinQueryInterval = time.Second
	joinPeriod        = 4 * time.Second
	// unprovenQueryInterval is the time between two queries until a seed has named the keys of the content.
	unprovenQueryInterval = 2 * time.Second
	// seedRefreshInterval is the time between two queries after a seed has replied. These queries
	// repair a split membership, in which two sets of gateways are unknown to each other.
	seedRefreshInterval = 10 * time.Second
	// maxStatusChangesBytes bounds the recent changes in a Status, so that the whole Status fits
	// into one datagram.
	maxStatusChangesBytes = 700
	// minRelayImprovement is the reduction of the snapshot age above which a received Status is
	// relayed.
	minRelayImprovement = 100 * time.Millisecond
	// assumedFleetSize is the fleet size assumed before a seed has replied. It makes the process's
	// shares of fleet-wide limits negligible, so that the limits hold for any actual fleet size.
	assumedFleetSize = 400
)

// joinState is the progress of discovering the other gateways.
type joinState struct {
	processStart boottime.Instant // start of the process
	lastQuery    boottime.Instant
	seedReplied  bool
	unknownPeer  bool // an unknown gateway has sent a message; the seeds may list it as a member
}

// done reports whether discovery has completed or timed out.
func (j *joinState) done(now boottime.Instant) bool {
	return j.seedReplied || now.Sub(j.processStart) >= joinTimeout
}

// tickJoining queries the seeds if a query is due.
func (s *State) tickJoining(now boottime.Instant) {
	j := &s.join
	if s.opts.SeedCount == 0 {
		j.seedReplied = true
		return
	}
	interval := seedRefreshInterval
	switch {
	case !j.seedReplied:
		interval = firstQueryInterval
	case j.unknownPeer:
		interval = joinRetryInterval
	case now.Sub(j.processStart) < joinPeriod:
		interval = joinQueryInterval
	case s.unproven():
		interval = unprovenQueryInterval
	}
	if j.lastQuery != 0 && now.Sub(j.lastQuery) < interval {
		return
	}
	j.lastQuery, j.unknownPeer = now, false
	s.emit(QuerySeeds{All: !j.seedReplied})
}

// SeedReplied adds the members that a seed listed in its reply.
func (s *State) SeedReplied(now boottime.Instant, members []mesh.Member) {
	s.join.seedReplied = true
	s.addMembers(now, members)
}

// SeedQueried adds a gateway that queried this one as a seed.
func (s *State) SeedQueried(now boottime.Instant, m mesh.Member) {
	s.proveAsSeed(now)
	s.addMembers(now, []mesh.Member{m})
}

func (s *State) addMembers(now boottime.Instant, members []mesh.Member) {
	before := s.mesh.Size()
	s.mesh.AddMembers(now, members)
	if size := s.mesh.Size(); size != before {
		s.log(event.MembersLearned, "members", size)
	}
}

// Members returns all known gateways, including this one.
func (s *State) Members() []mesh.Member { return s.mesh.Members() }

// MemberList returns Members as the reply to a query of another gateway.
func (s *State) MemberList(now boottime.Instant) []mesh.Member { return s.mesh.MemberList(now) }

// LocalPeers returns the number of other gateways in this gateway's data centre.
func (s *State) LocalPeers() int { return s.mesh.LocalPeers() }

// MembersDigest returns a digest of Members that does not depend on their order.
func (s *State) MembersDigest() uint64 { return s.mesh.MembersDigest() }

// logPeerTransitions logs each peer that is suspected, has recovered or is leaving.
func (s *State) logPeerTransitions(now boottime.Instant) {
	for _, t := range s.mesh.Transitions(now) {
		switch t.Change {
		case mesh.Suspected:
			s.log(event.PeerSuspected, "peer", t.Peer, "silent_ms", t.SilentFor.Milliseconds(), "stopping", t.Stopping, "live", s.mesh.LivePeers(now))
		case mesh.Recovered:
			s.log(event.PeerRecovered, "peer", t.Peer, "live", s.mesh.LivePeers(now))
		case mesh.Stopping:
			s.log(event.PeerLeaving, "peer", t.Peer)
		}
	}
}

// logAggregators logs a change of the aggregators of this gateway's data centre.
func (s *State) logAggregators() {
	aggregators := s.mesh.LocalAggregators()
	if slices.Equal(aggregators, s.loggedAggregators) {
		return
	}
	s.loggedAggregators = aggregators
	s.log(event.AggregatorsChanged, "aggregators", aggregators, "self", s.mesh.IsAggregator(), "members", s.mesh.Size())
}

// fleetSize returns the number of gateways among which fleet-wide limits are divided.
func (s *State) fleetSize() int {
	if !s.join.seedReplied {
		return assumedFleetSize
	}
	return s.mesh.Size()
}

// Receive handles a message from a peer. Messages of routers are ignored.
func (s *State) Receive(now boottime.Instant, from fleet.InstanceID, inc fleet.Incarnation, m wire.Message) {
	switch m := m.(type) {
	case wire.Status:
		s.onStatus(now, from, inc, m)
	case wire.StreamOrigins:
		s.receiveOrigins(now, from, m)
	case wire.OriginQuery:
		s.answerOriginQuery(now, from, m)
	case wire.OriginReply:
		s.receiveOriginReply(now, from, m)
	case wire.CrashEvidence:
		s.receiveCrashEvidence(now, msgauth.Process{ID: from, Incarnation: inc}, m)
	}
}

// onStatus applies a peer's Status. If that changes or renews the local snapshot, it is relayed.
func (s *State) onStatus(now boottime.Instant, from fleet.InstanceID, inc fleet.Incarnation, m wire.Status) {
	if !s.mesh.Receive(now, from, inc, m) {
		s.join.unknownPeer = true
		return
	}
	s.peerLoads.stale, s.backlog.stale = true, true
	s.askForEvidence(now)
	s.receiveFailureReports(now, m.FailureReports)
	if !s.follows(from, m.Revision) {
		return
	}
	before, age := s.mirror.Revision(), s.SnapshotAge(now)
	at, confirms := s.mesh.ConfirmedAt(now, m)
	confirms = confirms && m.Revision != 0
	s.freshness.peersEra = max(s.freshness.peersEra, published.EraOf(m.Revision))
	if confirms {
		s.noteStoreResponse(now, at)
	}
	if m.Update != nil && m.Update.Revision > s.mirror.CoveredRevision() && s.acceptsUpdate(now, from, m.Update) {
		s.applyUpdate(now, from, *m.Update)
	}
	if m.Revision > s.mirror.CoveredRevision() || s.needsSnapshot(from, m) {
		s.catchUp(now, from)
	} else if confirms {
		s.lowerRevision(at, m.Revision)
		s.noteMirrorConfirmed(now, at)
	}
	s.pullRecords(now, from)
	// In a large fleet, the next summary carries a renewed age.
	renewed := age-s.SnapshotAge(now) > minRelayImprovement && !s.mesh.Aggregated()
	if s.mirror.Revision() != before || renewed {
		s.send(s.mesh.Relay(now, from, s.localStatus(now)))
	}
}

// changesForStatus returns the changes after a revision for the next Status, or nil if there are none, they are too
// large, or a configuration is among them: it holds the callers' API keys, and anyone can become a member. Members
// pull it.
func (s *State) changesForStatus(after fleet.Revision) *wire.StoreUpdate {
	if after == 0 || after == s.mirror.Revision() {
		return nil
	}
	update := s.ItemsSince(after, maxStatusChangesBytes)
	if update.TooLarge || update.Snapshot || slices.ContainsFunc(update.Items, s.isConfig) {
		return nil
	}
	return &update
}

// isConfig reports whether an item is a configuration, readable or not.
func (s *State) isConfig(it wire.StoreItem) bool {
	return isConfigRecord(s.opts.Protocol.DecodeItem(itemOf(&it)))
}

// isConfigRecord reports whether a decoded item is a configuration. Of the items that cannot be read, all are but endpoints.
func isConfigRecord(record published.Record, err error) bool {
	if err != nil {
		_, endpoint := record.(published.EndpointGone)
		return !endpoint
	}
	_, config := record.(published.Config)
	return config
}

// localStatus returns the status of this process that is sent to peers.
func (s *State) localStatus(now boottime.Instant) mesh.LocalStatus {
	return mesh.LocalStatus{
		Revision:        s.advertisedRevision(now),
		Confirmed:       s.freshness.confirmedAt,
		Stopping:        s.stopping,
		StoreUnreadable: s.reader.failedRecently(now),
		InFlight:        s.ownInFlight(),
		Failed:          s.ownFailed(now),
		FailureReports:  s.ownFailureReports(now),
		RecentChanges:   s.signedChanges(now),
		Backlog:         s.ownBacklog(now),
		Version:         s.peerLoads.statusVersion,
	}
}
