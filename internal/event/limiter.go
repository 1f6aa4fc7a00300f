package event

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate limits for the log lines of each kind of event. Callers and unknown peers can cause events at any rate.
const (
	linesPerSecond = 20
	lineBurst      = 200
	// Request events (5xx) are logged for each request or attempt, and a gateway of the target
	// deployment receives up to 30 requests per second.
	requestLinesPerSecond = 200
	requestLineBurst      = 400
)

// limiter limits the log lines of each kind of event with a token bucket. The size of the
// catalogue bounds its memory, as all undefined numbers share one entry.
type limiter struct {
	mu    sync.Mutex
	kinds map[Number]*kindState
}

type kindState struct {
	bucket     *rate.Limiter
	suppressed int // lines suppressed since the last one written
}

func newLimiter() *limiter { return &limiter{kinds: map[Number]*kindState{}} }

// allow reports whether an event may be written now and, if so, how many of its kind
// have been suppressed since the last one written.
func (l *limiter) allow(n Number, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, defined := Lookup(n); !defined {
		n = 0
	}
	k := l.kinds[n]
	if k == nil {
		k = &kindState{bucket: newBucket(n)}
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
	if n.isRequestEvent() {
		return rate.NewLimiter(requestLinesPerSecond, requestLineBurst)
	}
	return rate.NewLimiter(linesPerSecond, lineBurst)
}

// isRequestEvent reports whether n belongs to the group of request events (5xx).
func (n Number) isRequestEvent() bool { return n >= 500 && n < 600 }
