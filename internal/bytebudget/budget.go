// Package bytebudget bounds the bytes that many goroutines hold together.
package bytebudget

import "sync/atomic"

// Budget bounds the bytes taken at a time. It is safe for concurrent use.
type Budget struct {
	Limit int64 // bytes, not changed after the first Take
	used  atomic.Int64
}

// Reserve reserves n bytes, or returns false when they do not fit.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.Limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release gives n reserved bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Reserved returns the bytes that are reserved.
func (b *Budget) Reserved() int64 { return b.used.Load() }
