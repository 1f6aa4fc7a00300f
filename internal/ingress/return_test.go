package ingress

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
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
