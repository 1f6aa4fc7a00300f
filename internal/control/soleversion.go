package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// While a service has one version, records of streams are not replicated: a stream without a record began at that version. This is
// inferred when a caller resumes the stream, and only if all of the following hold:
//
//   - The copy of the store was confirmed after the request arrived. An endpoint is listed before a stream begins there, and the
//     stream begins before it is resumed, so the endpoint is in that copy, or in the history of versions if it has left.
//   - The history of versions covers all the time for which a stream may last. A process that has started knows the versions since
//     then. What was before, it learns from peers that knew it, or from the history of the store.
//   - No gateway that may hold a record of the stream has one.

const (
	// replicationStaleness is the age of the copy of the store from which on a service may have a version that this process does
	// not know of, so that records are replicated.
	replicationStaleness = time.Second
	// objectionTime is how long a gateway with a record of a stream has to say so before its version is inferred.
	objectionTime = 40 * time.Millisecond
	// proofReadInterval is the minimum time between two reads of the store to infer versions.
	proofReadInterval = 50 * time.Millisecond
	// minEntryLifetime is the least time for which the entry of an endpoint stays in the store.
	minEntryLifetime = 2 * time.Second
)

// inquiry is a lookup for a stream of which this process has no record.
type inquiry struct {
	lookup   *origin.Lookup
	services []fleet.ServiceID // of the stream's route
	arrived  boottime.Instant  // when the caller's request was here
	until    boottime.Instant
}

// beginVersions records the first copy of the store. In a fleet that starts for the first time, no version was before.
func (s *State) beginVersions(now boottime.Instant) {
	s.origins.knownSince = now
	if s.opts.FirstStart {
		s.origins.knownSince = now.Add(-maxStreamLifetime)
	}
}

// history returns the versions of a service.
func (s *State) history(service fleet.ServiceID) *origin.History {
	h := s.origins.histories[service]
	if h == nil {
		h = origin.NewHistory(s.origins.knownSince)
		s.origins.histories[service] = h
	}
	return h
}

// noteVersionReplaced records that an endpoint no longer has its version.
func (s *State) noteVersionReplaced(now boottime.Instant, e *endpoint) {
	s.history(e.Service).Replaced(now, e.version)
}

// noteGap records that an update of the copy may hide versions. Between two copies that are less than minEntryLifetime apart, no endpoint
// has come and gone.
func (s *State) noteGap(now, lastConfirmed boottime.Instant, u published.Update) {
	if lastConfirmed == 0 || now.Sub(lastConfirmed) <= minEntryLifetime || !s.mayHideVersions(u) {
		return
	}
	s.origins.knownSince = now
	for _, h := range s.origins.histories {
		h.Forget(now)
	}
}

// mayHideVersions reports whether endpoints may have come and gone unseen before an update: it is not based on the former copy, or has
// the deletion of an endpoint that is not known.
func (s *State) mayHideVersions(u published.Update) bool {
	return u.Snapshot || slices.ContainsFunc(u.Items, func(it published.Item) bool {
		record, err := s.opts.Protocol.DecodeItem(it)
		gone, ok := record.(published.EndpointGone)
		return ok && err == nil && s.endpoints[gone.ID] == nil
	})
}

// soleVersion returns the only version that endpoints of a service have had for as long as a stream may last, as far as this
// process knows, or 0.
func (s *State) soleVersion(now boottime.Instant, service fleet.ServiceID) origin.Version {
	return s.history(service).Sole(now, s.origins.streamLifetime, s.presentVersions(service))
}

// peekSoleVersion is soleVersion without effects.
func (s *State) peekSoleVersion(now boottime.Instant, service fleet.ServiceID) origin.Version {
	h := s.origins.histories[service]
	if h == nil {
		h = origin.NewHistory(s.origins.knownSince)
	}
	return h.PeekSole(now, s.origins.streamLifetime, s.presentVersions(service))
}

