package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	// outageThreshold is the time between two answered reads above which the store is treated
	// as having had an outage.
	outageThreshold = 1500 * time.Millisecond
	// reregistrationGrace is how long after the store's recovery an endpoint whose entry is missing
	// stays usable: entries expire during an outage, and endpoints need this time to renew them.
	reregistrationGrace = 2200 * time.Millisecond
	// republishTime is how long after the store's return with an older copy of its content the operator and the
	// endpoints publish again what it has lost. Entries in the copy of endpoints that have left expire within
	// this time.
	republishTime = 5 * time.Second
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

// firstOfEra reports whether the mirror has reached an era since it had a revision, while no peer has reported one of
// that era. The peers then lack what the full snapshot contains.
func (s *State) firstOfEra(before fleet.Revision) bool {
	era := published.EraOf(s.mirror.Revision())
	return before != 0 && published.EraOf(before) < era && s.freshness.peersEra < era
}

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

// apply applies an update of the store's items to the mirror and the state derived from it.
func (s *State) apply(now boottime.Instant, u published.Update) { s.applyWith(now, u, s.mirror.Apply) }

// applyWith is apply with the method of the mirror that applies the update.
func (s *State) applyWith(now boottime.Instant, u published.Update, apply func(published.Update) []published.ItemChange) {
	before := s.mirror.Revision()
	if before == 0 {
		s.beginVersions(now)
	} else if u.Coalesced {
		s.noteGap(now, s.lastConfirmedBefore(u), u)
	}
	if before != 0 && published.EraOf(u.Revision) > published.EraOf(s.mirror.CoveredRevision()) {
		s.beginEra(now, u.Revision)
	}
	changes := apply(u)
	if s.mirror.Revision() != before {
		s.recentChanges = s.changesForStatus(before)
	}
	s.adoptChanges(now, changes)
}

// lastConfirmedBefore returns when the content before an update was last confirmed. A read has been noted before it is applied.
func (s *State) lastConfirmedBefore(u published.Update) boottime.Instant {
	if u.Confirmed != 0 && u.Confirmed == s.freshness.confirmedAt {
		return s.freshness.confirmedBefore
	}
	return s.freshness.confirmedAt
}

func (s *State) adoptChanges(now boottime.Instant, changes []published.ItemChange) {
	for _, c := range changes {
		if c.Err != nil {
			s.log(event.ItemUnreadable, "key", c.Key, "err", c.Err.Error())
		}
		s.contain("adopt", func() { s.adopt(now, c.Record) }, "key", c.Key)
	}
	if len(changes) > 0 {
		s.indexServices()
	}
}

func (s *State) adopt(now boottime.Instant, r published.Record) {
	switch r := r.(type) {
	case published.Config:
		s.table = routing.NewTable(r.Config)
		s.adoptKey(now, r.Config)
		s.adoptStreamLifetime(now, r.Config)
		s.log(event.ConfigAdopted, "version", r.Config.Version, "revision", s.mirror.Revision(),
			"age_ms", s.SnapshotAge(now).Milliseconds(), "routes", len(r.Config.Routes))
	case published.Evacuation:
		s.adoptEvacuation(now, r)
	case published.Endpoint:
		s.adoptEndpoint(now, r.Endpoint)
	case published.EndpointGone:
		s.unlistEndpoint(now, r.ID)
	}
}

// beginEra handles the return of the store with an older copy of its content. For republishTime, what the copy lacks
// is not taken for deleted, and what it has again is not taken for published.
func (s *State) beginEra(now boottime.Instant, revision fleet.Revision) {
	s.freshness.eraSince = now
	s.freshness.recoveredAt = now
	s.log(event.StoreRestored, "era", published.EraOf(revision), "revision", published.StoreRevision(revision))
}

// eraIsNew reports whether the store returned with an older copy less than republishTime ago.
func (s *State) eraIsNew(now boottime.Instant) bool {
	return s.freshness.eraSince != 0 && now.Sub(s.freshness.eraSince) < republishTime
}

// tickEvacuations ends the evacuations that the operator has not published again after an older copy lacked them.
func (s *State) tickEvacuations(now boottime.Instant) {
	if s.eraIsNew(now) {
		return
	}
	for dc := range s.unconfirmedEvacuations {
		delete(s.unconfirmedEvacuations, dc)
		s.adoptEvacuation(now, published.Evacuation{DataCentre: dc, Ended: true})
	}
}

func (s *State) adoptEvacuation(now boottime.Instant, e published.Evacuation) {
	if e.Ended && s.eraIsNew(now) {
		s.unconfirmedEvacuations[e.DataCentre] = true
		return
	}
	delete(s.unconfirmedEvacuations, e.DataCentre)
	if s.evacuated[e.DataCentre] == !e.Ended {
		return
	}
	s.evacuated[e.DataCentre] = !e.Ended
	s.log(event.DataCentreState, "data_centre", e.DataCentre, "out", !e.Ended, "revision", s.mirror.Revision())
}
