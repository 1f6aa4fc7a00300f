package control

import (
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// keepUnlisted is for how long an endpoint without an entry is remembered, so that what
// still runs there is counted if it comes back.
const keepUnlisted = 30 * time.Second

// endpoint is what this process knows of one endpoint.
type endpoint struct {
	fleet.Endpoint
	hash     uint64
	listed   bool
	lapses   boottime.Instant  // until when it is used although its entry is gone, 0: it is listed
	dropped  boottime.Instant  // when its entry was gone for good
	since    boottime.Instant  // when this run of it became known
	moved    bool              // another endpoint answers at its address
	inFlight int               // requests of this process there
	tickets  map[*Attempt]bool // of those requests
	told     told
	wanted   bool // a request would have gone there if it were not down
	cold     coldness
	health   health
}

// short is the form in which peers name an endpoint.
func (e *endpoint) short() uint32 { return uint32(e.hash) }

func (s *State) adoptEndpoint(now boottime.Instant, rec fleet.Endpoint) {
	e := s.endpoints[rec.ID]
	if e == nil {
		e = &endpoint{hash: fleet.Hash(string(rec.ID)), since: now, tickets: map[*Attempt]bool{}}
		s.endpoints[rec.ID] = e
	}
	if e.Addr != rec.Addr || e.Incarnation != rec.Incarnation {
		e.moved = false
		e.health = health{}
		e.since = now
	}
	if e.Leaving != rec.Leaving || !e.listed {
		s.log(event.EndpointListed, "endpoint", rec.ID, "service", rec.Service, "addr", rec.Addr, "data_centre", rec.DataCentre,
			"leaving", rec.Leaving, "cold_ms", rec.ColdRemaining.Milliseconds(), "revision", s.mirror.Revision())
	}
	e.Endpoint = rec
	e.listed, e.lapses, e.dropped = true, 0, 0
	e.cold.until = max(e.cold.until, now.Add(rec.ColdRemaining))
}

// dropEndpoint takes an entry's end. Right after an outage of the store the endpoint may
// only not have renewed it yet.
func (s *State) dropEndpoint(now boottime.Instant, id fleet.EndpointID) {
	e := s.endpoints[id]
	if e == nil || !e.listed {
		return
	}
	e.listed = false
	if end := s.belief.returned.Add(returnTime); s.belief.returned != 0 && now.Before(end) && !e.Leaving {
		e.lapses = end
		s.log(event.EndpointLapsed, "endpoint", id, "used_for_ms", end.Sub(now).Milliseconds(), "revision", s.mirror.Revision())
		return
	}
	s.removeEndpoint(now, e)
}

func (s *State) removeEndpoint(now boottime.Instant, e *endpoint) {
	e.lapses, e.dropped = 0, now
	s.log(event.EndpointRemoved, "endpoint", e.ID, "service", e.Service, "in_flight", e.inFlight, "revision", s.mirror.Revision())
}

// service returns the published service of an endpoint, or nil.
func (s *State) service(e *endpoint) *routing.Service {
	if s.table == nil {
		return nil
	}
	return s.table.Service(e.Service)
}

// usable tells whether new requests may go to an endpoint.
func (s *State) usable(now boottime.Instant, e *endpoint) bool {
	if e.Leaving || e.moved || s.evacuated[e.DataCentre] {
		return false
	}
	return e.listed || now.Before(e.lapses)
}

func (s *State) tickEndpoints(now boottime.Instant) {
	forgotten := false
	for id, e := range s.endpoints {
		if e.lapses != 0 && !now.Before(e.lapses) {
			s.removeEndpoint(now, e)
		}
		if e.dropped != 0 && e.inFlight == 0 && now.Sub(e.dropped) > keepUnlisted {
			delete(s.endpoints, id)
			forgotten = true
		}
		s.tickProbe(now, e)
	}
	if forgotten {
		s.indexServices()
	}
}

func (s *State) indexServices() {
	clear(s.services)
	for _, e := range s.endpoints {
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, es := range s.services {
		slices.SortFunc(es, func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
}
