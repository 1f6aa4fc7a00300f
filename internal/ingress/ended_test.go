package ingress

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// endedControl is a Control whose event loop has ended.
type endedControl struct{}

// Do implements Control.
func (endedControl) Do(func(*control.State, boottime.Instant)) {}

// TestRequestsAfterTheEventLoopHasEnded: a request that arrives, or is to be placed, after the end of the event
// loop is rejected as not run.
func TestRequestsAfterTheEventLoopHasEnded(t *testing.T) {
	ts := startTestServer(t, nil)
	ts.server.control = endedControl{}
	if got := ts.send("GET", "idempotent", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, error %v, Retry-After %q, want 503 with a time", got.status, got.err, got.header.Get("Retry-After"))
	}
	ts.server.control = &admittingControl{ts.control}
	if got := ts.send("GET", "idempotent", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v, want 503 for a request that cannot be placed", got.status, got.err)
	}
}

// TestRetryAfterWithinTheTimeLeft guards against a Retry-After of more than a third of the time that the caller has left, for which
// it would not wait.
func TestRetryAfterWithinTheTimeLeft(t *testing.T) {
	ts := startTestServer(t, nil)
	ts.server.control = endedControl{}
	const limit = 150 * time.Millisecond // a third of it is less than endedRetryAfter
	got := ts.send("GET", "idempotent", "", "X-Wait-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	after, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
	if got.status != http.StatusServiceUnavailable || err != nil || after > limit/3 {
		t.Errorf("status %d, Retry-After %v, %v, want 503 with at most a third of %v", got.status, after, err, limit)
	}
}

// admittingControl is a Control whose event loop ends after it has admitted a request.
type admittingControl struct{ next Control }

// Do implements Control.
func (c *admittingControl) Do(f func(*control.State, boottime.Instant)) {
	if c.next == nil {
		return
	}
	c.next.Do(f)
	c.next = nil
}
