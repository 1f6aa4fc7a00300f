package ingress

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// TestOwnLackOfMemoryIsNoFailureOfTheEndpoint guards against avoiding sound endpoints because this process has no memory
// for their responses.
func TestOwnLackOfMemoryIsNoFailureOfTheEndpoint(t *testing.T) {
	text := strings.Repeat("x", 200<<10)
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, text) })
	ts.server.memory.responses = bytebudget.Budget{Limit: 1}
	for range 12 {
		g := ts.send("POST", "non-idempotent", "")
		if g.status != http.StatusBadGateway {
			t.Fatalf("status %d, %v", g.status, g.err)
		}
	}
	ts.control.Do(func(st *control.State, now boottime.Instant) {
		for _, e := range st.Dump(now).Endpoints {
			if e.FailureRate > 0 || e.Avoided || e.InFlight > 0 {
				t.Errorf("%s has a failure rate of %.2f, avoided %t, %d in flight", e.ID, e.FailureRate, e.Avoided, e.InFlight)
			}
		}
	})
}

// TestOwnLackOfMemoryIsNotRetried guards against running a request again although its response cannot be held either.
func TestOwnLackOfMemoryIsNotRetried(t *testing.T) {
	text := strings.Repeat("x", 200<<10)
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, text) })
	ts.server.memory.responses = bytebudget.Budget{Limit: 1}
	g := ts.send("POST", "idempotent", "")
	if n := ts.arrivals(); g.status != http.StatusBadGateway || n != 1 {
		t.Errorf("status %d, %v, after %d attempts, want 502 after one", g.status, g.err, n)
	}
}

// TestDeferredFailureOutlivesALackOfMemory guards against a 502 of this process in place of the endpoint's own failure.
func TestDeferredFailureOutlivesALackOfMemory(t *testing.T) {
	text := strings.Repeat("x", 200<<10)
	ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
		if n == 1 {
			writeStampedHead(c, http.StatusInternalServerError, "Content-Length: 0")
			return
		}
		writeCompleteResponse(c, text)
	})
	ts.server.memory.responses = bytebudget.Budget{Limit: 1}
	if g := ts.send("POST", "idempotent", ""); g.status != http.StatusInternalServerError || ts.arrivals() != 2 {
		t.Errorf("status %d, %v, after %d attempts, want 500 after 2", g.status, g.err, ts.arrivals())
	}
}

// TestOwnLackOfMemoryDoesNotGoBack guards against running a request again at an endpoint that was given up for its silence.
func TestOwnLackOfMemoryDoesNotGoBack(t *testing.T) {
	text := strings.Repeat("x", 200<<10)
	ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
		if n == 1 {
			_, _ = c.Read(make([]byte, 1)) // returns when the attempt is given up
			return
		}
		writeCompleteResponse(c, text)
	})
	ts.publishUrgentConfig()
	ts.server.memory.responses = bytebudget.Budget{Limit: 1}
	g := ts.send("POST", "idempotent", "", "X-Wait-Ms", "4000")
	if n := ts.arrivals(); g.status != http.StatusBadGateway || n != 2 {
		t.Errorf("status %d, %v, after %d attempts, want 502 after 2", g.status, g.err, n)
	}
}
