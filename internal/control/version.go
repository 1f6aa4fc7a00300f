package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	// entryDelay is how long after the start of an endpoint's new incarnation its entry may still be the former one, if nothing
	// shows that it has started.
	entryDelay = 200 * time.Millisecond
	// restartEntryDelay is the same after a sign that the endpoint may have been restarted, for an endpoint that reports no
	// incarnation.
	restartEntryDelay = time.Second
	// registrationDelay is how long after its start an endpoint's new incarnation may publish its entry.
	registrationDelay = 2 * time.Second
)

// suspectRestart records a sign that the process of an endpoint may have ended since its entry was written: a connection was
// refused, timed out or broke off, or it accepts connections again.
func (e *endpoint) suspectRestart(now boottime.Instant) { e.restartSuspectedAt = now }

// entryCertain reports whether the process of an endpoint is the one of its entry, as far as known: nothing shows that it may
// have been restarted, or it has reported the incarnation of its entry since.
func (s *State) entryCertain(e *endpoint) bool {
	if e.restartSuspectedAt == 0 || e.ownReport.confirmed >= e.restartSuspectedAt {
		return true
	}
	return e.Incarnation == 0 && s.freshness.confirmedAt >= e.restartSuspectedAt.Add(restartEntryDelay)
}

// recordedVersion returns the version of a record, or 0 if the endpoint may have been restarted with another
// version before the request was sent: its entry was then the former one. The result is final if it is proven.
func (s *State) recordedVersion(now boottime.Instant, r origin.Record) (v origin.Version, proven bool) {
	e := s.endpointByShortID(r.Endpoint)
	switch {
	case e == nil:
		return certainVersion(r), true
	case e.Incarnation == r.Incarnation && e.version == r.Version:
		if s.incarnationProven(now, e, r) {
			return r.Version, true
		}
		return 0, false
	case e.version == r.Version:
		return r.Version, true
	case r.SentAt.Before(e.incarnationNotBefore):
		return certainVersion(r), true
	default:
		return 0, true
	}
}

func certainVersion(r origin.Record) origin.Version {
	if r.Certain {
		return r.Version
	}
	return 0
}

// incarnationProven reports whether an endpoint whose entry has the incarnation of a record had it when the request of
// the record was sent. The endpoint itself proves it, with a later report. Only if it cannot be asked, the store does: it was read so
// much later that the entry of another incarnation would have been there.
func (s *State) incarnationProven(now boottime.Instant, e *endpoint, r origin.Record) bool {
	if e.Incarnation == 0 {
		delay := restartEntryDelay
		if r.Certain {
			delay = entryDelay
		}
		return s.freshness.confirmedAt >= r.SentAt.Add(delay)
	}
	if e.ownReport.confirmed >= r.SentAt {
		return true
	}
	if !r.Certain || e.ownReport.successor != 0 || !e.health.down && !e.ownReport.unanswered(now) {
		return false
	}
	return s.freshness.confirmedAt >= r.SentAt.Add(entryDelay)
}

// StreamVersion returns the version at which a stream began that this process has forwarded events of, or 0 if it
// is not certain. The endpoint is then asked for its incarnation.
func (s *State) StreamVersion(now boottime.Instant, stream fleet.RequestID) origin.Version {
	v, unproven := s.peekStreamVersion(now, stream)
	if unproven != nil {
		s.ask(now, unproven)
	}
	return v
}

// peekStreamVersion is StreamVersion without effects. It also returns the endpoint that is to be asked, or nil.
func (s *State) peekStreamVersion(now boottime.Instant, stream fleet.RequestID) (origin.Version, *endpoint) {
	r, ok := s.origins.table.Get(now, origin.ID(stream))
	if !ok {
		return 0, nil
	}
	v, proven := s.recordedVersion(now, r)
	if proven {
		return v, nil
	}
	return v, s.endpointByShortID(r.Endpoint)
}

// LookUpOwnStream starts to find out what StreamVersion returns once the record of the stream is proven. The result is
// known when the lookup is done.
func (s *State) LookUpOwnStream(now boottime.Instant, stream fleet.RequestID) *origin.Lookup {
	id := origin.ID(stream)
	r, ok := s.origins.table.Get(now, id)
	if !ok {
		return origin.Resolved(id, 0)
	}
	return s.lookUpRecord(now, origin.NewLookup(id), r)
}

// offersVersion reports whether an endpoint of a version may get new requests for a service.
func (s *State) offersVersion(now boottime.Instant, service fleet.ServiceID, v origin.Version) bool {
	for _, e := range s.services[service] {
		if e.version == v && s.usable(now, e) {
			return true
		}
	}
	return false
}

// ServiceOffering returns a service of a route that offers a version: preferred, if it does or if none does.
func (s *State) ServiceOffering(now boottime.Instant, route *routing.Route, preferred fleet.ServiceID, v origin.Version) fleet.ServiceID {
	if s.offersVersion(now, preferred, v) {
		return preferred
	}
	for _, service := range route.Services() {
		if s.offersVersion(now, service, v) {
			return service
		}
	}
	return preferred
}
