package control

import (
	"maps"
	"slices"
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
	// originCheckInterval is the time between two checks for expired records and for changed versions.
	originCheckInterval = 200 * time.Millisecond
	// originsPerMessage is how many origins fit into one datagram.
	originsPerMessage = 24
)

// origins is what this process knows about where streams began.
type origins struct {
	table          *origin.Table
	lookups        origin.Lookups
	unproven       []unprovenRecord
	inquiries      []inquiry
	histories      map[fleet.ServiceID]*origin.History
	knownSince     boottime.Instant // from when on this process itself knows the versions of all services; 0: it has no copy of the store
	historyReads   historyReads
	streamLifetime time.Duration // of the streams that may still last

	shorterLifetime time.Duration    // of streams admitted now, if it is shorter; 0: it is not
	shorterFrom     boottime.Instant // when all streams have the shorter lifetime
	checkedAt       boottime.Instant
}

func newOrigins() origins {
	return origins{
		table:          origin.NewTable(),
		histories:      map[fleet.ServiceID]*origin.History{},
		streamLifetime: minStreamLifetime,
	}
}

// StreamStarted records that the first event of a stream came from the endpoint of an attempt. It must be called
// before the event is forwarded to the caller, who may resume the stream for the time given.
func (s *State) StreamStarted(now boottime.Instant, stream fleet.RequestID, a *Attempt, resumableFor time.Duration) {
	id := origin.ID(stream)
	s.origins.table.Add(id, origin.Record{
		Version:     a.version,
		Endpoint:    a.endpoint.shortID(),
		Incarnation: a.Incarnation,
		SentAt:      a.sentAt,
		Certain:     a.entryCertain,
		Expires:     now.Add(min(resumableFor, s.origins.streamLifetime)),
		Service:     a.endpoint.Service,
		Own:         true,
	})
	if !a.entryCertain {
		s.ask(now, a.endpoint)
	}
	if !a.entryCertain || s.mayHaveSeveralVersions(now, a.endpoint.Service) {
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
	for _, to := range slices.Sorted(maps.Keys(batches)) {
		batch := batches[to]
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
		s.origins.table.Add(origin.StreamID(o.Stream), decodeOrigin(now, o))
	}
}

func decodeOrigin(now boottime.Instant, o wire.StreamOrigin) origin.Record {
	left := min(time.Duration(o.LeftMS)*time.Millisecond, maxStreamLifetime)
	return origin.Record{
		Version:     origin.Version(o.Version),
		Endpoint:    o.Endpoint,
		Incarnation: o.Incarnation,
		SentAt:      now.Add(-time.Duration(o.AgeMS) * time.Millisecond),
		Certain:     o.Certain,
		Expires:     now.Add(left),
	}
}

// LookUpOrigin starts to find out at which version a stream began that a caller resumes on a route, or any stream of the
// route if the caller names none. The result is known once the lookup is done.
func (s *State) LookUpOrigin(now boottime.Instant, stream fleet.RequestID, route *routing.Route) *origin.Lookup {
	id := origin.ID(stream)
	if r, ok := s.origins.table.Get(now, id); ok {
		return s.lookUpRecord(now, origin.NewLookup(id), r)
	}
	return s.inquire(now, id, route.Services())
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

// answerOriginQuery replies to a peer with what this process knows about a stream.
func (s *State) answerOriginQuery(now boottime.Instant, from fleet.InstanceID, q wire.OriginQuery) {
	m, known := s.mesh.Member(from)
	if !known {
		s.join.unknownPeer = true
		return
	}
	reply := wire.OriginReply{Query: q.Query}
	if r, ok := s.origins.table.Get(now, origin.StreamID(q.Stream)); ok {
		v, proven := s.recordedVersion(now, r)
		reply.Recorded, reply.Version = true, uint32(v)
		if !proven {
			reply.Unproven = []wire.StreamOrigin{encodeOrigin(now, origin.StreamID(q.Stream), r)}
		}
	} else {
		s.addSoleVersion(now, &reply, s.servicesByHash(q.Services))
	}
	s.sendTo(m, reply)
}

// servicesByHash returns the services with the given hashes, with "" for one that is not known.
func (s *State) servicesByHash(hashes []uint32) []fleet.ServiceID {
	known := make(map[uint32]fleet.ServiceID, len(s.services))
	for id := range s.services {
		known[uint32(fleet.Hash(string(id)))] = id
	}
	out := make([]fleet.ServiceID, len(hashes))
	for i, h := range hashes {
		out[i] = known[h]
	}
	return out
}

func (s *State) receiveOriginReply(now boottime.Instant, from fleet.InstanceID, m wire.OriginReply) {
	if len(m.Unproven) > 0 {
		if l := s.origins.lookups.Take(m.Query, from); l != nil {
			s.dropInquiry(l)
			s.lookUpRecord(now, l, decodeOrigin(now, m.Unproven[0]))
		}
		return
	}
	l := s.origins.lookups.Asked(m.Query, from)
	if l == nil {
		return
	}
	s.learnVersions(now, l, m)
	s.origins.lookups.Receive(m.Query, from, origin.Reply{Recorded: m.Recorded, Version: origin.Version(m.Version)})
	if l.Unrecorded() {
		s.settleInquiries(now)
	}
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
	s.proveRecords(now)
	s.settleInquiries(now)
	if now.Sub(o.checkedAt) < originCheckInterval {
		return
	}
	o.checkedAt = now
	s.tickStreamLifetime(now)
	o.table.Expire(now)
	s.replicateWhereVersionsDiffer(now)
}

func (s *State) replicateWhereVersionsDiffer(now boottime.Instant) {
	several := map[fleet.ServiceID]bool{}
	for service := range s.services {
		several[service] = s.mayHaveSeveralVersions(now, service)
	}
	due := s.origins.table.Unreplicated(func(service fleet.ServiceID) bool { return several[service] })
	if len(due) == 0 {
		return
	}
	s.replicate(now, due)
	s.log(event.OriginsReplicated, "streams", len(due))
}
