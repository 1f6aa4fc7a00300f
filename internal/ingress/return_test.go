package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// TestAnEndpointThatWasOnlySilentIsTriedAgain guards against ending a response because its second attempt broke or was
// refused, although the first one was given up only for its endpoint's silence.
func TestAnEndpointThatWasOnlySilentIsTriedAgain(t *testing.T) {
	refuse := func(c net.Conn) { writeStampedHead(c, 503, "X-Not-Run: 1", "Content-Length: 0") }
	breakStream := func(c net.Conn) {
		writeStreamHead(c)
		writeEvents(c, 2, 2)
		resetConn(c)
	}
	for _, tc := range []struct {
		name, route   string
		endpoints     int
		second, third func(c net.Conn) // nil: a complete response
		complete      bool
	}{
		{"idempotent, second breaks", "idempotent", 4, resetConn, nil, true},
		{"idempotent, refused at the only other endpoint", "idempotent", 2, refuse, nil, true},
		{"stream, second breaks", "resumable", 4, breakStream, nil, true},
		{"stream, refused at the only other endpoint", "resumable", 2, refuse, nil, true},
		{"second and third break", "idempotent", 4, resetConn, resetConn, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ts := startTestServer(t, func(n int, c net.Conn, r *http.Request) {
				switch script := map[int]func(net.Conn){2: tc.second, 3: tc.third}[n]; {
				case script != nil:
					script(c)
				case tc.route == "idempotent":
					if n == 1 {
						time.Sleep(1500 * time.Millisecond)
					}
					writeCompleteResponse(c, eventsText(1, 3))
				default:
					after, _ := strconv.Atoi(r.Header.Get("X-After"))
					writeStreamHead(c)
					if n == 1 {
						writeEvents(c, 1, 1)
						time.Sleep(1500 * time.Millisecond)
					}
					writeEvents(c, after+1, 3)
					endChunkedBody(c)
				}
			}, []fleet.SoftwareVersion{"v1", "v1", "v1", "v1"}[:tc.endpoints]...)
			ts.publishUrgentConfig()
			g := ts.send("POST", tc.route, "")
			if complete := g.err == nil && g.body == eventsText(1, 3); complete != tc.complete {
				t.Errorf("got %d %q, %v", g.status, g.body, g.err)
			}
			_, _, reached := ts.received()
			if len(reached) != 3 || reached[2] != reached[0] || reached[1] == reached[0] {
				t.Errorf("attempts at %v, want a second one elsewhere and a third one at the first endpoint", reached)
			}
		})
	}
}

// TestGivenUpRequestWaitsForAnEndpointOrBudget guards against ending a response whose first attempt was given up for
// silence because, after the second one was refused, there is no budget or no endpoint for a moment.
func TestGivenUpRequestWaitsForAnEndpointOrBudget(t *testing.T) {
	for _, route := range []string{"idempotent", "resumable"} {
		for _, lack := range []string{"budget", "endpoint"} {
			t.Run(route+", no "+lack, func(t *testing.T) {
				t.Parallel()
				var ts *testServer
				var entries []published.Item
				respond := func(_ int, c net.Conn, r *http.Request) {
					attempts := 0
					requests, _, _ := ts.received()
					for _, other := range requests {
						if other.Header.Get("X-Id") == r.Header.Get("X-Id") {
							attempts++
						}
					}
					switch {
					case r.URL.Path == "/non-idempotent/x":
						writeHeadOf(c, r, "Content-Length: 0")
					case attempts == 1 && route == "idempotent":
						time.Sleep(1500 * time.Millisecond)
					case attempts == 1:
						writeStreamHead(c)
						writeEvents(c, 1, 1)
						time.Sleep(1500 * time.Millisecond)
					case attempts == 2:
						if lack == "endpoint" {
							ts.removeEndpoints("e0", "e1")
						}
						writeStampedHead(c, 503, "X-Not-Run: 1", "Content-Length: 0")
					case route == "idempotent":
						writeCompleteResponse(c, eventsText(1, 3))
					default:
						writeStreamHead(c)
						writeEvents(c, 2, 3)
						endChunkedBody(c)
					}
				}
				ts = startTestServerWith(t, control.Options{RetryRatio: 1}, respond, "v1")
				ts.removeEndpoints("e0")
				entries = append(entries, ts.addEndpoint("e0", "v1", respond), ts.addEndpoint("e1", "v1", respond))
				ts.publishUrgentConfig()
				admit := func(n int) { // raises the budget by 0.85 n retries
					for i := range n {
						ts.send("POST", "non-idempotent", "", "X-Id", fmt.Sprintf("other-%d", i))
					}
				}
				if lack == "budget" {
					admit(1)
				} else {
					admit(8)
				}
				defer time.AfterFunc(2*time.Second, func() {
					ts.store.Write(entries...)
					ts.readStore()
					admit(4)
				}).Stop()
				if g := ts.send("POST", route, ""); g.err != nil || g.body != eventsText(1, 3) {
					t.Errorf("got %d %q, %v", g.status, g.body, g.err)
				}
			})
		}
	}
}

// TestEndpointsFailureIsNotHeldBack guards against waiting for retry budget although an endpoint's own failure can be
// the response.
func TestEndpointsFailureIsNotHeldBack(t *testing.T) {
	ts := startTestServerWith(t, control.Options{RetryExtra: 2}, func(n int, c net.Conn, _ *http.Request) {
		if n == 1 {
			time.Sleep(1500 * time.Millisecond)
		}
		writeStampedHead(c, 500, "Content-Length: 4")
		_, _ = io.WriteString(c, "oops")
	})
	ts.publishUrgentConfig()
	start := time.Now()
	if g := ts.send("POST", "idempotent", ""); g.status != http.StatusInternalServerError || time.Since(start) > time.Second {
		t.Errorf("got %d after %v, %v", g.status, time.Since(start), g.err)
	}
	if n := ts.arrivals(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}
