package ingress

import (
	"fmt"
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

// TestOwnLackOfMemoryForAnEvent guards against a large event for which this process has no memory and that ends more than its own attempt: a resumable
// stream goes on at another endpoint, and none counts as failing.
func TestOwnLackOfMemoryForAnEvent(t *testing.T) {
	for route, want := range map[string]struct {
		body     string
		arrivals int
	}{"resumable": {eventsText(1, 4), 2}, "stream": {eventsText(1, 2), 1}} {
		t.Run(route, func(t *testing.T) {
			ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
				writeStreamHead(c)
				if n == 1 {
					writeEvents(c, 1, 2)
					writeChunk(c, "id: 3\ndata: "+strings.Repeat("x", 100<<10))
					_, _ = c.Read(make([]byte, 1)) // returns when the connection is closed
					return
				}
				writeEvents(c, 3, 4)
				endChunkedBody(c)
			})
			ts.server.memory.responses = bytebudget.Budget{Limit: 1}
			g := ts.send("POST", route, "")
			if g.body != want.body || (g.err == nil) != (route == "resumable") || ts.arrivals() != want.arrivals {
				t.Errorf("got %q, %v after %d arrivals", g.body, g.err, ts.arrivals())
			}
			ts.control.Do(func(st *control.State, now boottime.Instant) {
				for _, e := range st.Dump(now).Endpoints {
					if e.FailureRate > 0 || e.InFlight > 0 {
						t.Errorf("%s has a failure rate of %.2f, %d in flight", e.ID, e.FailureRate, e.InFlight)
					}
				}
			})
		})
	}
}

// TestLargeEventsArriveWhole guards against large events that are lost, or whose memory is kept after their end.
func TestLargeEventsArriveWhole(t *testing.T) {
	const events = 20
	large := strings.Repeat("x", 200<<10)
	want := ""
	for n := 1; n <= events; n++ {
		want += fmt.Sprintf("id: %d\ndata: %s\n\n", n, large)
	}
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		writeChunk(c, want)
		endChunkedBody(c)
	})
	if g := ts.send("POST", "stream", ""); g.err != nil || g.body != want {
		t.Errorf("got %d of %d bytes, %v", len(g.body), len(want), g.err)
	}
	if n := ts.server.memory.responses.Reserved(); n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}
