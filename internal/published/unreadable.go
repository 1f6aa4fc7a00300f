package published

import "slices"

// UnreadableKeys returns the keys whose only known item cannot be decoded, in order. Another mirror may have a former one.
func (m *Mirror) UnreadableKeys() []string {
	var keys []string
	for key, e := range m.items {
		if e.unreadable {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Readable returns the items of keys that have a record.
func (m *Mirror) Readable(keys []string) []Item {
	var out []Item
	for _, key := range keys {
		if e, ok := m.items[key]; ok && e.record != nil {
			out = append(out, e.item)
		}
	}
	return out
}

// Fill replaces unreadable items by another mirror's items of the same keys, which stay in use until a later write of the
// key can be read.
func (m *Mirror) Fill(items []Item) []ItemChange {
	var changes []ItemChange
	for _, it := range items {
		e := m.items[it.Key]
		if !e.unreadable {
			continue
		}
		record, err := m.decode(it)
		if err != nil || record == nil {
			continue
		}
		it.Revision = e.item.Revision
		m.items[it.Key] = mirrorItem{item: it, record: record, lastWrite: e.lastWrite}
		changes = append(changes, ItemChange{Key: it.Key, Record: record})
	}
	return changes
}
