package retry

import (
	"math/rand/v2"
	"time"
)

// maxDoublings limits the number of doublings in Backoff.Bound. Overflow is prevented by the
// comparison with Max.
const maxDoublings = 30

// Backoff computes exponential backoff delays with full jitter.
type Backoff struct {
	Base time.Duration // upper bound of the first delay
	Max  time.Duration // upper bound of every delay
}

// Delay returns the time to wait before retry n, counted from 0. It is uniformly distributed
// between 0 and Bound(n).
func (b Backoff) Delay(rng *rand.Rand, n int) time.Duration {
	bound := b.Bound(n)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Bound returns the longest delay before retry n: Base doubled n times, but at most Max.
func (b Backoff) Bound(n int) time.Duration {
	n = min(max(n, 0), maxDoublings)
	if b.Base > b.Max>>n {
		return b.Max
	}
	return b.Base << n
}

// FitsDeadline reports whether a retry that starts after delay and takes expected ends by the
// deadline.
func FitsDeadline(now, deadline time.Time, delay, expected time.Duration) bool {
	return !now.Add(delay + expected).After(deadline)
}

// NextHopTimeout returns the time until the deadline that remains for the next hop if this hop
// reserves the given time for itself. It is never negative.
func NextHopTimeout(now, deadline time.Time, reserve time.Duration) time.Duration {
	return max(deadline.Sub(now)-reserve, 0)
}
