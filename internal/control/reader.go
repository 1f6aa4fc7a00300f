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
	// readAge is the age of belief at which the first gateway of the order reads the
	// store again: a fifth of the time within which a leaving endpoint must get nothing.
	readAge = 400 * time.Millisecond
	// readAgeStep is added for each gateway that comes before in the order: it has the
	// time for a read and for telling the others.
	readAgeStep = 350 * time.Millisecond
	// maxReadAge is the age at which any gateway reads, whatever its place.
	maxReadAge = 1100 * time.Millisecond
	// readSpread keeps gateways that all lost the store from calling it together.
	readSpread = 300 * time.Millisecond

	// wantSpread keeps the gateways of a large fleet from reading a new configuration at
	// the same moment.
	wantSpread = 150 * time.Millisecond
	// wantPause is the least time between two reads for the sake of large changes, which
	// may come in quick succession. It is a third of the time in which the deployments
	// want a change in force.
	wantPause = 650 * time.Millisecond

	// failureCounts is for how long after a failed read other gateways read first.
	failureCounts = 5 * time.Second

	// joinBackoff is the least time between two reads of a process that knows nothing yet.
	joinBackoff = 200 * time.Millisecond

	// After a read that failed, the pause doubles from a fifth of the longest one.
	backoffRange   = 5
	maxReadBackoff = time.Second // of the first gateways of the order
	// backoffStep is added to the longest pause for each gateway that comes before in the
	// order, beyond the first ones: the calls of a fleet to a store that does not answer
	// grow with the logarithm of its size.
	backoffStep  = 200 * time.Millisecond
	firstReaders = 8
	lastBackoff  = 6 * time.Second // of any gateway
)

// reader decides when this process reads the store. Few gateways do while peers keep
// the others up to date.
type reader struct {
	busy     bool
	sent     boottime.Instant
	failures int
	next     boottime.Instant // not before, for the age of what is known
	done     boottime.Instant // when the last read ended that succeeded
	relist   bool             // the history does not reach back
	spread   time.Duration    // of this process, for its place at the end of the order
	down     bool             // the last read failed
	failedAt boottime.Instant // when it did
	wanted   boottime.Instant // read then, whatever the age, 0: no
	// nextWanted is the same as next for a change that a peer has. It is never far: without
	// the store, the peer is asked for the change after the read has failed.
	nextWanted boottime.Instant
	holder     fleet.InstanceID // the peer that has what is wanted
}

func (s *State) tickReader(now boottime.Instant) {
	r := &s.reader
	wanted := r.wanted != 0 && !now.Before(r.wanted) && !now.Before(r.nextWanted)
	old := s.SnapshotAge(now) >= s.readThreshold(now) && !now.Before(r.next)
	if r.busy || !wanted && !old {
		return
	}
	r.wanted = 0
	r.busy = true
	if s.mirror.Revision() == 0 {
		r.next = now.Add(joinBackoff + time.Duration(s.rng.Int64N(int64(joinBackoff))))
	}
	r.sent = now
	after := s.mirror.CoveredRevision()
	s.do(ReadStore{Whole: r.relist || after == 0, OnDemand: wanted, After: after})
}

// wantRead makes this process read the store for what a peer has but does not send.
func (s *State) wantRead(now boottime.Instant, holder fleet.InstanceID) {
	r := &s.reader
	r.holder = holder
	if r.wanted == 0 {
		r.wanted = max(now, r.sent.Add(wantPause)).Add(time.Duration(s.rng.Int64N(int64(wantSpread))))
	}
}

// readThreshold is the age of belief at which this process reads.
func (s *State) readThreshold(now boottime.Instant) time.Duration {
	if s.mirror.Revision() == 0 {
		return 0
	}
	r := &s.reader
	if r.spread == 0 {
		r.spread = 1 + time.Duration(s.rng.Int64N(int64(readSpread)))
	}
	rank := time.Duration(s.mesh.ReaderRank(now, r.noStore(now)))
	return min(readAge+rank*readAgeStep, maxReadAge+r.spread)
}

// noStore tells whether a read has failed so recently that others should read first.
func (r *reader) noStore(now boottime.Instant) bool {
	return r.down && now.Sub(r.failedAt) <= failureCounts
}

// jitter returns a time from half of d to one and a half.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}

// longestBackoff bounds the pause between reads that fail. Those that come late in the
// order hear of the store's return from the others.
func (s *State) longestBackoff(now boottime.Instant) time.Duration {
	late := max(0, s.mesh.ReaderRank(now, true)-firstReaders)
	return min(maxReadBackoff+time.Duration(late)*backoffStep, lastBackoff)
}

// ReadDone takes the result of a read that ReadStore asked for.
func (s *State) ReadDone(now boottime.Instant, u published.Update) {
	r := &s.reader
	if r.down {
		s.log(event.PlatformReadable, "failures", r.failures, "revision", u.Revision)
	}
	r.busy, r.failures, r.down, r.relist, r.holder = false, 0, false, false, ""
	r.done = now
	s.confirm(now, u.Confirmed)
	s.apply(now, u)
	if u.Snapshot {
		s.unsettle(now)
	}
	s.send(s.mesh.Broadcast(now, s.local(now)))
}

// ReadFailed takes the failure of a read that ReadStore asked for.
func (s *State) ReadFailed(now boottime.Instant, err error) {
	r := &s.reader
	r.busy = false
	if errors.Is(err, published.ErrHistoryGone) {
		r.relist = true
		s.log(event.HistoryGone, "after", s.mirror.CoveredRevision())
		return
	}
	if !r.down {
		s.log(event.PlatformUnreadable, "err", err.Error(), "age_ms", s.SnapshotAge(now).Milliseconds(), "revision", s.mirror.Revision())
	}
	if !r.noStore(now) {
		s.loads.version++
	}
	r.down, r.failedAt = true, now
	if r.holder != "" {
		s.pull(r.holder, wire.MaxFrameBytes/2)
		r.holder = ""
	}
	longest := s.longestBackoff(now)
	backoff := min(longest/backoffRange<<min(r.failures, 8), longest)
	r.failures++
	r.next = now.Add(s.jitter(backoff))
	r.nextWanted = now.Add(s.jitter(min(backoff, maxReadBackoff)))
}
