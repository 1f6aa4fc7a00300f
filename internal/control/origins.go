package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// streamLifetimeFactor times the longest timeout of a route with resumable streams is how long a stream
	// may last, over all requests of its caller.
	streamLifetimeFactor = 2
	minStreamLifetime    = 15 * time.Second
	maxStreamLifetime    = 2 * time.Minute
	// soleVersionStaleness is the snapshot age up to which a service may count as having one version: an
	// endpoint of another one may have been listed since.
	soleVersionStaleness = time.Second
	// reconnectRegistrationDelay is how long after the first connection to an endpoint that was down its entry may
	// still be that of the process before.
	reconnectRegistrationDelay = time.Second
	// failureRegistrationDelay is the same after the first response or connection since a failed response, which may
	// have been the end of the process.
	failureRegistrationDelay = 200 * time.Millisecond
	// registrationDelay is how long after its start an endpoint's new incarnation may publish its entry.
	registrationDelay = 2 * time.Second
	// clockTolerance is how far the wall clocks of gateways and endpoints may differ.
	clockTolerance = 5 * time.Second
	// originCheckInterval is the time between two checks for expired records and for changed versions.
	originCheckInterval = 200 * time.Millisecond
	// originsPerMessage is how many origins fit into one datagram.
	originsPerMessage = 24
)

// origins is what this process knows about where streams began.
type origins struct {
	table          *origin.Table
	lookups        origin.Lookups
	histories      map[fleet.ServiceID]*origin.History
	streamLifetime time.Duration
	checkedAt      boottime.Instant
}

func newOrigins() origins {
	return origins{
		table:          origin.NewTable(),
		histories:      map[fleet.ServiceID]*origin.History{},
		streamLifetime: minStreamLifetime,
	}
}

