package control

import (
	"maps"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
)

// fleetBacklog is the outstanding work and the speed of endpoints, and the requests in flight of workspaces, as this process
// and its peers know them.
type fleetBacklog struct {
	tracker        *backlog.Tracker
	refreshedAt    boottime.Instant
	stale          bool           // a peer's status has arrived since the last refresh
	ownWorkspaces  map[uint32]int // as set by SetWorkspaceLoads
	peerWorkspaces map[uint32]int
}

// backlogRefreshInterval is the time after which what peers have reported is read again although none has sent anything: it
// expires.
const backlogRefreshInterval = time.Second

// outdated reports whether what peers have reported must be read again.
func (b *fleetBacklog) outdated(now boottime.Instant) bool {
	return b.stale || now.Sub(b.refreshedAt) >= backlogRefreshInterval
}

// refreshBacklog takes in what peers have reported.
func (s *State) refreshBacklog(now boottime.Instant) {
	b := &s.backlog
	if !b.outdated(now) {
		return
	}
	b.stale, b.refreshedAt = false, now
	reported := s.mesh.Backlog(now)
	addPeerBacklog(now, b.tracker, &reported)
	b.peerWorkspaces = reported.Workspaces
}

func addPeerBacklog(now boottime.Instant, t *backlog.Tracker, reported *mesh.Backlog) {
	for endpoint, speed := range reported.Speeds {
		t.PeerSpeed(now, endpoint, int(speed.Percent), now.Sub(speed.At))
	}
	t.PeerReads(now, reported.Reads)
}

// peekBacklog returns what refreshBacklog would result in, without effects. The caller must not change it.
func (s *State) peekBacklog(now boottime.Instant) *backlog.Tracker {
	if !s.backlog.outdated(now) {
		return s.backlog.tracker
	}
	t, reported := s.backlog.tracker.Clone(), s.mesh.Backlog(now)
	addPeerBacklog(now, t, &reported)
	return t
}

// backlogOf returns the outstanding work and the speed of an endpoint.
func (s *State) backlogOf(now boottime.Instant, e *endpoint) backlog.State {
	s.refreshBacklog(now)
	return s.backlog.tracker.Endpoint(now, e.shortID())
}

// EndpointBacklog returns the outstanding work and the speed of an endpoint, and whether the endpoint is known.
func (s *State) EndpointBacklog(now boottime.Instant, id fleet.EndpointID) (backlog.State, bool) {
	e := s.endpoints[id]
	if e == nil {
		return backlog.State{Speed: 1}, false
	}
	return s.backlogOf(now, e), true
}

// reportSpeed records the speed that an endpoint reported, 0: none.
func (s *State) reportSpeed(now boottime.Instant, e *endpoint, percent int) {
	if percent == 0 {
		return
	}
	s.refreshBacklog(now)
	if s.backlog.tracker.ReportSpeed(now, e.shortID(), percent) {
		s.peerLoads.statusVersion++
	}
}

// PromptSent records that the prompt of an attempt is expected to take a time to prefill at its endpoint. It counts there until
// PromptRead or AttemptEnded.
func (s *State) PromptSent(now boottime.Instant, a *Attempt, read time.Duration) {
	if !a.endpoint.attempts[a] {
		return // it has ended
	}
	s.backlog.tracker.Sent(now, a.endpoint.shortID(), a, read)
	s.peerLoads.statusVersion++
}

// PromptRead records that the first event of an attempt has arrived.
func (s *State) PromptRead(now boottime.Instant, a *Attempt) { s.backlog.tracker.Begun(now, a) }

// SetWorkspaceLoads sets the requests in flight of workspaces at this process, by the low 32 bits of fleet.Hash of the
// workspace's ID. They are sent to peers until they are set to nil: they must be nil unless a service has been contended or
// queued requests lately. The map must not be changed afterwards.
func (s *State) SetWorkspaceLoads(loads map[uint32]int) {
	if (loads == nil) != (s.backlog.ownWorkspaces == nil) {
		s.peerLoads.statusVersion++
	}
	s.backlog.ownWorkspaces = loads
}

// WorkspaceLoads returns the requests in flight of workspaces over the fleet, as far as gateways that have seen contention or queues lately
// report them, with those of this process. It returns nil if there are none.
func (s *State) WorkspaceLoads(now boottime.Instant) map[uint32]int {
	s.refreshBacklog(now)
	if len(s.backlog.ownWorkspaces)+len(s.backlog.peerWorkspaces) == 0 {
		return nil
	}
	sum := make(map[uint32]int, len(s.backlog.peerWorkspaces))
	maps.Copy(sum, s.backlog.peerWorkspaces)
	for workspace, n := range s.backlog.ownWorkspaces {
		sum[workspace] += n
	}
	return sum
}

// ownBacklog returns what this process reports to peers.
func (s *State) ownBacklog(now boottime.Instant) mesh.Backlog {
	s.refreshBacklog(now)
	return mesh.Backlog{
		Speeds:     s.backlog.tracker.OwnSpeeds(now),
		Reads:      s.backlog.tracker.OwnReads(),
		Workspaces: s.backlog.ownWorkspaces,
	}
}
