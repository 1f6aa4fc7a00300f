// Package bytebudget implements a non-blocking counting semaphore over bytes. The bytes of
// successful reservations that are not released never exceed the limit in total.
package bytebudget

import "sync/atomic"

// Budget limits the bytes reserved at a time. It is safe for concurrent use.
type Budget struct {
	Limit    int64 // bytes; must not change after the first Reserve
	reserved atomic.Int64
}

// Reserve reserves n bytes. It returns false and reserves nothing if they exceed the limit. A
// reservation that would fit may also fail if it runs concurrently with one that does not.
func (b *Budget) Reserve(n int64) bool {
	if b.reserved.Add(n) <= b.Limit {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) { b.reserved.Add(-n) }

// Reserved returns the number of reserved bytes. It may briefly include those of a Reserve that
// fails.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }
