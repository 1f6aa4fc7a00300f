package event

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// The bound on the lines of one kind of event, which callers and strangers can provoke.
const (
	linesPerSecond = 20
	lineBurst      = 200
	// A request has a line of each kind for each attempt; the target's gateway has 30
	// requests a second on its worst days.
	requestLinesPerSecond = 200
	requestLineBurst      = 400
)

// limiter bounds the lines of each kind of event. Its memory is bounded by the
// catalogue: all undefined numbers share one entry.
type limiter struct {
	mu    sync.Mutex
	kinds map[Number]*kind
}

type kind struct {
	bucket     *rate.Limiter
	suppressed int // lines since the last one written
}

func newLimiter() *limiter { return &limiter{kinds: map[Number]*kind{}} }

// admit tells whether an event may be written now and, if so, how many of its kind
// were not since the last one.
func (l *limiter) admit(n Number, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, defined := Lookup(n); !defined {
		n = 0
	}
	k := l.kinds[n]
	if k == nil {
		k = &kind{bucket: newBucket(n)}
		l.kinds[n] = k
	}
	if !k.bucket.AllowN(now, 1) {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

func newBucket(n Number) *rate.Limiter {
	if n.aboutRequests() {
		return rate.NewLimiter(requestLinesPerSecond, requestLineBurst)
	}
	return rate.NewLimiter(linesPerSecond, lineBurst)
}

// aboutRequests tells whether an event is one of the 5xx.
func (n Number) aboutRequests() bool { return n >= 500 && n < 600 }
