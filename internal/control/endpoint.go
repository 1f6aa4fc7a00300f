package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// removedEndpointRetention is how long the state of a removed endpoint without requests in flight is
// kept. Its health and cold-start state are reused if the endpoint is listed again.
const removedEndpointRetention = 30 * time.Second

// endpoint is the state of one endpoint in this process. It is listed while the store has an entry
// for it. After that it may stay usable for a grace period (see unlistEndpoint), and it counts as
// removed at the end of that period, or immediately if there is none.
type endpoint struct {
	fleet.Endpoint
	hash                  uint64
	serviceHash           uint32 // low 32 bits of the hash of its service's ID
	listed                bool
	graceUntil            boottime.Instant // end of the grace period after its entry expired; 0: none
	removedAt             boottime.Instant // when it was removed; 0: not removed
	incarnationKnownSince boottime.Instant // when its incarnation was first seen or presumed to start (see assumeColdStart)
	restartSuspectedAt    boottime.Instant // last sign that its process may have ended since its entry was written, see suspectRestart; 0: none
	incarnationNotBefore  boottime.Instant // its incarnation did not start before this time; 0: not known
	version               origin.Version   // of its software
	ownReport             reportedIncarnation
	addrReused            bool              // another endpoint has responded at its address
	unconfirmedUntil      boottime.Instant  // it had been removed and is in an older copy of the store's content; 0: no
	announcedLeaving      bool              // its incarnation has said in a response that it leaves
	noRequestsUntil       boottime.Instant  // it wants no requests from this gateway before; also for its next incarnation
	inFlight              int               // requests of this process
	attempts              map[*Attempt]bool // the attempts of those requests
	lastProgress          boottime.Instant  // last start or end of a response to this process; 0: none
	reported              reportedLoad
	probeRequested        bool // a request might have been sent to it if it were not down
	coldStart             coldStart
	health                health
	outlier               outlierState
	process               processEnd
}

// shortID is the form of the endpoint's ID in messages to peers.
func (e *endpoint) shortID() uint32 { return uint32(e.hash) }

// adoptEndpoint applies an endpoint's entry. A new address or incarnation resets its health.
func (s *State) adoptEndpoint(now boottime.Instant, rec fleet.Endpoint) {
	e := s.endpoints[rec.ID]
	if e == nil {
		e = &endpoint{hash: fleet.Hash(string(rec.ID)), incarnationKnownSince: now, attempts: map[*Attempt]bool{}}
		s.endpoints[rec.ID] = e
	}
	if s.eraIsNew(now) && e.removedAt != 0 && e.Incarnation == rec.Incarnation {
		e.unconfirmedUntil = s.freshness.eraSince.Add(republishTime)
		rec.Leaving = rec.Leaving || e.Leaving
	}
	version := origin.VersionOf(rec.Version)
	if e.version != 0 && e.version != version {
		s.noteVersionReplaced(now, e)
	}
	if e.version != 0 && (e.Incarnation != rec.Incarnation || e.version != version) {
		e.incarnationNotBefore = s.freshness.confirmedBefore.Add(-registrationDelay)
	}
	e.version = version
	if e.Addr != rec.Addr || e.Incarnation != rec.Incarnation {
		s.noteProcessEnded(now, e)
		e.process = processEnd{}
		e.addrReused = false
		e.announcedLeaving = false
		e.health = health{}
		e.restartSuspectedAt = 0
		e.ownReport = reportedIncarnation{}
		e.outlier = outlierState{}
		e.incarnationKnownSince = now
	}
	if e.Leaving != rec.Leaving || !e.listed {
		s.log(event.EndpointListed, "endpoint", rec.ID, "service", rec.Service, "version", rec.Version, "incarnation", rec.Incarnation, "addr", rec.Addr, "data_centre", rec.DataCentre,
			"leaving", rec.Leaving, "cold_ms", rec.ColdRemaining.Milliseconds(), "revision", s.mirror.Revision())
	}
	e.Endpoint = rec
	e.serviceHash = uint32(fleet.Hash(string(rec.Service)))
	e.listed, e.graceUntil, e.removedAt = true, 0, 0
	e.coldStart.until = max(e.coldStart.until, now.Add(rec.ColdRemaining))
}

// unlistEndpoint handles the removal of an endpoint's entry. Soon after the store's recovery from an
// outage, the entry may be missing because the endpoint could not renew it; an endpoint that was not
// leaving then stays usable until reregistrationGrace after the recovery.
func (s *State) unlistEndpoint(now boottime.Instant, id fleet.EndpointID) {
	e := s.endpoints[id]
	if e == nil || !e.listed {
		return
	}
	s.noteProcessEnded(now, e)
	e.listed = false
	if end := s.freshness.recoveredAt.Add(reregistrationGrace); s.freshness.recoveredAt != 0 && now.Before(end) && !e.Leaving {
		e.graceUntil = end
		s.log(event.EndpointLapsed, "endpoint", id, "used_for_ms", end.Sub(now).Milliseconds(), "revision", s.mirror.Revision())
		return
	}
	s.removeEndpoint(now, e)
}

func (s *State) removeEndpoint(now boottime.Instant, e *endpoint) {
	e.graceUntil, e.removedAt = 0, now
	s.noteVersionReplaced(now, e)
	s.log(event.EndpointRemoved, "endpoint", e.ID, "service", e.Service, "in_flight", e.inFlight, "revision", s.mirror.Revision())
}

// service returns the configured service of an endpoint, or nil.
func (s *State) service(e *endpoint) *routing.Service {
	if s.table == nil {
		return nil
	}
	return s.table.Service(e.Service)
}

// usable reports whether new requests may be sent to an endpoint. It does not consider health.
func (s *State) usable(now boottime.Instant, e *endpoint) bool {
	if e.Leaving || now.Before(e.unconfirmedUntil) || e.announcedLeaving || e.addrReused || s.evacuated[e.DataCentre] {
		return false
	}
	return e.listed || now.Before(e.graceUntil)
}

// tickEndpoints ends grace periods, deletes the state of removed endpoints and starts probes.
func (s *State) tickEndpoints(now boottime.Instant) {
	deleted := false
	for _, e := range s.endpointList {
		if e.graceUntil != 0 && !now.Before(e.graceUntil) {
			s.removeEndpoint(now, e)
		}
		if e.removedAt != 0 && e.inFlight == 0 && now.Sub(e.removedAt) > removedEndpointRetention {
			delete(s.endpoints, e.ID)
			deleted = true
		}
		s.tickProbe(now, e)
		s.tickBreaks(now, e)
	}
	if deleted {
		s.indexServices()
	}
}

// indexServices rebuilds the list of endpoints and those of each service, in the order of their IDs. What has effects on
// other processes, or uses random numbers, goes through the endpoints in this order, so that a simulation can be repeated.
func (s *State) indexServices() {
	clear(s.services)
	clear(s.endpointsByShort)
	var listed []uint32
	s.endpointList = slices.SortedFunc(maps.Values(s.endpoints), func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, e := range s.endpointList {
		s.services[e.Service] = append(s.services[e.Service], e)
		s.endpointsByShort[e.shortID()] = e
		if e.listed {
			listed = append(listed, e.shortID())
		}
	}
	s.mesh.SetEndpoints(listed)
}
