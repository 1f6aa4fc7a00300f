package retry

import (
	"math/rand/v2"
	"time"
)

// maxDoublings keeps the shift of Backoff.Delay within an int64.
const maxDoublings = 30

// Backoff computes exponential delays with full jitter.
type Backoff struct {
	Base time.Duration // bound of the first delay
	Max  time.Duration // bound of every delay
}

// Delay returns the time to wait before retry n, counted from 0: uniform between 0
// and Base doubled n times, at most Max.
func (b Backoff) Delay(rng *rand.Rand, n int) time.Duration {
	bound := b.Bound(n)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Bound returns the longest delay before retry n.
func (b Backoff) Bound(n int) time.Duration {
	n = min(max(n, 0), maxDoublings)
	if b.Base > b.Max>>n {
		return b.Max
	}
	return b.Base << n
}

// FitsDeadline tells whether a retry that starts after delay and takes at least expected
// can be whole by the deadline.
func FitsDeadline(now, deadline time.Time, delay, expected time.Duration) bool {
	return !now.Add(delay + expected).After(deadline)
}

// NextHopTimeout returns the time that the next hop has for its part when this hop keeps
// reserve for itself. It is never negative.
func NextHopTimeout(now, deadline time.Time, reserve time.Duration) time.Duration {
	return max(deadline.Sub(now)-reserve, 0)
}
