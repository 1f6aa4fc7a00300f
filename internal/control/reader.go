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
	// readThresholdBase is the snapshot age at which the first gateway in the reader order reads the
	// store: a fifth of the time within which a leaving endpoint must stop receiving requests.
	readThresholdBase = 400 * time.Millisecond
	// readThresholdStep is added for each gateway earlier in the order. It covers a read by the
	// earlier gateway and the broadcast of the result.
	readThresholdStep = 350 * time.Millisecond
	// maxReadThreshold is the maximum of the read threshold, before the jitter is added.
	maxReadThreshold = 1100 * time.Millisecond
	// readThresholdJitter is the maximum of the jitter that a process adds to maxReadThreshold. It
	// keeps gateways from reading at the same moment after the store has failed for all of them.
	readThresholdJitter = 300 * time.Millisecond

	// onDemandReadJitter keeps the gateways of a large fleet from reading a new configuration
	// at the same moment.
	onDemandReadJitter = 150 * time.Millisecond
	// onDemandReadInterval is the minimum time between any read and the next on-demand read, because
	// large changes may follow each other quickly. It is a third of the time within which the
	// deployments require a change to be in force.
	onDemandReadInterval = 650 * time.Millisecond

	// readFailureTTL is how long after a failed read this gateway ranks behind the others in the
	// reader order.
	readFailureTTL = 5 * time.Second

	// initialReadInterval is the minimum time between two reads of a process without any data.
	initialReadInterval = 200 * time.Millisecond

	// After a failed read, the backoff starts at its limit divided by initialBackoffDivisor and
	// doubles up to the limit.
	initialBackoffDivisor = 5
	minReadBackoffLimit   = time.Second // up to minBackoffLimitRank in the reader order
	// readBackoffLimitStep is added to the limit for each position in the reader order beyond
	// minBackoffLimitRank. The rate of reads of an unavailable store thereby grows with the logarithm
	// of the fleet size, up to the position at which maxReadBackoffLimit is reached.
	readBackoffLimitStep = 200 * time.Millisecond
	minBackoffLimitRank  = 8
	maxReadBackoffLimit  = 6 * time.Second // of any gateway
)

// errFarRevision reports a response of the store whose revision cannot follow that of the mirror.
var errFarRevision = errors.New("control: the revision of the store's response is too far from the last one")

// follows reports whether a revision that a peer states may follow the mirror's. Only the store itself is believed
// otherwise, see ReadDone.
func (s *State) follows(from fleet.InstanceID, r fleet.Revision) bool {
	known := s.mirror.CoveredRevision()
	if published.Follows(known, r) {
		return true
	}
	s.log(event.PeerRefused, "peer", from, "revision", r, "known", known)
	s.shortenBackoff()
	return false
}

// storeReader schedules this process's reads of the store. Few gateways read the store; the others
// receive the changes from peers.
type storeReader struct {
	reading           bool
	lastReadSent      boottime.Instant
	coveredAtSend     fleet.Revision   // the mirror's covered revision when the last read was sent
	failures          int              // failed reads in a row
	nextReadNotBefore boottime.Instant // earliest time of the next read that is due to the snapshot age
	lastReadDone      boottime.Instant // end of the last successful read
	fullReadNeeded    bool             // the store's history no longer covers the mirror's revision
	thresholdJitter   time.Duration    // jitter of this process, added to maxReadThreshold; 0: not drawn yet
	failing           bool             // the last read failed
	failedAt          boottime.Instant // time of the last failure
	onDemandAt        boottime.Instant // time of the scheduled on-demand read; 0: none
	// onDemandNotBefore is the earliest time of the next on-demand read. Its backoff is bounded by
	// minReadBackoffLimit, because an on-demand read makes progress even if the store is
	// unavailable: after a failed read, the change is pulled from the peer.
	onDemandNotBefore boottime.Instant
	onDemandPeer      fleet.InstanceID // the peer that has the change; "": none
	farRevision       fleet.Revision   // of the last read, if it does not follow the mirror's; 0: it does
}

// tickReader starts a read of the store if one is due and none is in progress.
func (s *State) tickReader(now boottime.Instant) {
	r := &s.reader
	onDemand := r.onDemandAt != 0 && !now.Before(r.onDemandAt) && !now.Before(r.onDemandNotBefore)
	tooOld := s.SnapshotAge(now) >= s.readThreshold(now) && !now.Before(r.nextReadNotBefore)
	if r.reading || !onDemand && !tooOld && !s.proofReadDue(now) || s.mirror.Revision() == 0 && s.awaitsPeers(now) || s.awaitsProof(now) {
		return
	}
	r.onDemandAt = 0
	r.reading = true
	if s.mirror.Revision() == 0 {
		r.nextReadNotBefore = now.Add(initialReadInterval + time.Duration(s.rng.Int64N(int64(initialReadInterval))))
	}
	r.lastReadSent = now
	after := s.mirror.CoveredRevision()
	r.coveredAtSend = after
	s.emit(ReadStore{Snapshot: r.fullReadNeeded || after == 0 || !s.trust.proven, OnDemand: onDemand, After: after})
}

