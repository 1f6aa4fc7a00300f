// Package origin keeps where streams began: at which version of the endpoints' software. A stream may be resumed
// only at the version that began it, and callers resume streams at any gateway.
//
// Three sources tell a gateway where a stream began, in this order: its own table of records; the gateways to which the one
// that began the stream has replicated its record; and the history of the versions of a service, if there has been only one for as
// long as a stream may last. Without any of them the origin is unknown.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package origin

import (
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// StreamID identifies a stream: the hash of the ID of the request that brought its first event.
type StreamID uint64

// ID returns the stream that a request began.
func ID(r fleet.RequestID) StreamID { return StreamID(fleet.Hash(string(r))) }

// Version is the hash of a software version. Zero stands for none.
type Version uint32

// VersionOf returns the hash of a software version, which is never 0.
func VersionOf(v fleet.SoftwareVersion) Version { return max(Version(fleet.Hash(string(v))), 1) }

// Record states where a stream began.
type Record struct {
	Version     Version
	Endpoint    uint32 // low 32 bits of the hash of the endpoint's ID
	Incarnation fleet.Incarnation
	SentAt      boottime.Instant // not after the request was sent to the endpoint
	Certain     bool             // the endpoint's entry was certain to be that of its process
	Expires     boottime.Instant // when the caller cannot resume the stream any more
	Service     fleet.ServiceID  // that the stream began at, "" if not known
	Own         bool             // this gateway forwarded the stream
	Replicated  bool             // this gateway has sent the record to others
}

// maxRecords bounds a Table. At 60 bytes each these are 2 MB.
const maxRecords = 1 << 15

// Table holds the records of streams until they expire.
type Table struct {
	records map[StreamID]Record
	dropped int // records that did not fit
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[StreamID]Record{}} }

// Add adds a record. If the table holds one with another version, the stream's version is not known: the record
// is kept with version 0.
func (t *Table) Add(id StreamID, r Record) {
	old, known := t.records[id]
	switch {
	case known && old.Version != r.Version:
		old.Version = 0
		r = old
	case known:
		old.Expires = max(old.Expires, r.Expires)
		if r.Own && !old.Own {
			old.Own, old.Service = true, r.Service
		}
		r = old
	case len(t.records) >= maxRecords && !r.Own:
		t.dropped++
		return
	}
	t.records[id] = r
}

// Get returns the record of a stream.
func (t *Table) Get(now boottime.Instant, id StreamID) (Record, bool) {
	r, ok := t.records[id]
	return r, ok && now.Before(r.Expires)
}

// Expire deletes the records that have expired.
func (t *Table) Expire(now boottime.Instant) {
	for id, r := range t.records {
		if !now.Before(r.Expires) {
			delete(t.records, id)
		}
	}
}

// Unreplicated returns the streams that this gateway forwarded and whose records it has not sent to others, of
// the services for which include returns true, in the order of their IDs.
func (t *Table) Unreplicated(include func(fleet.ServiceID) bool) []StreamID {
	var out []StreamID
	for id, r := range t.records {
		if r.Own && !r.Replicated && include(r.Service) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// MarkReplicated records that this gateway has sent a record to others.
func (t *Table) MarkReplicated(id StreamID) {
	if r, ok := t.records[id]; ok {
		r.Replicated = true
		t.records[id] = r
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Dropped returns the number of records that did not fit.
func (t *Table) Dropped() int { return t.dropped }
