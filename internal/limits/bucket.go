package limits

import "time"

// bucket is a token bucket. Its level may be negative.
type bucket struct{ level float64 }

// refill adds rate tokens a second for the elapsed time, up to capacity.
func (b *bucket) refill(elapsed time.Duration, rate, capacity float64) {
	b.level = min(b.level+rate*elapsed.Seconds(), capacity)
}

// timeUntil returns how long the bucket takes to reach level, at most maxRetryAfter.
func (b *bucket) timeUntil(level, rate float64) time.Duration {
	if b.level >= level {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := (level - b.level) / rate * float64(time.Second)
	return time.Duration(min(wait, float64(maxRetryAfter)))
}

// credit is an amount that expires.
type credit struct {
	amount  float64
	expires time.Time
}

// credits is a list of amounts in order of expiry.
type credits struct{ list []credit }

// add appends an amount. Amounts must be added in order of expiry.
func (c *credits) add(amount float64, until time.Time) {
	if amount > 0 {
		c.list = append(c.list, credit{amount, until})
	}
}

// available drops expired amounts and returns the sum of the rest.
func (c *credits) available(now time.Time) float64 {
	kept := c.list[:0]
	sum := 0.0
	for _, x := range c.list {
		if x.expires.After(now) && x.amount > 0 {
			kept = append(kept, x)
			sum += x.amount
		}
	}
	c.list = kept
	return sum
}

// consume removes up to amount and returns the part that was not available. It does not check the
// expiry: available must have been called for the current time before.
func (c *credits) consume(amount float64) float64 {
	for i := range c.list {
		n := min(c.list[i].amount, amount)
		c.list[i].amount -= n
		amount -= n
	}
	return amount
}