// scheduleOnDemandRead schedules a read of the store, regardless of the snapshot age, for a change
// that is too large to be received from the peer, or to prove the content ("").
func (s *State) scheduleOnDemandRead(now boottime.Instant, peer fleet.InstanceID) {
	r := &s.reader
	if peer != "" {
		r.onDemandPeer = peer
	}
	if r.onDemandAt == 0 {
		r.onDemandAt = max(now, r.lastReadSent.Add(onDemandReadInterval)).Add(time.Duration(s.rng.Int64N(int64(onDemandReadJitter))))
	}
}

// readThreshold returns the snapshot age at which this process reads the store.
func (s *State) readThreshold(now boottime.Instant) time.Duration {
	if s.mirror.Revision() == 0 {
		return 0
	}
	if s.SnapshotAge(now) < readThresholdBase {
		return readThresholdBase // regardless of the order
	}
	r := &s.reader
	if r.thresholdJitter == 0 {
		r.thresholdJitter = 1 + time.Duration(s.rng.Int64N(int64(readThresholdJitter)))
	}
	rank := time.Duration(s.mesh.ReaderRank(now, r.failedRecently(now)))
	return min(readThresholdBase+rank*readThresholdStep, maxReadThreshold+r.thresholdJitter)
}

// failedRecently reports whether the last read failed within readFailureTTL.
func (r *storeReader) failedRecently(now boottime.Instant) bool {
	return r.failing && now.Sub(r.failedAt) <= readFailureTTL
}

// jitter returns a duration uniformly distributed between 1/2 and 3/2 of d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}

// readBackoffLimit returns the maximum mean backoff after failed reads. Gateways late in the reader
// order may back off for longer, because peers report the store's recovery to them.
func (s *State) readBackoffLimit(now boottime.Instant) time.Duration {
	positionsBehind := max(0, s.mesh.ReaderRank(now, true)-minBackoffLimitRank)
	return min(minReadBackoffLimit+time.Duration(positionsBehind)*readBackoffLimitStep, maxReadBackoffLimit)
}

// shortenBackoff bounds the backoff after failed reads by minReadBackoffLimit: this process cannot use what peers send, so that they
// do not report the store's recovery to it.
func (s *State) shortenBackoff() {
	if r := &s.reader; r.failing {
		r.nextReadNotBefore = min(r.nextReadNotBefore, r.onDemandNotBefore)
	}
}

// ReadDone handles the result of a ReadStore action and sends the renewed Status to peers. A read with a revision that is too
// far from the mirror's fails, unless the one before it had nearly the same.
func (s *State) ReadDone(now boottime.Instant, u published.Update) {
	r := &s.reader
	far := r.farRevision
	r.farRevision = 0
	if !published.Follows(s.mirror.CoveredRevision(), u.Revision) && (far == 0 || u.Revision < far || !published.Follows(far, u.Revision)) {
		r.farRevision = u.Revision
		s.ReadFailed(now, errFarRevision)
		return
	}
	if r.failing {
		s.log(event.PlatformReadable, "failures", r.failures, "revision", u.Revision)
	}
	r.reading, r.failures, r.failing, r.fullReadNeeded, r.onDemandPeer = false, 0, false, false, ""
	r.lastReadDone = now
	s.endDispute()
	before := s.mirror.Revision()
	applied := s.applyRead(now, u, r.coveredAtSend)
	if applied && u.Snapshot && !s.firstOfEra(before) {
		s.noteFullSnapshot(now)
	}
	s.send(s.mesh.Broadcast(now, s.localStatus(now), s.mirror.Revision() != before))
	s.proveRecords(now)
	s.settleInquiries(now)
}

// ReadFailed handles the failure of a ReadStore action. If the store's history no longer covers the
// mirror's revision, the next read is for a full snapshot; otherwise reads back off.
func (s *State) ReadFailed(now boottime.Instant, err error) {
	r := &s.reader
	r.reading = false
	s.endDispute()
	if errors.Is(err, published.ErrHistoryGone) {
		r.fullReadNeeded = true
		if r.onDemandPeer != "" {
			r.onDemandAt = now
		}
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
	limit := s.readBackoffLimit(now)
	backoff := min(limit/initialBackoffDivisor<<min(r.failures, 8), limit)
	r.failures++
	r.nextReadNotBefore = now.Add(s.jitter(backoff))
	r.onDemandNotBefore = now.Add(s.jitter(min(backoff, minReadBackoffLimit)))
}
