package feed

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// historyEntry is one adopted change. Consecutive entries are contiguous: the next entry starts at
// the revision where this one ends.
type historyEntry struct {
	from, to fleet.Revision
	forward  changes
	undo     changes
	bytes    int
}

// history holds the most recently adopted changes of a feed, bounded by count and bytes.
type history struct {
	entries    []historyEntry
	bytes      int
	maxEntries int
	maxBytes   int
}

func (h *history) add(e historyEntry) {
	e.bytes = e.forward.size() + e.undo.size()
	h.entries = append(h.entries, e)
	h.bytes += e.bytes
	for len(h.entries) > h.maxEntries || h.bytes > h.maxBytes {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	h.bytes -= h.entries[0].bytes
	n := copy(h.entries, h.entries[1:])
	h.entries[n] = historyEntry{}
	h.entries = h.entries[:n]
}

func (h *history) reset() {
	clear(h.entries)
	h.entries = h.entries[:0]
	h.bytes = 0
}

// changesSince returns the merged changes since the latest recorded revision that is not above rev,
// and that revision. It returns false if rev is older than the history.
func (h *history) changesSince(rev fleet.Revision) (changes, fleet.Revision, bool) {
	i := len(h.entries) - 1
	for i >= 0 && h.entries[i].from > rev {
		i--
	}
	if i < 0 {
		return nil, 0, false
	}
	c := changes{}
	for _, e := range h.entries[i:] {
		c.merge(e.forward)
	}
	return c, h.entries[i].from, true
}

// undoTo returns the changes that turn the current content into that of an earlier recorded
// revision, or false if rev is not recorded.
func (h *history) undoTo(rev fleet.Revision) (changes, bool) {
	c := changes{}
	for i := len(h.entries) - 1; i >= 0; i-- {
		c.merge(h.entries[i].undo)
		if h.entries[i].from == rev {
			return c, true
		}
	}
	return nil, false
}
