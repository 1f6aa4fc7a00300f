package ingress

import (
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TestStreamIsNotResumedAtAnEndpointThatRestartedUnnoticed guards against events of another software version: of three
// endpoints whose entries have one version, the two that the stream did not begin at have restarted.
func TestStreamIsNotResumedAtAnEndpointThatRestartedUnnoticed(t *testing.T) {
	for name, soundCount := range map[string]int{"one sound endpoint": 1, "none": 0} {
		t.Run(name, func(t *testing.T) {
			var ts *testServer
			ts = startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
				writeStreamHead(c)
				if n == 1 {
					ts.restartAllButTried(soundCount)
					writeEvents(c, 1, 2)
					resetConn(c)
					return
				}
				writeEvents(c, 3, 4)
				endChunkedBody(c)
			})
			got := ts.send("POST", "resumable", "")
			_, _, reached := ts.received()
			if soundCount == 1 && (got.err != nil || got.body != eventsText(1, 4)) {
				t.Errorf("got %q, %v", got.body, got.err)
			}
			if soundCount == 0 && (got.err == nil || len(reached) != 1) {
				t.Errorf("got %q from %q", got.body, reached)
			}
			for id := range ts.restarted {
				if slices.Contains(reached, id) {
					t.Errorf("the stream was resumed at %s, which has restarted", id)
				}
			}
		})
	}
}

// TestResumedStreamNeedsTheReportOfItsEndpoint guards against events of another software version from an endpoint that was
// restarted and does not say so: only an endpoint that reports its incarnation, on the connection of the request, gets it.
func TestResumedStreamNeedsTheReportOfItsEndpoint(t *testing.T) {
	const failure = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
	closing := func(inc string) string {
		return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n" + inc
	}
	for name, tc := range map[string]struct {
		report func(id string, n int) string
		goesOn bool
		sends  int // requests that reach endpoints, at most
	}{
		"as usual":                              {func(string, int) string { return "" }, true, 2},
		"failures":                              {func(string, int) string { return failure }, false, 1},
		"one failure":                           {reportOnce(failure), true, 2},
		"no incarnation":                        {func(string, int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?" }, false, 1},
		"closing":                               {func(string, int) string { return closing("1") }, true, 2},
		"closing, restarted before the request": {func(_ string, n int) string { return closing([]string{"1", "2"}[min(n-1, 1)]) }, false, 2},
		"closing, then no report":               {func(_ string, n int) string { return []string{closing("1"), "?"}[min(n-1, 1)] }, false, 2},
		"closing, then a failure":               {func(_ string, n int) string { return []string{closing("1"), failure}[min(n-1, 1)] }, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var ts *testServer
			ts = startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
				writeStreamHead(c)
				if n == 1 {
					ts.setReport(tc.report)
					writeEvents(c, 1, 2)
					resetConn(c)
					return
				}
				writeEvents(c, 3, 4)
				endChunkedBody(c)
			})
			got := ts.send("POST", "resumable", "")
			if want := eventsText(1, 4); tc.goesOn && (got.err != nil || got.body != want) {
				t.Errorf("got %q, %v, want %q", got.body, got.err, want)
			}
			if !tc.goesOn && got.body != eventsText(1, 2) {
				t.Errorf("got %q from an endpoint that may be another process", got.body)
			}
			if got.status == http.StatusServiceUnavailable {
				t.Error("refused as not run after an endpoint got the request")
			}
			if n := ts.arrivals(); n > tc.sends {
				t.Errorf("the request reached %d endpoints, want %d", n, tc.sends)
			}
		})
	}
}

// setReport sets the endpoints' responses to questions for their incarnations.
func (ts *testServer) setReport(report func(id string, n int) string) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.report = report
}

// reportOnce returns the responses to questions for an incarnation of which the first is a given one.
func reportOnce(first string) func(string, int) string {
	return func(_ string, n int) string {
		if n == 1 {
			return first
		}
		return ""
	}
}

// restartAllButTried gives all endpoints but those that a request has reached, and so many others, another incarnation
// than their entries have.
func (ts *testServer) restartAllButTried(others int) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.restarted = map[string]fleet.Incarnation{}
	for id := range ts.versions {
		switch {
		case slices.Contains(ts.reachedEndpoints, id):
		case others > 0:
			others--
		default:
			ts.restarted[id] = 2
		}
	}
}