// presentVersions returns the versions of a service's endpoints.
func (s *State) presentVersions(service fleet.ServiceID) []origin.Version {
	var present []origin.Version
	for _, e := range s.services[service] {
		if e.listed || e.graceUntil != 0 {
			present = append(present, e.version)
		}
	}
	return present
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

// knowsVersions reports whether the history covers all versions of some services for as long as a stream may last.
func (s *State) knowsVersions(now boottime.Instant, services []fleet.ServiceID) bool {
	for _, id := range services {
		if !s.history(id).Covers(now, s.origins.streamLifetime) {
			return false
		}
	}
	return true
}

// mayHaveSeveralVersions reports whether a service has several versions, or may have.
func (s *State) mayHaveSeveralVersions(now boottime.Instant, service fleet.ServiceID) bool {
	return s.SnapshotAge(now) > replicationStaleness || s.soleVersion(now, service) == 0
}

// inquire starts to find out where a stream began of which this process has no record.
func (s *State) inquire(now boottime.Instant, id origin.StreamID, services []fleet.ServiceID) *origin.Lookup {
	l := s.askPeers(now, id, services)
	s.origins.inquiries = append(s.origins.inquiries, inquiry{lookup: l, services: services, arrived: now, until: now.Add(recordProofTimeout)})
	s.settleInquiries(now)
	s.tickReader(now)
	return l
}

// settleInquiries ends the inquiries whose result is known, or whose time is over.
func (s *State) settleInquiries(now boottime.Instant) {
	var waiting []inquiry
	for _, q := range s.origins.inquiries {
		if !q.lookup.Ended() && !s.settle(now, q) {
			waiting = append(waiting, q)
		}
	}
	s.origins.inquiries = waiting
	s.readHistoryIfNeeded(now)
}

// settle ends an inquiry if its result is known or its time is over, and reports whether it did.
func (s *State) settle(now boottime.Instant, q inquiry) bool {
	if !q.lookup.Unrecorded() && now.Sub(q.arrived) < objectionTime {
		return false
	}
	sole := s.soleVersionOf(now, q.services)
	switch {
	case sole != 0 && s.freshness.confirmedAt >= q.arrived && s.knowsVersions(now, q.services):
		s.origins.lookups.End(q.lookup, sole)
	case now >= q.until, q.lookup.Unrecorded() && (sole == 0 || !s.mayLearnVersions(now, q.services)):
		s.origins.lookups.End(q.lookup, 0)
	default:
		return false
	}
	return true
}

// dropInquiry ends an inquiry without a result: a gateway has a record of the stream.
func (s *State) dropInquiry(l *origin.Lookup) {
	s.origins.inquiries = slices.DeleteFunc(s.origins.inquiries, func(q inquiry) bool { return q.lookup == l })
}

// proofReadDue reports whether the store is to be read because an inquiry needs a later copy.
func (s *State) proofReadDue(now boottime.Instant) bool {
	if now.Sub(s.reader.lastReadSent) < proofReadInterval || now.Before(s.reader.nextReadNotBefore) {
		return false
	}
	for _, q := range s.origins.inquiries {
		if s.freshness.confirmedAt < q.arrived && s.soleVersionOf(now, q.services) != 0 {
			return true
		}
	}
	return false
}

// addSoleVersion adds what this process knows of the versions of some services to a reply.
func (s *State) addSoleVersion(now boottime.Instant, reply *wire.OriginReply, services []fleet.ServiceID) {
	if !s.knowsVersions(now, services) {
		return
	}
	reply.SoleVersion = uint32(s.soleVersionOf(now, services))
	reply.AgeMS = uint32(min(s.SnapshotAge(now)/time.Millisecond+1, maxReplyAge/time.Millisecond))
}

// maxReplyAge bounds ages in replies.
const maxReplyAge = time.Hour

// learnVersions extends the histories of the services of a lookup by what a peer knew. The peer has read the store not earlier than
// its reply says, reckoned from the start of the lookup. This process knows the versions from some time on; if the peer read the store
// after that, both know all versions together.
func (s *State) learnVersions(now boottime.Instant, l *origin.Lookup, m wire.OriginReply) {
	if m.SoleVersion == 0 {
		return
	}
	readAt := l.StartedAt.Add(-time.Duration(m.AgeMS) * time.Millisecond)
	for _, id := range s.servicesByHash(l.Services) {
		h := s.history(id)
		if h.Covers(now, s.origins.streamLifetime) || readAt < h.Since() {
			continue
		}
		h.Replaced(readAt, origin.Version(m.SoleVersion))
		h.Extend(now.Add(-s.origins.streamLifetime))
		s.log(event.VersionsLearned, "service", id, "from", "peer", "known_ms", s.origins.streamLifetime.Milliseconds())
	}
}
