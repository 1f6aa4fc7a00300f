package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

const (
	// outageThreshold is the time between two answered reads above which the store is treated
	// as having had an outage.
	outageThreshold = 1500 * time.Millisecond
	// reregistrationGrace is how long after the store's recovery an endpoint whose entry is missing
	// stays usable: entries expire during an outage, and endpoints need this time to renew them.
	reregistrationGrace = 2200 * time.Millisecond
	// revisionWithholdTimeout is how long a process that has read a full snapshot withholds its
	// revision from peers while it waits for a peer to report the revision of the last relevant
	// change, which is one other than a heartbeat. It covers two reads by peers and the delivery
	// of their messages.
	revisionWithholdTimeout = 800 * time.Millisecond
)

// storeFreshness records how recent the local snapshot of the store is.
type storeFreshness struct {
	// confirmedAt is the send time of the latest read that is reflected in the mirror, directly or
	// through a peer: the mirror holds everything that was published before this time.
	confirmedAt      boottime.Instant
	confirmedBefore  boottime.Instant // the value of confirmedAt before its last change
	lastAnsweredRead boottime.Instant // send time of the latest read by this process or a peer that was answered
	recoveredAt      boottime.Instant // when the store last recovered from an outage
	eraSince         boottime.Instant // when this process learned that the store had returned with an older copy; 0: never
	peersEra         uint64           // the highest era of a revision that a peer has reported
}

// noteStoreResponse records that the store answered a read sent at the given time. It must be called
// before the changes of that read are applied: they include the expiry of entries in an outage, and
// unlistEndpoint grants the grace period only if recoveredAt is set.
func (s *State) noteStoreResponse(now, at boottime.Instant) {
	if at <= s.freshness.lastAnsweredRead {
		return
	}
	if gap := at.Sub(s.freshness.lastAnsweredRead); s.freshness.lastAnsweredRead != 0 && gap > outageThreshold {
		s.freshness.recoveredAt = now
		s.log(event.StoreReturned, "gap_ms", gap.Milliseconds(), "revision", s.mirror.Revision())
	}
	s.freshness.lastAnsweredRead = at
}

// noteMirrorConfirmed records that the mirror holds everything that was published before the given
// time.
func (s *State) noteMirrorConfirmed(now, at boottime.Instant) {
	s.noteStoreResponse(now, at)
	if at > s.freshness.confirmedAt {
		s.freshness.confirmedBefore, s.freshness.confirmedAt = s.freshness.confirmedAt, at
	}
}

// noteFullSnapshot records that the mirror was filled from a full snapshot. The revision of a full
// snapshot is usually that of a heartbeat. It is not advertised, because peers that already hold all
// relevant changes would pull for it.
func (s *State) noteFullSnapshot(now boottime.Instant) { s.fullSnapshotAt = now }

// lowerRevision lowers the revision of a full snapshot to the peer's, if the read that the peer
// reports was sent after this process's last read ended. The peer then holds all changes that the full
// snapshot contains, and no relevant one of them has a higher revision than the peer's.
func (s *State) lowerRevision(at boottime.Instant, peer fleet.Revision) {
	if s.fullSnapshotAt == 0 || at.Before(s.reader.lastReadDone) {
		return
	}
	s.mirror.LowerRevision(peer)
	s.fullSnapshotAt = 0
}

// advertisedRevision returns the revision that is sent to peers. After a full snapshot it is 0 until
// the revision of the last relevant change is known, or for at most revisionWithholdTimeout.
func (s *State) advertisedRevision(now boottime.Instant) fleet.Revision {
	if s.fullSnapshotAt != 0 && now.Sub(s.fullSnapshotAt) < revisionWithholdTimeout {
		return 0
	}
	return s.mirror.Revision()
}

// SnapshotAge returns the age of the local snapshot of the store: the time since the latest read that
// is reflected in it was sent.
func (s *State) SnapshotAge(now boottime.Instant) time.Duration {
	return now.Sub(s.freshness.confirmedAt)
}

// Revision returns the store revision of the local snapshot.
func (s *State) Revision() fleet.Revision { return s.mirror.Revision() }

// freshEnoughForAuth reports whether API keys may be accepted: always, unless StrictRevoke is set, the
// configuration has workspaces and the local snapshot is older than AuthStalenessBound.
func (s *State) freshEnoughForAuth(now boottime.Instant) bool {
	if !s.opts.StrictRevoke || !s.table.KeysRequired() {
		return true
	}
	return s.SnapshotAge(now) <= s.opts.AuthStalenessBound
}

// lastConfirmedBefore returns when the content before an update was last confirmed. A read has been noted before it is applied.
func (s *State) lastConfirmedBefore(u published.Update) boottime.Instant {
	if u.Confirmed != 0 && u.Confirmed == s.freshness.confirmedAt {
		return s.freshness.confirmedBefore
	}
	return s.freshness.confirmedAt
}
