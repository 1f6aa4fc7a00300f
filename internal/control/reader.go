package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// readThresholdBase is the snapshot age at which the first gateway in the reader order
	// reads the store: a fifth of the time within which a leaving endpoint must stop receiving
	// requests.
	readThresholdBase = 400 * time.Millisecond
	// readThresholdStep is added for each gateway earlier in the order. It gives the earlier
	// one the time for a read and for a broadcast of the result.
	readThresholdStep = 350 * time.Millisecond
	// maxReadThreshold is the age at which every gateway reads, whatever its position.
	maxReadThreshold = 1100 * time.Millisecond
	// readThresholdJitter keeps gateways that all lost the store from reading at the same
	// moment.
	readThresholdJitter = 300 * time.Millisecond

	// onDemandReadJitter keeps the gateways of a large fleet from reading a new configuration
	// at the same moment.
	onDemandReadJitter = 150 * time.Millisecond
	// onDemandReadInterval is the least time between two on-demand reads, as large changes may
	// follow each other quickly. It is a third of the time within which the deployments require
	// a change to be in force.
	onDemandReadInterval = 650 * time.Millisecond

	// readFailureTTL is how long after a failed read the other gateways come first in the
	// order.
	readFailureTTL = 5 * time.Second

	// initialReadInterval is the least time between two reads of a process without any data.
	initialReadInterval = 200 * time.Millisecond

	// After a failed read, the backoff starts at the maximum divided by initialBackoffDivisor
	// and doubles up to the maximum.
	initialBackoffDivisor = 5
	baseMaxReadBackoff    = time.Second // of the first baseBackoffReaders gateways in the order
	// maxReadBackoffStep is added to the maximum backoff for each further position in the
	// order, so that the load of a fleet on an unavailable store grows with the logarithm of
	// its size.
	maxReadBackoffStep = 200 * time.Millisecond
	baseBackoffReaders = 8
	readBackoffCap     = 6 * time.Second // of any gateway
)

// reader schedules this process's reads of the store. Few gateways read; the others receive the
// changes from peers.
type reader struct {
	reading         bool
	lastSent        boottime.Instant
	failures        int
	notBefore       boottime.Instant // earliest time of the next read for snapshot age
	lastDone        boottime.Instant // end of the last successful read
	relist          bool             // the store's history no longer covers our revision: list everything
	thresholdJitter time.Duration    // random offset of this process, added to maxReadThreshold
	failing         bool             // the last read failed
	failedAt        boottime.Instant // time of the last failure
	onDemandAt      boottime.Instant // time of a read regardless of the snapshot age; 0: none
	// onDemandNotBefore is the earliest time of the next on-demand read. Its backoff is bounded
	// by baseMaxReadBackoff: after a failed read the change is pulled from the peer instead, so
	// an on-demand read makes progress even without the store.
	onDemandNotBefore boottime.Instant
	onDemandPeer      fleet.InstanceID // the peer that has the change
}

func (s *State) tickReader(now boottime.Instant) {
	r := &s.reader
	onDemand := r.onDemandAt != 0 && !now.Before(r.onDemandAt) && !now.Before(r.onDemandNotBefore)
	tooOld := s.SnapshotAge(now) >= s.readThreshold(now) && !now.Before(r.notBefore)
	if r.reading || !onDemand && !tooOld {
		return
	}
	r.onDemandAt = 0
	r.reading = true
	if s.mirror.Revision() == 0 {
		r.notBefore = now.Add(initialReadInterval + time.Duration(s.rng.Int64N(int64(initialReadInterval))))
	}
	r.lastSent = now
	after := s.mirror.CoveredRevision()
	s.emit(ReadStore{Snapshot: r.relist || after == 0, OnDemand: onDemand, After: after})
}

// scheduleOnDemandRead schedules a read of the store for a change that a peer has but is too
// large to send.
func (s *State) scheduleOnDemandRead(now boottime.Instant, peer fleet.InstanceID) {
	r := &s.reader
	r.onDemandPeer = peer
	if r.onDemandAt == 0 {
		r.onDemandAt = max(now, r.lastSent.Add(onDemandReadInterval)).Add(time.Duration(s.rng.Int64N(int64(onDemandReadJitter))))
	}
}

// readThreshold returns the snapshot age at which this process reads the store.
func (s *State) readThreshold(now boottime.Instant) time.Duration {
	if s.mirror.Revision() == 0 {
		return 0
	}
	r := &s.reader
	if r.thresholdJitter == 0 {
		r.thresholdJitter = 1 + time.Duration(s.rng.Int64N(int64(readThresholdJitter)))
	}
	rank := time.Duration(s.mesh.ReaderRank(now, r.failedRecently(now)))
	return min(readThresholdBase+rank*readThresholdStep, maxReadThreshold+r.thresholdJitter)
}

// failedRecently reports whether a read failed so recently that other gateways should read
// first.
func (r *reader) failedRecently(now boottime.Instant) bool {
	return r.failing && now.Sub(r.failedAt) <= readFailureTTL
}

// jitter returns a time uniformly distributed between 0.5 and 1.5 times d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}

// maxReadBackoff returns the maximum backoff between failed reads. Gateways late in the order
// may back off for longer, because others tell them of the store's recovery.
func (s *State) maxReadBackoff(now boottime.Instant) time.Duration {
	positionsBehind := max(0, s.mesh.ReaderRank(now, true)-baseBackoffReaders)
	return min(baseMaxReadBackoff+time.Duration(positionsBehind)*maxReadBackoffStep, readBackoffCap)
}

// ReadDone handles the result of a ReadStore action.
func (s *State) ReadDone(now boottime.Instant, u published.Update) {
	r := &s.reader
	if r.failing {
		s.log(event.PlatformReadable, "failures", r.failures, "revision", u.Revision)
	}
	r.reading, r.failures, r.failing, r.relist, r.onDemandPeer = false, 0, false, false, ""
	r.lastDone = now
	s.noteConfirmed(now, u.Confirmed)
	s.apply(now, u)
	if u.Snapshot {
		s.noteListed(now)
	}
	s.send(s.mesh.Broadcast(now, s.localStatus(now)))
}

// ReadFailed handles the failure of a ReadStore action.
func (s *State) ReadFailed(now boottime.Instant, err error) {
	r := &s.reader
	r.reading = false
	if errors.Is(err, published.ErrHistoryGone) {
		r.relist = true
		s.log(event.HistoryGone, "after", s.mirror.CoveredRevision())
		return
	}
	if !r.failing {
		s.log(event.PlatformUnreadable, "err", err.Error(), "age_ms", s.SnapshotAge(now).Milliseconds(), "revision", s.mirror.Revision())
	}
	if !r.failedRecently(now) {
		s.peerLoads.statusVersion++
	}
	r.failing, r.failedAt = true, now
	if r.onDemandPeer != "" {
		s.pull(r.onDemandPeer, wire.MaxFrameBytes/2)
		r.onDemandPeer = ""
	}
	maxBackoff := s.maxReadBackoff(now)
	backoff := min(maxBackoff/initialBackoffDivisor<<min(r.failures, 8), maxBackoff)
	r.failures++
	r.notBefore = now.Add(s.jitter(backoff))
	r.onDemandNotBefore = now.Add(s.jitter(min(backoff, baseMaxReadBackoff)))
}