// adoptStreamLifetime derives how long streams may last from the routes.
func (s *State) adoptStreamLifetime(c *routing.Config) {
	longest := time.Duration(0)
	for i := range c.Routes {
		if c.Routes[i].Resumable {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	s.origins.streamLifetime = min(max(streamLifetimeFactor*longest, minStreamLifetime), maxStreamLifetime)
}

// noteVersionReplaced records that an endpoint no longer has its version.
func (s *State) noteVersionReplaced(now boottime.Instant, e *endpoint) {
	h := s.origins.histories[e.Service]
	if h == nil {
		h = &origin.History{}
		s.origins.histories[e.Service] = h
	}
	h.Replaced(now, e.version)
}

// soleVersion returns the only version that endpoints of a service have had for as long as a stream may last,
// or 0 if there were several, or if this process cannot know.
func (s *State) soleVersion(now boottime.Instant, service fleet.ServiceID) origin.Version {
	if s.SnapshotAge(now) > soleVersionStaleness {
		return 0
	}
	young := now.Sub(s.join.processStart) < s.origins.streamLifetime
	var present []origin.Version
	for _, e := range s.services[service] {
		if !e.listed && e.graceUntil == 0 {
			continue
		}
		if young && e.listedAtStart && !s.startedLongAgo(e) {
			return 0
		}
		present = append(present, e.version)
	}
	h := s.origins.histories[service]
	if h == nil {
		h = &origin.History{}
	}
	return h.Sole(now, s.origins.streamLifetime, present)
}

// startedLongAgo reports whether an endpoint already ran when the oldest stream that a caller may still resume
// could have begun before the start of this process. If all endpoints did, none of them replaced another version
// meanwhile.
func (s *State) startedLongAgo(e *endpoint) bool {
	if e.Incarnation == 0 || s.opts.StartedAt.IsZero() {
		return false
	}
	age := s.opts.StartedAt.Sub(time.UnixMilli(int64(e.Incarnation)))
	return age >= s.origins.streamLifetime+clockTolerance
}

// soleVersionOf returns the only version of all services of a route, or 0.
func (s *State) soleVersionOf(now boottime.Instant, services []fleet.ServiceID) origin.Version {
	sole := origin.Version(0)
	for i, id := range services {
		v := s.soleVersion(now, id)
		if v == 0 || i > 0 && v != sole {
			return 0
		}
		sole = v
	}
	return sole
}

// StreamStarted records that the first event of a stream came from the endpoint of an attempt. It must be called
// before the event is forwarded to the caller, who may resume the stream for the time given.
func (s *State) StreamStarted(now boottime.Instant, stream fleet.RequestID, a *Attempt, resumableFor time.Duration) {
	id := origin.ID(stream)
	s.origins.table.Add(id, origin.Record{
		Version:     a.version,
		Endpoint:    a.endpoint.shortID(),
		Incarnation: a.incarnation,
		SentAt:      a.sentAt,
		Certain:     a.versionCertain,
		Expires:     now.Add(min(resumableFor, s.origins.streamLifetime)),
		Service:     a.endpoint.Service,
		Own:         true,
	})
	if s.soleVersion(now, a.endpoint.Service) == 0 {
		s.replicate(now, []origin.StreamID{id})
	}
}

// replicate sends own records to the gateways that others ask for them.
func (s *State) replicate(now boottime.Instant, ids []origin.StreamID) {
	batches := map[fleet.InstanceID][]wire.StreamOrigin{}
	members := map[fleet.InstanceID]mesh.Member{}
	for _, id := range ids {
		r, ok := s.origins.table.Get(now, id)
		if !ok {
			continue
		}
		s.origins.table.MarkReplicated(id)
		for _, m := range s.mesh.Replicas(now, uint64(id)) {
			members[m.ID] = m
			batches[m.ID] = append(batches[m.ID], encodeOrigin(now, id, r))
		}
	}
	for to, batch := range batches {
		for len(batch) > 0 {
			n := min(len(batch), originsPerMessage)
			s.sendTo(members[to], wire.StreamOrigins{Origins: batch[:n]})
			batch = batch[n:]
		}
	}
}

func encodeOrigin(now boottime.Instant, id origin.StreamID, r origin.Record) wire.StreamOrigin {
	return wire.StreamOrigin{
		Stream:      uint64(id),
		Version:     uint32(r.Version),
		Endpoint:    r.Endpoint,
		Incarnation: r.Incarnation,
		AgeMS:       uint32(now.Sub(r.SentAt) / time.Millisecond),
		Certain:     r.Certain,
		LeftMS:      uint32(r.Expires.Sub(now) / time.Millisecond),
	}
}

func (s *State) sendTo(m mesh.Member, message wire.Message) {
	s.emit(Send{mesh.Outgoing{To: m.ID, Addr: m.Addr, Message: message}})
}

// receiveOrigins adds the records that a peer replicates.
func (s *State) receiveOrigins(now boottime.Instant, from fleet.InstanceID, m wire.StreamOrigins) {
	if _, known := s.mesh.Member(from); !known {
		s.join.unknownPeer = true
		return
	}
	for _, o := range m.Origins {
		left := min(time.Duration(o.LeftMS)*time.Millisecond, maxStreamLifetime)
		s.origins.table.Add(origin.StreamID(o.Stream), origin.Record{
			Version:     origin.Version(o.Version),
			Endpoint:    o.Endpoint,
			Incarnation: o.Incarnation,
			SentAt:      now.Add(-time.Duration(o.AgeMS) * time.Millisecond),
			Certain:     o.Certain,
			Expires:     now.Add(left),
		})
	}
}

// LookUpOrigin starts to find out at which version a stream began that a caller resumes on a route. The result is
// known once the lookup is done.
func (s *State) LookUpOrigin(now boottime.Instant, stream fleet.RequestID, route *routing.Route) *origin.Lookup {
	id := origin.ID(stream)
	services := route.Services()
	if v := s.soleVersionOf(now, services); v != 0 {
		return origin.Resolved(id, v)
	}
	if r, ok := s.origins.table.Get(now, id); ok {
		return origin.Resolved(id, s.recordedVersion(r))
	}
	if stream == "" {
		return origin.Resolved(id, 0)
	}
	return s.askPeers(now, id, services)
}

func (s *State) askPeers(now boottime.Instant, id origin.StreamID, services []fleet.ServiceID) *origin.Lookup {
	candidates := s.mesh.ReplicaCandidates(now, uint64(id))
	ask := make([]fleet.InstanceID, len(candidates))
	for i, m := range candidates {
		ask[i] = m.ID
	}
	number, lookup := s.origins.lookups.Start(now, id, ask)
	query := wire.OriginQuery{Query: number, Stream: uint64(id)}
	for _, service := range services {
		query.Services = append(query.Services, uint32(fleet.Hash(string(service))))
	}
	for _, m := range candidates {
		s.sendTo(m, query)
	}
	lookup.Services = query.Services
	return lookup
}

// versionCertain reports whether an endpoint has the version of its entry. After it was down, it may be another
// process with another version, whose entry this process does not have yet.
func (s *State) versionCertain(e *endpoint) bool {
	return s.freshness.confirmedAt >= e.entryNeededSince
}

// noteReconnected records that an endpoint that was down has accepted a connection.
func (s *State) noteReconnected(now boottime.Instant, e *endpoint) {
	e.entryNeededSince = max(e.entryNeededSince, now.Add(reconnectRegistrationDelay))
}

// noteFailed records a failed response of an endpoint, to this process or a peer.
func (e *endpoint) noteFailed(now boottime.Instant) {
	e.failedAt, e.aliveAt = now, 0
}

// noteAlive records that an endpoint has responded or accepted a connection.
func (e *endpoint) noteAlive(now boottime.Instant) {
	e.health.lastSuccess = now
	if e.failedAt != 0 && e.aliveAt == 0 {
		e.aliveAt = now
	}
}

// mayHaveRestarted reports whether an endpoint has failed and may since be another process whose entry this process
// does not have yet.
func (s *State) mayHaveRestarted(e *endpoint) bool {
	return e.failedAt != 0 && (e.aliveAt == 0 || s.freshness.confirmedAt < e.aliveAt.Add(failureRegistrationDelay))
}

// recordedVersion returns the version of a record, or 0 if the endpoint may have been restarted with another
// version before the request was sent: its entry was then the former one.
func (s *State) recordedVersion(r origin.Record) origin.Version {
	e := s.endpointByShortID(r.Endpoint)
	switch {
	case e == nil || e.Incarnation == r.Incarnation && e.version == r.Version:
		if r.Certain || e != nil && s.freshness.confirmedAt >= r.SentAt.Add(reconnectRegistrationDelay) {
			return r.Version
		}
		return 0
	case e.version == r.Version || r.SentAt.Before(e.incarnationNotBefore):
		return r.Version
	default:
		return 0
	}
}

// answerOriginQuery replies to a peer with what this process knows about a stream.
func (s *State) answerOriginQuery(now boottime.Instant, from fleet.InstanceID, q wire.OriginQuery) {
	m, known := s.mesh.Member(from)
	if !known {
		s.join.unknownPeer = true
		return
	}
	reply := wire.OriginReply{Query: q.Query}
	if r, ok := s.origins.table.Get(now, origin.StreamID(q.Stream)); ok {
		reply.Version = uint32(s.recordedVersion(r))
	} else {
		reply.SoleVersion = uint32(s.soleVersionOf(now, s.servicesByHash(q.Services)))
	}
	s.sendTo(m, reply)
}

// servicesByHash returns the services with the given hashes, with "" for one that is not known.
func (s *State) servicesByHash(hashes []uint32) []fleet.ServiceID {
	out := make([]fleet.ServiceID, len(hashes))
	for i, h := range hashes {
		for id := range s.services {
			if uint32(fleet.Hash(string(id))) == h {
				out[i] = id
			}
		}
	}
	return out
}

func (s *State) receiveOriginReply(from fleet.InstanceID, m wire.OriginReply) {
	s.origins.lookups.Receive(m.Query, from, origin.Reply{Version: origin.Version(m.Version), Sole: origin.Version(m.SoleVersion)})
}

// tickOrigins repeats and ends lookups, deletes expired records, and replicates the own records of services that
// no longer have one version only.
func (s *State) tickOrigins(now boottime.Instant) {
	o := &s.origins
	o.lookups.Tick(now, func(number uint32, l *origin.Lookup, to fleet.InstanceID) {
		if m, ok := s.mesh.Member(to); ok {
			s.sendTo(m, wire.OriginQuery{Query: number, Stream: uint64(l.Stream), Services: l.Services})
		}
	})
	if now.Sub(o.checkedAt) < originCheckInterval {
		return
	}
	o.checkedAt = now
	o.table.Expire(now)
	s.replicateWhereVersionsDiffer(now)
}

func (s *State) replicateWhereVersionsDiffer(now boottime.Instant) {
	sole := map[fleet.ServiceID]bool{}
	for service := range s.services {
		sole[service] = s.soleVersion(now, service) != 0
	}
	due := s.origins.table.Unreplicated(func(service fleet.ServiceID) bool { return !sole[service] })
	if len(due) == 0 {
		return
	}
	s.replicate(now, due)
	s.log(event.OriginsReplicated, "streams", len(due))
}

// StreamVersion returns the version at which a stream began that this process has forwarded events of, or 0 if it
// is not certain.
func (s *State) StreamVersion(now boottime.Instant, stream fleet.RequestID) origin.Version {
	r, ok := s.origins.table.Get(now, origin.ID(stream))
	if !ok {
		return 0
	}
	return s.recordedVersion(r)
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
