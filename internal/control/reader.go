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
	// readThresholdBase is the age of belief at which the first gateway of the order reads the
	// store again: a fifth of the time within which a leaving endpoint must get nothing.
	readThresholdBase = 400 * time.Millisecond
	// readThresholdStep is added for each gateway that comes before in the order: it has the
	// time for a read and for telling the others.
	readThresholdStep = 350 * time.Millisecond
	// maxReadThreshold is the age at which any gateway reads, whatever its place.
	maxReadThreshold = 1100 * time.Millisecond
	// readThresholdJitter keeps gateways that all lost the store from calling it together.
	readThresholdJitter = 300 * time.Millisecond

	// onDemandReadJitter keeps the gateways of a large fleet from reading a new configuration at
	// the same moment.
	onDemandReadJitter = 150 * time.Millisecond
	// onDemandReadInterval is the least time between two reads for the sake of large changes, which
	// may come in quick succession. It is a third of the time in which the deployments
	// want a change in force.
	onDemandReadInterval = 650 * time.Millisecond

	// readFailureTTL is for how long after a failed read other gateways read first.
	readFailureTTL = 5 * time.Second

	// initialReadInterval is the least time between two reads of a process that knows nothing yet.
	initialReadInterval = 200 * time.Millisecond

	// After a read that failed, the pause doubles from a fifth of the longest one.
	initialBackoffDivisor = 5
	baseMaxReadBackoff    = time.Second // of the first gateways of the order
	// maxReadBackoffStep is added to the longest pause for each gateway that comes before in the
	// order, beyond the first ones: the calls of a fleet to a store that does not answer
	// grow with the logarithm of its size.
	maxReadBackoffStep = 200 * time.Millisecond
	baseBackoffReaders = 8
	readBackoffCap     = 6 * time.Second // of any gateway
)

// reader decides when this process reads the store. Few gateways do while peers keep
// the others up to date.
type reader struct {
	reading         bool
	lastSent        boottime.Instant
	failures        int
	notBefore       boottime.Instant // not before, for the age of what is known
	lastDone        boottime.Instant // when the last read ended that succeeded
	relist          bool             // the history does not reach back
	thresholdJitter time.Duration    // of this process, for its place at the end of the order
	failing         bool             // the last read failed
	failedAt        boottime.Instant // when it did
	onDemandAt      boottime.Instant // read then, whatever the age, 0: no
	// onDemandNotBefore is the same as next for a change that a peer has. It is never far: without
	// the store, the peer is asked for the change after the read has failed.
	onDemandNotBefore boottime.Instant
	onDemandPeer      fleet.InstanceID // the peer that has what is wanted
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
	after := s.mirror.Covered()
	s.emit(ReadStore{Whole: r.relist || after == 0, OnDemand: onDemand, After: after})
}

// scheduleOnDemandRead makes this process read the store for what a peer has but does not send.
func (s *State) scheduleOnDemandRead(now boottime.Instant, peer fleet.InstanceID) {
	r := &s.reader
	r.onDemandPeer = peer
	if r.onDemandAt == 0 {
		r.onDemandAt = max(now, r.lastSent.Add(onDemandReadInterval)).Add(time.Duration(s.rng.Int64N(int64(onDemandReadJitter))))
	}
}

// readThreshold is the age of belief at which this process reads.
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

// failedRecently tells whether a read has failed so recently that others should read first.
func (r *reader) failedRecently(now boottime.Instant) bool {
	return r.failing && now.Sub(r.failedAt) <= readFailureTTL
}

// jitter returns a time from half of d to one and a half.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}

// maxReadBackoff bounds the pause between reads that fail. Those that come late in the
// order hear of the store's return from the others.
func (s *State) maxReadBackoff(now boottime.Instant) time.Duration {
	positionsBehind := max(0, s.mesh.ReaderRank(now, true)-baseBackoffReaders)
	return min(baseMaxReadBackoff+time.Duration(positionsBehind)*maxReadBackoffStep, readBackoffCap)
}

// ReadDone takes the result of a read that ReadStore asked for.
func (s *State) ReadDone(now boottime.Instant, u published.Update) {
	r := &s.reader
	if r.failing {
		s.log(event.PlatformReadable, "failures", r.failures, "revision", u.Revision)
	}
	r.reading, r.failures, r.failing, r.relist, r.onDemandPeer = false, 0, false, false, ""
	r.lastDone = now
	s.noteConfirmed(now, u.Confirmed)
	s.apply(now, u)
	if u.Whole {
		s.noteListed(now)
	}
	s.send(s.mesh.Broadcast(now, s.localStatus(now)))
}

// ReadFailed takes the failure of a read that ReadStore asked for.
func (s *State) ReadFailed(now boottime.Instant, err error) {
	r := &s.reader
	r.reading = false
	if errors.Is(err, published.ErrHistoryGone) {
		r.relist = true
		s.log(event.HistoryGone, "after", s.mirror.Covered())
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
