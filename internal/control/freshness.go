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
	// reregistrationGrace is how long after the store's recovery an endpoint whose entry is
	// missing stays usable: entries expire during an outage, and endpoints need this time to
	// renew them.
	reregistrationGrace = 2200 * time.Millisecond
	// revisionSettleTimeout is how long a process that has listed the store withholds its
	// revision from peers while it waits for a peer to report the revision of the last relevant
	// change. It covers two reads by peers and the delivery of their messages.
	revisionSettleTimeout = time.Second
)

// storeFreshness records how recent the local snapshot of the store is.
type storeFreshness struct {
	// confirmed is when the last read was sent that brought or confirmed the mirror's content:
	// the mirror holds everything that was published before this time.
	confirmed    boottime.Instant
	lastAnswered boottime.Instant // send time of the latest read by this process or a peer that was answered
	recoveredAt  boottime.Instant // when the store last recovered from an outage
}

// noteStoreAnswer records that the store answered a read sent at the given time. It must be
// called before the changes of that read are applied: they include entries that expired in an
// outage, which unlistEndpoint tells from removed ones by recoveredAt.
func (s *State) noteStoreAnswer(now, at boottime.Instant) {
	if at <= s.freshness.lastAnswered {
		return
	}
	if gap := at.Sub(s.freshness.lastAnswered); s.freshness.lastAnswered != 0 && gap > outageThreshold {
		s.freshness.recoveredAt = now
		s.log(event.StoreReturned, "gap_ms", gap.Milliseconds(), "revision", s.mirror.Revision())
	}
	s.freshness.lastAnswered = at
}

// noteConfirmed records that the mirror holds everything that was published before the given
// time.
func (s *State) noteConfirmed(now, at boottime.Instant) {
	s.noteStoreAnswer(now, at)
	s.freshness.confirmed = max(s.freshness.confirmed, at)
}

// noteListed records that the mirror was filled from a full list. Its revision is then the
// store's latest, which is that of a heartbeat in most cases; peers that already hold every
// change would fetch them again if it were advertised.
func (s *State) noteListed(now boottime.Instant) { s.listedAt = now }

// settleRevision handles a peer's confirmation that it holds everything published before the
// given time, and that nothing after its revision is a relevant change.
func (s *State) settleRevision(at boottime.Instant, peer fleet.Revision) {
	if s.listedAt == 0 || at.Before(s.reader.lastDone) {
		return
	}
	s.mirror.LowerRevision(peer)
	s.listedAt = 0
}

// advertisedRevision returns the revision that is sent to peers. It is 0 while it is not known
// which revision of a full list is that of the last relevant change.
func (s *State) advertisedRevision(now boottime.Instant) fleet.Revision {
	if s.listedAt != 0 && now.Sub(s.listedAt) < revisionSettleTimeout {
		return 0
	}
	return s.mirror.Revision()
}

// SnapshotAge returns the time since the last read was sent that brought or confirmed the local
// snapshot of the store.
func (s *State) SnapshotAge(now boottime.Instant) time.Duration {
	return now.Sub(s.freshness.confirmed)
}

// Revision returns the store revision of the local snapshot.
func (s *State) Revision() fleet.Revision { return s.mirror.Revision() }

// freshEnoughForAuth reports whether the configuration is within AuthStalenessBound, so that
// API keys may be accepted by it.
func (s *State) freshEnoughForAuth(now boottime.Instant) bool {
	if !s.opts.StrictRevoke || !s.table.HasWorkspaces() {
		return true
	}
	return s.SnapshotAge(now) <= s.opts.AuthStalenessBound
}

// apply applies an update of the store's items.
func (s *State) apply(now boottime.Instant, u published.Update) {
	before := s.mirror.Revision()
	changes := s.mirror.Apply(u)
	if s.mirror.Revision() != before {
		s.recentChanges = s.changesForStatus(before)
	}
	for _, c := range changes {
		if c.Err != nil {
			s.log(event.ItemUnreadable, "key", c.Key, "err", c.Err.Error())
		}
		s.adopt(now, c.Record)
	}
	if len(changes) > 0 {
		s.indexServices()
	}
}

func (s *State) adopt(now boottime.Instant, r published.Record) {
	switch r := r.(type) {
	case published.Config:
		s.table = routing.NewTable(r.Config)
		s.log(event.ConfigAdopted, "version", r.Config.Version, "revision", s.mirror.Revision(),
			"age_ms", s.SnapshotAge(now).Milliseconds(), "routes", len(r.Config.Routes))
	case published.Evacuation:
		s.adoptEvacuation(r)
	case published.Endpoint:
		s.adoptEndpoint(now, r.Endpoint)
	case published.EndpointGone:
		s.unlistEndpoint(now, r.ID)
	}
}

func (s *State) adoptEvacuation(e published.Evacuation) {
	if s.evacuated[e.DataCentre] == !e.Ended {
		return
	}
	s.evacuated[e.DataCentre] = !e.Ended
	s.log(event.DataCentreState, "data_centre", e.DataCentre, "out", !e.Ended, "revision", s.mirror.Revision())
}
