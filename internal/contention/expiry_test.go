package contention

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// TestExpiriesRejectTheLessUrgent guards against requests that wait until their deadlines behind more urgent ones, and against
// rejections of the more urgent ones, of callers after the queue has gone, or because callers leave early.
func TestExpiriesRejectTheLessUrgent(t *testing.T) {
	var e Expiries
	now := boottime.Instant(time.Hour)
	e.Note(now, 2, minExpiredWait/2)
	if e.Reject(now, 9, 1) {
		t.Error("a caller that left early counts")
	}
	e.Note(now, 4, 2*time.Second)
	for priority, want := range map[int]bool{3: false, 4: true, 9: true} {
		if got := e.Reject(now.Add(expiryMemory), priority, 0.5); got != want {
			t.Errorf("priority %d: rejected %t, want %t", priority, got, want)
		}
	}
	if e.Reject(now, 9, 0.05) {
		t.Error("nothing is admitted to find out when requests start again")
	}
	if e.Reject(now.Add(expiryMemory+1), 9, 1) {
		t.Error("an old expiry counts")
	}
}

// TestExpiryRetryAfterIsKept guards against a Retry-After beyond what callers wait, and against callers that return together.
func TestExpiryRetryAfterIsKept(t *testing.T) {
	for _, left := range []time.Duration{300 * time.Millisecond, 3 * time.Second, time.Minute, 0} {
		low, high := ExpiryRetryAfter(left, 0), ExpiryRetryAfter(left, 1)
		if left > 0 && high > left/3 || high > 5*time.Second || low <= 0 || low > high*3/4 {
			t.Errorf("time left %v: %v to %v", left, low, high)
		}
	}
}
