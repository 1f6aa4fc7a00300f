package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// recordPullInterval is the time between two pulls of records that this process cannot read from the store.
	recordPullInterval = 300 * time.Millisecond
	// maxPulledRecords bounds the keys of one such pull.
	maxPulledRecords = 16
)

// PullRecords requests from a peer the last readable items of keys whose items in the store cannot be read. The response is
// passed to RecordsPulled; a failure is not reported.
type PullRecords struct {
	From       fleet.InstanceID
	Control    string // the peer's control address
	Keys       []string
	SigningKey uint32 // ID of the key that should sign the response, 0: none
}

func (PullRecords) action() {}

// pullRecords requests the records that this process, which has started with unreadable items, lacks. The peers that run
// since before keep the former ones in use.
func (s *State) pullRecords(now boottime.Instant, from fleet.InstanceID) {
	if s.recordsCheckedAt != 0 && now.Sub(s.recordsCheckedAt) < recordPullInterval {
		return
	}
	s.recordsCheckedAt = now
	keys := s.mirror.UnreadableKeys()
	m, known := s.mesh.Member(from)
	if len(keys) == 0 || !known {
		return
	}
	s.emit(PullRecords{From: from, Control: m.ControlAddr, Keys: keys[:min(len(keys), maxPulledRecords)], SigningKey: s.trust.ring.PresentKey()})
}

// ReadableItems returns the items of keys that this process can read, as the response to a peer's PullRecords. It names no changes after an
// earlier revision, so that nobody can pass it off as an update.
func (s *State) ReadableItems(keys []string) wire.StoreUpdate {
	out := wire.StoreUpdate{Revision: s.mirror.Revision(), After: s.mirror.Revision()}
	for _, it := range s.mirror.Readable(keys) {
		out.Items = append(out.Items, wire.StoreItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	return out
}

// errNoRecords reports a response to a pull of records that is an update.
var errNoRecords = errors.New("control: the response is an update of the store, and not the records of keys")

// RecordsPulled handles the response to a PullRecords action.
func (s *State) RecordsPulled(now boottime.Instant, from fleet.InstanceID, m wire.StoreUpdate) {
	if err := s.verifyRecords(now, &m); err != nil {
		s.refuseUpdate(from, &m, err)
		return
	}
	hadKey := s.trust.ring.HasKey()
	s.adoptChanges(now, s.mirror.Fill(publishedItems(m.Items)))
	if !hadKey && s.trust.ring.HasKey() {
		s.trust.proven = false
	}
}

// verifyRecords checks the signature of a peer's records. A process that could not read a configuration has no key: as for the first
// content, the signature must then be of the configuration among the records, which stays unproven.
func (s *State) verifyRecords(now boottime.Instant, m *wire.StoreUpdate) error {
	if m.Snapshot || m.After != m.Revision {
		return errNoRecords
	}
	ring := s.trust.ring
	if !ring.HasKey() {
		ring = s.ringOf(now, publishedItems(m.Items))
	}
	if !ring.HasKey() && s.table != nil {
		return nil // the configuration has no API keys, and the records have none
	}
	return verifyUpdate(now, ring, m)
}
