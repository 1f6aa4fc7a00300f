package contention

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// minExpiredWait is the shortest wait of a request without a start that says something about the queue: callers that leave
	// sooner do so for reasons of their own.
	minExpiredWait = time.Second
	// expiryMemory is how long such a request counts. Queues change within seconds.
	expiryMemory = time.Second
	// expiryProbeFraction is the fraction of the requests that are admitted all the same, to find out when they start again.
	expiryProbeFraction = 0.1
)

// Expiries remembers the requests that waited in endpoint queues until their callers left or their deadlines passed, by
// their priority at endpoints. The load it addresses: urgent requests take all slots, so that less urgent ones never start.
// The utilization does not show that, because it does not tell who waits.
type Expiries struct {
	last map[int]boottime.Instant // by priority; 0 is the most urgent
}

// Note records that a request ended without a start after a wait.
func (e *Expiries) Note(now boottime.Instant, priority int, waited time.Duration) {
	if waited < minExpiredWait {
		return
	}
	if e.last == nil {
		e.last = map[int]boottime.Instant{}
	}
	e.last[priority] = now
}

// Reject reports whether a request would expire like recent ones that were as urgent or more, given a random number from
// 0 to 1.
func (e *Expiries) Reject(now boottime.Instant, priority int, random float64) bool {
	return random >= expiryProbeFraction && e.Recent(now, priority)
}

// Recent reports whether a request that was as urgent or more has expired recently.
func (e *Expiries) Recent(now boottime.Instant, priority int) bool {
	for p, at := range e.last {
		if p <= priority && now.Sub(at) <= expiryMemory {
			return true
		}
	}
	return false
}

// ExpiryRetryAfter returns when a caller may come back whose request would expire: the queue outlasts its patience, so it
// waits for most of the time after which callers return, with jitter from a random number from 0 to 1.
func ExpiryRetryAfter(timeLeft time.Duration, random float64) time.Duration {
	opts := DefaultOptions()
	longest := float64(opts.MaxRetryAfter)
	if timeLeft > 0 {
		longest = min(longest, opts.RetryTimeShare*float64(timeLeft))
	}
	return time.Duration(longest * (1 + random) / 2)
}
