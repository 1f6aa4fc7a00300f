package ingress

import (
	"net/http"
	"testing"

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
