// Package bytebudget limits the bytes that concurrent goroutines hold in total.
package bytebudget

import "sync/atomic"

// Budget limits the bytes reserved at a time. It is safe for concurrent use.
type Budget struct {
	Limit    int64 // bytes; must not change after the first Reserve
	reserved atomic.Int64
}

// Reserve reserves n bytes. It returns false and reserves nothing if they exceed the limit.
func (b *Budget) Reserve(n int64) bool {
	if b.reserved.Add(n) <= b.Limit {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int64) { b.reserved.Add(-n) }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }
