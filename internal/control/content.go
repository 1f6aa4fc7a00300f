package control

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

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

// adoptChanges derives the state from changes of the content. One that panics keeps no other from being adopted.
func (s *State) adoptChanges(now boottime.Instant, changes []published.ItemChange) {
	for _, c := range changes {
		if c.Err != nil {
			s.log(event.ItemUnreadable, "key", c.Key, "err", c.Err.Error())
		}
		s.contain("adopt", func() { s.adopt(now, c) }, "key", c.Key)
	}
	if len(changes) > 0 {
		s.indexServices()
	}
}

// adopt derives the state from a change of the content. One without a record changes nothing.
func (s *State) adopt(now boottime.Instant, c published.ItemChange) {
	switch r := c.Record.(type) {
	case published.Config:
		s.table = routing.NewTable(r.Config)
		s.adoptKey(now, r.Config)
		s.adoptStreamLifetime(now, r.Config)
		s.log(event.ConfigAdopted, "version", r.Config.Version, "revision", s.mirror.Revision(),
			"age_ms", s.SnapshotAge(now).Milliseconds(), "routes", len(r.Config.Routes))
	case published.Evacuation:
		s.adoptEvacuation(now, r, c.Lost)
	case published.Endpoint:
		s.adoptEndpoint(now, r.Endpoint)
	case published.EndpointGone:
		s.unlistEndpoint(now, r.ID)
	}
}
