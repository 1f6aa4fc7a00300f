package published

import (
	"reflect"
	"slices"
	"strings"

	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// maxTombstones bounds the deleted keys that a Mirror keeps. After they are dropped, peers at an
// earlier revision get a snapshot.
const maxTombstones = 4096

// Mirror is a copy of the store's items. It keeps the revision of each item and tombstones of
// deleted keys, so that it can send the changes since an earlier revision to other mirrors.
//
// A write is significant if it changes the decoded record of its key; a heartbeat, which does not,
// is insignificant. The first write of a key in an era is significant too: when the store has returned
// with an older copy, a mirror may hold a later record than the copy, which other mirrors lack.
// Invariants: all writes up to CoveredRevision have been applied, and no write after Revision and up
// to CoveredRevision is significant. A record that the store of the present era lacks keeps its
// revision of a former era.
type Mirror struct {
	protocol     Protocol
	revision     fleet.Revision
	covered      fleet.Revision
	historyStart fleet.Revision // Since returns a snapshot for an earlier revision
	items        map[string]mirrorItem
	tombstones   int
}

// mirrorItem is the state of one key.
type mirrorItem struct {
	item      Item           // the last significant write, see applyItem for its revision
	record    Record         // nil if the key has no record
	lastWrite fleet.Revision // revision of the last write of the key, significant or not

	unreadable bool // the item cannot be decoded, and no former one is known
}

// ItemChange is the change of one key by an update.
type ItemChange struct {
	Key    string
	Record Record // new record of the key; nil: the previous one stays valid
	Err    error  // the item cannot be decoded
	Lost   bool   // the key is not in the store of a later era than the item's: nobody may have deleted it
}

// NewMirror returns an empty mirror.
func NewMirror(p Protocol) *Mirror {
	return &Mirror{protocol: p, items: map[string]mirrorItem{}}
}

// Revision returns the revision of the content: no write after it and up to CoveredRevision is
// significant.
func (m *Mirror) Revision() fleet.Revision { return m.revision }

// CoveredRevision returns the revision up to which all writes have been applied.
func (m *Mirror) CoveredRevision() fleet.Revision { return m.covered }

// HoldsFormerEra reports whether a present item was last written in an earlier era than the given one.
func (m *Mirror) HoldsFormerEra(era uint64) bool {
	for _, e := range m.items {
		if !e.item.Deleted && EraOf(e.item.Revision) < era {
			return true
		}
	}
	return false
}

// HasConfig reports whether a configuration is present that can be read, or could before its last write.
func (m *Mirror) HasConfig() bool {
	for _, e := range m.items {
		if _, ok := e.record.(Config); ok && !e.item.Deleted {
			return true
		}
	}
	return false
}

// Apply applies an update that contains all changes after some revision not above CoveredRevision,
// and returns the resulting changes.
func (m *Mirror) Apply(u Update) []ItemChange {
	if u.Coalesced && u.Revision <= m.covered || EraOf(u.Revision) < EraOf(m.covered) {
		return nil
	}
	if !u.Coalesced && m.covered != 0 {
		u.Items = m.uncovered(u.Items)
	}
	var changes []ItemChange
	if u.Snapshot {
		changes = m.deleteUnlisted(u)
	}
	for _, it := range u.Items {
		it.Revision = min(it.Revision, u.Revision) // a higher one would keep all later writes from the key
		if c, ok := m.applyItem(it, u.Coalesced); ok {
			changes = append(changes, c)
		}
	}
	if u.Coalesced {
		m.revision = u.Revision
	}
	if u.Snapshot {
		// A snapshot does not contain the deletions before it.
		m.historyStart = u.Revision
	}
	m.covered = max(m.covered, m.revision, u.Revision)
	m.dropTombstones()
	return changes
}

// uncovered returns the writes that have not been applied. The answer to a read may be late: a write that is covered meanwhile
// may be of a key that was deleted since and has no tombstone.
func (m *Mirror) uncovered(writes []Item) []Item {
	var out []Item
	for _, it := range writes {
		if it.Revision > m.covered {
			out = append(out, it)
		}
	}
	return out
}

// Replace discards the content, whatever its revisions are, and applies a full snapshot. It returns the resulting
// changes.
func (m *Mirror) Replace(u Update) []ItemChange {
	former := m.items
	*m = *NewMirror(m.protocol)
	var changes []ItemChange
	for _, c := range m.Apply(u) {
		if c.Err != nil || !reflect.DeepEqual(c.Record, former[c.Key].record) {
			changes = append(changes, c)
		}
	}
	return append(changes, m.deletionsOf(former, u.Revision)...)
}

// deletionsOf returns the deletions of the items of a former content that are not in the present one.
func (m *Mirror) deletionsOf(former map[string]mirrorItem, revision fleet.Revision) []ItemChange {
	var changes []ItemChange
	for key, e := range former {
		if _, present := m.items[key]; present || e.item.Deleted {
			continue
		}
		record, err := m.protocol.DecodeItem(Item{Key: key, Revision: revision, Deleted: true})
		if record != nil || err != nil {
			lost := EraOf(revision) > EraOf(e.item.Revision)
			changes = append(changes, ItemChange{Key: key, Record: record, Err: err, Lost: lost})
		}
	}
	slices.SortFunc(changes, func(a, b ItemChange) int { return strings.Compare(a.Key, b.Key) })
	return changes
}

// LowerRevision lowers the revision to r if it is higher. r must be the revision of another mirror
// that has covered at least the same writes, so that no write after r and up to CoveredRevision is
// significant.
func (m *Mirror) LowerRevision(r fleet.Revision) {
	if r == 0 || r >= m.revision || EraOf(r) < EraOf(m.revision) {
		return
	}
	for key, e := range m.items {
		e.item.Revision = min(e.item.Revision, r)
		m.items[key] = e
	}
	m.historyStart = min(m.historyStart, r)
	m.revision = r
}

// deleteUnlisted deletes the keys that a snapshot does not contain.
func (m *Mirror) deleteUnlisted(u Update) []ItemChange {
	present := map[string]bool{}
	for _, it := range u.Items {
		present[it.Key] = true
	}
	var changes []ItemChange
	for _, key := range m.sortedKeys() {
		e := m.items[key]
		if present[key] || e.item.Deleted || e.lastWrite > u.Revision {
			continue
		}
		if c, ok := m.applyItem(Item{Key: key, Revision: u.Revision, Deleted: true}, true); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func (m *Mirror) sortedKeys() []string {
	keys := make([]string, 0, len(m.items))
	for k := range m.items {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// writeEffect compares a write with the known state of its key.
type writeEffect struct {
	record    Record
	err       error // the item cannot be decoded
	laterEra  bool  // than that of the known item
	outdated  bool  // the record does not supersede the known one
	unchanged bool  // the record is the known one
}

func (m *Mirror) effectOf(it Item, old *mirrorItem) writeEffect {
	record, err := m.decode(it)
	e := writeEffect{record: record, err: err, laterEra: EraOf(it.Revision) > EraOf(old.item.Revision)}
	if err == nil {
		e.outdated = !supersedes(record, old.record, e.laterEra)
		e.unchanged = reflect.DeepEqual(record, old.record)
	}
	return e
}

// significant reports whether the write of a known key counts as a change, see Mirror.
func (e writeEffect) significant() bool {
	unreadable := e.record == nil && e.err != nil
	return !unreadable && !e.outdated && (!e.unchanged || e.laterEra)
}

// applyItem applies one item and returns false if there is nothing to report.
func (m *Mirror) applyItem(it Item, coalesced bool) (ItemChange, bool) {
	old, known := m.items[it.Key]
	if known && it.Revision <= old.lastWrite {
		return ItemChange{}, false
	}
	e := m.effectOf(it, &old)
	if known && !e.significant() {
		m.noteInsignificant(it, old, coalesced && !(e.outdated && e.laterEra))
		return ItemChange{Key: it.Key, Err: e.err}, e.err != nil
	}
	m.countTombstone(it.Deleted, old.item.Deleted)
	m.items[it.Key] = mirrorItem{item: it, record: e.record, lastWrite: it.Revision, unreadable: e.record == nil && e.err != nil}
	m.revision = max(m.revision, it.Revision)
	if known && e.unchanged {
		return ItemChange{}, false
	}
	lost := it.Deleted && known && e.laterEra
	return ItemChange{Key: it.Key, Record: e.record, Err: e.err, Lost: lost}, e.record != nil || e.err != nil
}

// noteInsignificant notes the last write of a key whose record stays. If intermediate writes may be missing, another mirror may hold a
// different record of the key. The item's revision is then raised, so that the item is sent again.
func (m *Mirror) noteInsignificant(it Item, old mirrorItem, raise bool) {
	old.lastWrite = it.Revision
	if raise {
		old.item.Revision = it.Revision
	}
	m.items[it.Key] = old
}

// countTombstone counts the tombstone of a key that is deleted, or no longer so.
func (m *Mirror) countTombstone(deleted, before bool) {
	switch {
	case deleted && !before:
		m.tombstones++
	case !deleted && before:
		m.tombstones--
	}
}

// decode returns the record of an item. A panic is an error, so that the other items of an update are applied.
func (m *Mirror) decode(it Item) (r Record, err error) {
	if p := fault.Catch(func() { r, err = m.protocol.DecodeItem(it) }); p != nil {
		return nil, p
	}
	return r, err
}

// dropTombstones drops all tombstones if there are more than maxTombstones.
func (m *Mirror) dropTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	for k, e := range m.items {
		if e.item.Deleted {
			delete(m.items, k)
		}
	}
	m.tombstones = 0
	m.historyStart = m.revision
}

// Since returns the changes after a revision, or a snapshot if the history does not reach back to
// it.
func (m *Mirror) Since(after fleet.Revision) Update {
	u := Update{Revision: m.revision, Snapshot: after < m.historyStart || after == 0, Coalesced: true}
	for _, key := range m.sortedKeys() {
		e := m.items[key]
		if !u.Snapshot && e.item.Revision <= after || u.Snapshot && e.item.Deleted {
			continue
		}
		u.Items = append(u.Items, e.item)
	}
	return u
}
