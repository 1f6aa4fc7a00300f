// Package lru has a bounded map that evicts the least recently used entry.
package lru

import "iter"

// Table is a bounded map that evicts the entry that was least recently used by Touch. It is not safe for concurrent use.
type Table[K comparable, V any] struct {
	max        int
	initial    V
	entries    map[K]*entry[K, V]
	head, tail *entry[K, V] // most and least recently used
}

type entry[K comparable, V any] struct {
	key        K
	value      V
	prev, next *entry[K, V]
}

// New returns an empty table of at most max entries, one at least, whose new entries have the initial value.
func New[K comparable, V any](max int, initial V) *Table[K, V] {
	return &Table[K, V]{max: max, initial: initial, entries: map[K]*entry[K, V]{}}
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int { return len(t.entries) }

// All returns the entries in no particular order.
func (t *Table[K, V]) All() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		for k, e := range t.entries {
			if !yield(k, &e.value) {
				return
			}
		}
	}
}

// Peek returns the value of k, or nil, and leaves the order of use as it is.
func (t *Table[K, V]) Peek(k K) *V {
	if e := t.entries[k]; e != nil {
		return &e.value
	}
	return nil
}

// Touch returns the value of k as the most recently used one. The pointer is valid until the next call of Touch.
func (t *Table[K, V]) Touch(k K) *V {
	e := t.entries[k]
	if e == nil {
		if t.tail != nil && len(t.entries) >= t.max {
			delete(t.entries, t.tail.key)
			t.unlink(t.tail)
		}
		e = &entry[K, V]{key: k, value: t.initial}
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

func (t *Table[K, V]) unlink(e *entry[K, V]) {
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
