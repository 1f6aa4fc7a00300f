package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
)

// An endpoint may be restarted under its ID, with another software version, before this process reads the entry of
// its new incarnation. The entry alone therefore proves an incarnation only for the time before the store was last
// read; for later times the endpoint itself is asked.
//
// A resumed request is sent only on a connection on which its endpoint has reported the incarnation of its entry. The
// record of a stream counts once the endpoint has reported the record's incarnation after the stream began there. If it cannot be
// asked, a later read of the store counts, unless something had shown before that the endpoint may have been restarted.

const (
	// recordProofTimeout is how long a lookup waits for the proof of a record. In this time the store is read at
	// least once, if it can be read.
	recordProofTimeout = 700 * time.Millisecond
	// askInterval is the minimum time between two questions to one endpoint for its incarnation.
	askInterval = 50 * time.Millisecond
	// reportTimeout is how long the proof of a record waits for the report of an endpoint that accepts connections.
	reportTimeout = 200 * time.Millisecond
	// successorRetention is how long an endpoint gets no resumed requests after it has reported another incarnation
	// than its entry has, if the entry stays the same.
	successorRetention = 5 * time.Second
)

// AskIncarnation requests that an endpoint be asked for its incarnation. The reply is passed to
// IncarnationReported, a refused connection to ProbeDone; other failures are not reported.
type AskIncarnation struct {
	ID   fleet.EndpointID
	Addr string
}

func (AskIncarnation) action() {}

// reportedIncarnation is what an endpoint itself has said of its incarnation.
type reportedIncarnation struct {
	askedAt   boottime.Instant // last question to it; 0: none
	waitsFrom boottime.Instant // first question since its last report; 0: none
	confirmed boottime.Instant // it had the incarnation of its entry at this time; 0: not known
	successor boottime.Instant // it had another incarnation at this time, since its entry was read; 0: not known
}

// unanswered reports whether an endpoint has not reported its incarnation although it was asked.
func (r *reportedIncarnation) unanswered(now boottime.Instant) bool {
	return r.waitsFrom != 0 && now.Sub(r.waitsFrom) >= reportTimeout
}

// replaced reports whether an endpoint has said that it has another incarnation than its entry.
func (e *endpoint) replaced(now boottime.Instant) bool {
	return e.ownReport.successor != 0 && now.Sub(e.ownReport.successor) <= successorRetention
}

// ask asks an endpoint for its incarnation unless its entry has none, it is down, or it was asked a moment ago.
func (s *State) ask(now boottime.Instant, e *endpoint) {
	if e.Incarnation == 0 || e.health.down || e.ownReport.askedAt != 0 && now.Sub(e.ownReport.askedAt) < askInterval {
		return
	}
	e.ownReport.askedAt = now
	if e.ownReport.waitsFrom == 0 {
		e.ownReport.waitsFrom = now
	}
	s.emit(AskIncarnation{ID: e.ID, Addr: e.Addr})
}

// IncarnationReported handles an endpoint's report of its incarnation, which it had at some time not before askedAt.
func (s *State) IncarnationReported(now boottime.Instant, id fleet.EndpointID, inc fleet.Incarnation, askedAt boottime.Instant) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	e.ownReport.waitsFrom = 0
	if inc == e.Incarnation {
		e.ownReport.confirmed = max(e.ownReport.confirmed, askedAt)
		e.processIsAlive(askedAt)
		s.proveRecords(now)
		return
	}
	if !e.replaced(now) {
		s.log(event.EndpointReplaced, "endpoint", id, "incarnation", inc, "entry", e.Incarnation, "snapshot_age_ms", s.SnapshotAge(now).Milliseconds())
	}
	e.ownReport.successor = now
	s.noteProcessEnded(now, e)
}

// unprovenRecord is a lookup that waits for the proof of a record.
type unprovenRecord struct {
	lookup *origin.Lookup
	record origin.Record
	until  boottime.Instant
}

// lookUpRecord returns a lookup that ends with the version of a record, or with 0 if the record is not proven in time.
func (s *State) lookUpRecord(now boottime.Instant, l *origin.Lookup, r origin.Record) *origin.Lookup {
	u := unprovenRecord{lookup: l, record: r, until: now.Add(recordProofTimeout)}
	if !s.endIfProven(now, u) {
		s.origins.unproven = append(s.origins.unproven, u)
		s.ask(now, s.endpointByShortID(r.Endpoint))
	}
	return l
}

// proveRecords ends the lookups whose record is proven or whose time is over.
func (s *State) proveRecords(now boottime.Instant) {
	s.origins.unproven = slices.DeleteFunc(s.origins.unproven, func(u unprovenRecord) bool { return s.endIfProven(now, u) })
}

// endIfProven ends the lookup of a record if the record is proven or its time is over, and reports whether it did. If the version stays
// unknown, other gateways must not infer it: they get the record.
func (s *State) endIfProven(now boottime.Instant, u unprovenRecord) bool {
	v, proven := s.recordedVersion(now, u.record)
	if !proven && now.Before(u.until) {
		return false
	}
	if v == 0 && u.record.Own && !u.record.Replicated {
		s.replicate(now, []origin.StreamID{u.lookup.Stream})
	}
	u.lookup.End(v)
	return true
}
