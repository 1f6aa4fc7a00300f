package published

import (
	"reflect"
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// maxTombstones bounds how many deleted keys a Mirror remembers. A peer that is further
// behind gets everything.
const maxTombstones = 4096

// Mirror is a copy of what the store publishes, with the changes since earlier
// revisions, so that it can bring other copies up to date.
//
// A write means something when it says something else than the write of the same key
// before it; heartbeats do not. Invariants: all writes up to Covered are taken into
// account, and none of them after Revision means anything.
type Mirror struct {
	protocol   Protocol
	revision   fleet.Revision
	covered    fleet.Revision
	horizon    fleet.Revision // changes up to it are no longer told apart
	items      map[string]entry
	tombstones int
}

type entry struct {
	item   Item
	record Record         // nil for a key without meaning here
	seen   fleet.Revision // of the last write of the key, with or without a new meaning
}

// Change is what applying an update changed.
type Change struct {
	Key    string
	Record Record // nil: what held before goes on to hold
	Err    error  // the item cannot be used as it is
}

// NewMirror returns an empty mirror.
func NewMirror(p Protocol) *Mirror {
	return &Mirror{protocol: p, items: map[string]entry{}}
}

// Revision returns a revision after which nothing that means anything was written, as
// far as Covered.
func (m *Mirror) Revision() fleet.Revision { return m.revision }

// CoveredRevision returns the revision up to which all writes are taken into account.
func (m *Mirror) CoveredRevision() fleet.Revision { return m.covered }

// Apply takes an update that holds all changes after a revision that is not higher
// than Covered, and returns what it changed.
func (m *Mirror) Apply(u Update) []Change {
	if u.Coalesced && u.Revision <= m.covered {
		return nil
	}
	var changes []Change
	if u.Snapshot {
		changes = m.deleteUnlisted(u)
	}
	for _, it := range u.Items {
		if c, ok := m.set(it, u.Coalesced); ok {
			changes = append(changes, c)
		}
	}
	if u.Coalesced {
		m.revision = u.Revision
	}
	if u.Snapshot {
		// What was deleted before is not in the update.
		m.horizon = u.Revision
	}
	m.covered = max(m.covered, m.revision, u.Revision)
	m.prune()
	return changes
}

// SettleRevision lowers the revision to that of another mirror which covers no less: what was
// written since, up to Covered, means nothing.
func (m *Mirror) SettleRevision(r fleet.Revision) {
	if r == 0 || r >= m.revision {
		return
	}
	for key, e := range m.items {
		e.item.Revision = min(e.item.Revision, r)
		m.items[key] = e
	}
	m.horizon = min(m.horizon, r)
	m.revision = r
}

// deleteUnlisted deletes the keys that a whole list no longer holds.
func (m *Mirror) deleteUnlisted(u Update) []Change {
	listed := map[string]bool{}
	for _, it := range u.Items {
		listed[it.Key] = true
	}
	var changes []Change
	for _, key := range m.keys() {
		e := m.items[key]
		if listed[key] || e.item.Deleted || e.seen > u.Revision {
			continue
		}
		if c, ok := m.set(Item{Key: key, Revision: u.Revision, Deleted: true}, true); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func (m *Mirror) keys() []string {
	keys := make([]string, 0, len(m.items))
	for k := range m.items {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// set takes one item. It returns false when nothing is to be done about it. After a gap
// an item that says the same as before may have said something else in between, which
// another mirror knows: the item counts as written now.
func (m *Mirror) set(it Item, gap bool) (Change, bool) {
	old, known := m.items[it.Key]
	if known && it.Revision <= old.seen {
		return Change{}, false
	}
	record, fault := m.protocol.DecodeItem(it)
	if known && (fault == nil && reflect.DeepEqual(record, old.record) || record == nil && fault != nil) {
		old.seen = it.Revision
		if gap {
			old.item.Revision = it.Revision
		}
		m.items[it.Key] = old
		return Change{Key: it.Key, Err: fault}, fault != nil
	}
	if it.Deleted && !old.item.Deleted {
		m.tombstones++
	}
	if !it.Deleted && old.item.Deleted {
		m.tombstones--
	}
	m.items[it.Key] = entry{item: it, record: record, seen: it.Revision}
	m.revision = max(m.revision, it.Revision)
	return Change{Key: it.Key, Record: record, Err: fault}, record != nil || fault != nil
}

// prune forgets all deleted keys when there are too many.
func (m *Mirror) prune() {
	if m.tombstones <= maxTombstones {
		return
	}
	for k, e := range m.items {
		if e.item.Deleted {
			delete(m.items, k)
		}
	}
	m.tombstones = 0
	m.horizon = m.revision
}

// Since returns what changed after a revision, or everything.
func (m *Mirror) Since(after fleet.Revision) Update {
	u := Update{Revision: m.revision, Snapshot: after < m.horizon || after == 0, Coalesced: true}
	for _, key := range m.keys() {
		e := m.items[key]
		if !u.Snapshot && e.item.Revision <= after || u.Snapshot && e.item.Deleted {
			continue
		}
		u.Items = append(u.Items, e.item)
	}
	return u
}
