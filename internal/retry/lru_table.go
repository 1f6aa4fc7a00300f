package retry

// lruTable is a bounded map of token balances that evicts the least recently used one. A
// balance that was evicted starts at its initial value again; the router's bucket, which is
// never evicted, bounds the additional retries.
type lruTable[K comparable] struct {
	max        int
	entries    map[K]*entry[K]
	head, tail *entry[K] // most and least recently used
}

type entry[K comparable] struct {
	key        K
	balance    float64
	prev, next *entry[K]
}

func newLRUTable[K comparable](max int) *lruTable[K] {
	return &lruTable[K]{max: max, entries: map[K]*entry[K]{}}
}

// get returns the balance of k, which is initial for a new entry. The pointer is valid until
// the next call of get.
func (t *lruTable[K]) get(k K, initial float64) *float64 {
	e := t.entries[k]
	if e == nil {
		t.evict()
		e = &entry[K]{key: k, balance: initial}
		t.entries[k] = e
	} else {
		t.unlink(e)
	}
	t.pushFront(e)
	return &e.balance
}

func (t *lruTable[K]) evict() {
	if len(t.entries) < t.max || t.tail == nil {
		return
	}
	delete(t.entries, t.tail.key)
	t.unlink(t.tail)
}

func (t *lruTable[K]) unlink(e *entry[K]) {
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

func (t *lruTable[K]) pushFront(e *entry[K]) {
	e.next = t.head
	if t.head != nil {
		t.head.prev = e
	}
	t.head = e
	if t.tail == nil {
		t.tail = e
	}
}
