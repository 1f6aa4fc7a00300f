package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// maxPullBytes bounds the response to a pull from a peer that is not an aggregator of the same data
	// centre. Larger changes, such as a configuration, are read from the store, which has the bandwidth
	// to serve the whole fleet; a peer does not.
	maxPullBytes = 8 << 10
	// maxAggregatorPullBytes bounds the response to a pull from an aggregator of the same data centre,
	// which also limits it by the bandwidth of its link.
	maxAggregatorPullBytes = wire.MaxFrameBytes / 2
	// pullRetryInterval is the time in a large fleet after which another pull may start although the last
	// one has not ended.
	pullRetryInterval = 300 * time.Millisecond
	// aggregatorWait is how long a gateway of a large fleet that lacks changes waits for an aggregator
	// of its data centre before it pulls from any peer or, without any data, reads the store.
	aggregatorWait = 600 * time.Millisecond
	// seedWait is how long a process without any data waits for a seed, which tells whether the fleet is
	// large. When all gateways of a small fleet restart, the seeds may be the last ones.
	seedWait = 150 * time.Millisecond
)

// pullState is the progress of catching up with peers.
type pullState struct {
	startedAt   boottime.Instant // start of the pull in progress; 0: none
	behindSince boottime.Instant // when a peer first reported changes that the mirror lacks; 0: none
}

func publishedItems(items []wire.StoreItem) []published.Item {
	var out []published.Item
	for i := range items {
		out = append(out, itemOf(&items[i]))
	}
	return out
}

// needsSnapshot reports whether this process has no data and a peer of its data centre that aggregates has
// some.
func (s *State) needsSnapshot(from fleet.InstanceID, m wire.Status) bool {
	return s.mirror.Revision() == 0 && m.Confirmed && s.mesh.IsLocalAggregator(from)
}

// catchUp pulls the changes that a peer has reported. In a large fleet the aggregators pull from any peer,
// and the others from an aggregator of their data centre, one pull at a time.
func (s *State) catchUp(now boottime.Instant, from fleet.InstanceID) {
	if !s.mesh.Aggregated() {
		s.pull(from, maxPullBytes)
		return
	}
	p := &s.pulls
	if p.behindSince == 0 {
		p.behindSince = now
	}
	local := s.mesh.IsLocalAggregator(from)
	if !local && !s.mesh.IsAggregator() && now.Sub(p.behindSince) < aggregatorWait {
		return
	}
	if p.startedAt != 0 && now.Sub(p.startedAt) < pullRetryInterval {
		return
	}
	p.startedAt = now
	if local {
		s.pull(from, maxAggregatorPullBytes)
		return
	}
	s.pull(from, maxPullBytes)
}

// awaitsPeers reports whether a process without any data should wait for a peer's instead of reading the
// store: for seedWait until a seed has replied, and then in a large fleet for an aggregator, unless it is one.
func (s *State) awaitsPeers(now boottime.Instant) bool {
	waited := now.Sub(s.join.processStart)
	switch {
	case s.opts.SeedCount == 0:
		return false
	case !s.join.seedReplied:
		return waited < seedWait
	default:
		return waited < aggregatorWait && s.mesh.Aggregated() && !s.mesh.IsAggregator()
	}
}

// pull requests from a peer the changes after the covered revision of the mirror.
func (s *State) pull(from fleet.InstanceID, maxBytes int) {
	if m, ok := s.mesh.Member(from); ok {
		s.emit(PullItems{From: from, Control: m.ControlAddr, After: s.mirror.CoveredRevision(), MaxBytes: maxBytes, Key: s.trust.ring.PresentKey()})
	}
}

// ItemsSince returns the changes after a revision, or a full snapshot if the mirror no longer holds all
// of them, as the response to a peer's pull. If the items exceed maxBytes, TooLarge is set instead.
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

// PullDone handles the response to a PullItems action.
//
// confirmedAt is a time before which the peer's copy of the store held everything that was published; 0:
// unknown.
func (s *State) PullDone(now boottime.Instant, from fleet.InstanceID, m wire.StoreUpdate, confirmedAt boottime.Instant) {
	s.pulls = pullState{}
	if s.proveDisputed(now, from, &m) {
		return
	}
	if !s.acceptsUpdate(now, from, &m) {
		return
	}
	if confirmedAt != 0 {
		s.noteStoreResponse(now, confirmedAt)
	}
	s.applyUpdate(now, from, m)
	if m.TooLarge || m.Revision > s.mirror.CoveredRevision() {
		return
	}
	if confirmedAt != 0 {
		s.noteMirrorConfirmed(now, confirmedAt)
	}
	if m.Snapshot { // the peer may not know yet whether its revision is that of a heartbeat
		s.noteFullSnapshot(now)
		s.reader.lastReadDone = now
	}
}

// applyUpdate applies accepted changes from a peer, unless they are already covered or do not follow
// on the covered revision. Changes that are too large for a peer are read from the store.
func (s *State) applyUpdate(now boottime.Instant, from fleet.InstanceID, m wire.StoreUpdate) {
	covered := s.mirror.CoveredRevision()
	if !s.follows(from, m.Revision) || m.Revision <= covered || !m.Snapshot && m.After > covered {
		return
	}
	if m.TooLarge {
		s.scheduleOnDemandRead(now, from)
		return
	}
	s.apply(now, published.Update{Revision: m.Revision, Snapshot: m.Snapshot, Coalesced: true, Items: publishedItems(m.Items)})
	s.fullSnapshotAt = 0
}
