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
	// outageGap is the age of belief from which the store counts as having been away.
	outageGap = 1500 * time.Millisecond
	// returnTime is for how long after the store's return a missing entry may come back.
	returnTime = 2200 * time.Millisecond
	// settleTime is how long a process that has listed the store waits for a peer's word on
	// which of the writes mean anything: two reads by peers, and the way of their messages.
	settleTime = time.Second
)

// belief is how recent the knowledge of the store is.
type belief struct {
	// confirmed is when the read was sent that last brought or confirmed the mirror:
	// the mirror holds everything that was published before.
	confirmed boottime.Instant
	heard     boottime.Instant // when the last read was sent that anybody known had an answer to
	returned  boottime.Instant // when the store was last heard again after an outage
}

// hear notes that a read of the store that was sent at an instant had an answer. It comes
// before the changes that the read brought: entries that lapsed in an outage are told
// apart by it.
func (s *State) hear(now, at boottime.Instant) {
	if at <= s.belief.heard {
		return
	}
	if gap := at.Sub(s.belief.heard); s.belief.heard != 0 && gap > outageGap {
		s.belief.returned = now
		s.log(event.StoreReturned, "gap_ms", gap.Milliseconds(), "revision", s.mirror.Revision())
	}
	s.belief.heard = at
}

// confirm notes that the mirror held everything that was published before an instant.
func (s *State) confirm(now, at boottime.Instant) {
	s.hear(now, at)
	s.belief.confirmed = max(s.belief.confirmed, at)
}

// unsettle notes that the revision of the mirror is that of a list, and so of a heartbeat:
// peers that hold all the same would fetch everything again.
func (s *State) unsettle(now boottime.Instant) { s.unsettled = now }

// settle takes a peer's word that it covers all that was published before an instant, and
// that nothing after its revision means anything.
func (s *State) settle(at boottime.Instant, peer fleet.Revision) {
	if s.unsettled == 0 || at.Before(s.reader.done) {
		return
	}
	s.mirror.SettleRevision(peer)
	s.unsettled = 0
}

// told returns the revision that peers are told, 0 while it says nothing.
func (s *State) told(now boottime.Instant) fleet.Revision {
	if s.unsettled != 0 && now.Sub(s.unsettled) < settleTime {
		return 0
	}
	return s.mirror.Revision()
}

// SnapshotAge returns the time since the sending of the read that last confirmed what is known.
func (s *State) SnapshotAge(now boottime.Instant) time.Duration { return now.Sub(s.belief.confirmed) }

// Revision returns the store's revision that is known.
func (s *State) Revision() fleet.Revision { return s.mirror.Revision() }

// current tells whether the configuration is recent enough to accept keys by it.
func (s *State) current(now boottime.Instant) bool {
	if !s.opts.StrictRevoke || !s.table.HasWorkspaces() {
		return true
	}
	return s.SnapshotAge(now) <= s.opts.AuthStalenessBound
}

// apply adopts an update of the store's items.
func (s *State) apply(now boottime.Instant, u published.Update) {
	before := s.mirror.Revision()
	changes := s.mirror.Apply(u)
	if s.mirror.Revision() != before {
		s.news = s.newsFrom(before)
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
		s.dropEndpoint(now, r.ID)
	}
}

func (s *State) adoptEvacuation(e published.Evacuation) {
	if s.evacuated[e.DataCentre] == !e.Ended {
		return
	}
	s.evacuated[e.DataCentre] = !e.Ended
	s.log(event.DataCentreState, "data_centre", e.DataCentre, "out", !e.Ended, "revision", s.mirror.Revision())
}
