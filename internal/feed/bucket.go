package feed

import "time"

// tokenBucket is a token bucket with debt: a request is granted while any token is left, and may
// make the balance negative.
type tokenBucket struct {
	tokens     float64
	burst      int
	rate       int // tokens per second
	refilledAt time.Time
}

// take removes n tokens and returns true, unless the balance is zero or negative.
func (b *tokenBucket) take(now time.Time, n int) bool {
	if !b.refilledAt.IsZero() {
		b.tokens += now.Sub(b.refilledAt).Seconds() * float64(b.rate)
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, float64(b.burst))
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}
