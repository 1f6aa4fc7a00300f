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
// Invariant: a Mirror at revision R holds all changes up to R that mean anything.
// Changes that mean nothing, such as heartbeats, do not move R.
type Mirror struct {
	protocol   Protocol
	revision   fleet.Revision
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
	Fault  error  // the item cannot be used as it is
}

// NewMirror returns an empty mirror.
func NewMirror(p Protocol) *Mirror {
	return &Mirror{protocol: p, items: map[string]entry{}}
}

// Revision returns the highest revision whose changes are all held.
func (m *Mirror) Revision() fleet.Revision { return m.revision }

// Apply takes an update that holds all changes after a revision that is not higher
// than the mirror's, and returns what it changed.
func (m *Mirror) Apply(u Update) []Change {
	var changes []Change
	if u.Whole {
		if u.Revision < m.revision {
			return nil
		}
		changes = m.deleteUnlisted(u)
	}
	for _, it := range u.Items {
		if c, ok := m.set(it); ok {
			changes = append(changes, c)
		}
	}
	m.prune()
	return changes
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
		if c, ok := m.set(Item{Key: key, Revision: u.Revision, Deleted: true}); ok {
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

// set takes one item. It returns false when nothing is to be done about it.
func (m *Mirror) set(it Item) (Change, bool) {
	old, known := m.items[it.Key]
	if known && it.Revision <= old.seen {
		return Change{}, false
	}
	record, fault := m.protocol.DecodeItem(it)
	if known && (fault == nil && reflect.DeepEqual(record, old.record) || record == nil && fault != nil) {
		old.seen = it.Revision
		m.items[it.Key] = old
		return Change{Key: it.Key, Fault: fault}, fault != nil
	}
	if it.Deleted && !old.item.Deleted {
		m.tombstones++
	}
	if !it.Deleted && old.item.Deleted {
		m.tombstones--
	}
	m.items[it.Key] = entry{item: it, record: record, seen: it.Revision}
	m.revision = max(m.revision, it.Revision)
	return Change{Key: it.Key, Record: record, Fault: fault}, record != nil || fault != nil
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
	u := Update{Revision: m.revision, Whole: after < m.horizon || after == 0}
	for _, key := range m.keys() {
		e := m.items[key]
		if !u.Whole && e.item.Revision <= after || u.Whole && e.item.Deleted {
			continue
		}
		u.Items = append(u.Items, e.item)
	}
	return u
}
