package cost

// lruTable is a bounded map that evicts the entry that was least recently used by touch.
type lruTable[K comparable, V any] struct {
	max        int
	entries    map[K]*lruEntry[K, V]
	head, tail *lruEntry[K, V] // most and least recently used
}

type lruEntry[K comparable, V any] struct {
	key        K
	value      V
	prev, next *lruEntry[K, V]
}

func newLRUTable[K comparable, V any](max int) *lruTable[K, V] {
	return &lruTable[K, V]{max: max, entries: map[K]*lruEntry[K, V]{}}
}

// peek returns the value of k, or nil, and leaves the order of use as it is.
func (t *lruTable[K, V]) peek(k K) *V {
	if e := t.entries[k]; e != nil {
		return &e.value
	}
	return nil
}

// touch returns the value of k as the most recently used one. A new entry gets the zero value.
func (t *lruTable[K, V]) touch(k K) *V {
	e := t.entries[k]
	if e == nil {
		if len(t.entries) >= t.max {
			delete(t.entries, t.tail.key)
			t.unlink(t.tail)
		}
		e = &lruEntry[K, V]{key: k}
		t.entries[k] = e
	} else {
		t.unlink(e)
	}
	e.next = t.head
	if t.head != nil {
		t.head.prev = e
	} else {
		t.tail = e
	}
	t.head = e
	return &e.value
}

func (t *lruTable[K, V]) unlink(e *lruEntry[K, V]) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		t.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		t.tail = e.prev
	}
	e.prev, e.next = nil, nil
}
