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
