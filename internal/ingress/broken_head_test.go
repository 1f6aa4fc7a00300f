package ingress

import (
	"io"
	"net"
	"net/http"
	"testing"
)

const (
	identifyingFields = "X-Stamp: 1\r\nX-Id: id-1\r\n"
	// secondResponse follows a broken one on the same connection.
	secondResponse = "HTTP/1.1 200 OK\r\n" + identifyingFields + "Content-Length: 6\r\n\r\nsecond"
)

// brokenHeads are heads that are no valid heads of a final response, by name, and what follows them.
var brokenHeads = map[string]string{
	"status 000":                   "HTTP/1.1 000 X\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"status 000, then a response":  "HTTP/1.1 000 X\r\n" + identifyingFields + "\r\n" + secondResponse,
	"status 099, then a response":  "HTTP/1.1 099 X\r\n" + identifyingFields + "\r\n" + secondResponse,
	"status +20, then a response":  "HTTP/1.1 +20 X\r\n" + identifyingFields + "\r\n" + secondResponse,
	"status 000 without a body":    "HTTP/1.1 000 X\r\n" + identifyingFields + "Content-Length: 0\r\n\r\n",
	"status 600":                   "HTTP/1.1 600 X\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"status 999 without a length":  "HTTP/1.1 999 X\r\n" + identifyingFields + "\r\ntext",
	"status 2000":                  "HTTP/1.1 2000 X\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"status that is not a number":  "HTTP/1.1 2x0 X\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"status 101":                   "HTTP/1.1 101 X\r\n" + identifyingFields + "\r\n" + secondResponse,
	"status 000 after an interim":  "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 000 X\r\n" + identifyingFields + "\r\n" + secondResponse,
	"status 000 of a stream":       "HTTP/1.1 000 X\r\n" + identifyingFields + "Content-Type: text/event-stream\r\n\r\n" + eventsText(1, 2),
	"status 000 before the stream": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + identifyingFields + "Content-Type: text/event-stream\r\n\r\n" + eventsText(1, 2),
}

// TestBrokenHeadIsNoAnswer guards against an answer that is passed on although its head is no valid one: the request is retried if its
// kind allows that, and the caller otherwise gets a 502 of the gateway.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, raw := range brokenHeads {
		for route, want := range map[string]struct{ status, arrivals int }{
			"idempotent":     {http.StatusOK, 2},
			"non-idempotent": {http.StatusBadGateway, 1},
			"stream":         {http.StatusBadGateway, 1},
		} {
			t.Run(name+", "+route, func(t *testing.T) {
				ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
					if n > 1 {
						writeCompleteResponse(c, "good")
						return
					}
					_, _ = io.WriteString(c, raw)
				})
				g := ts.send(http.MethodPost, route, "body")
				if g.err != nil || g.status != want.status || ts.arrivals() != want.arrivals {
					t.Errorf("status %d, %q, %v, %d arrivals; want %d and %d", g.status, g.body, g.err, ts.arrivals(), want.status, want.arrivals)
				}
				if stamp := g.header.Get("X-Stamp"); (stamp != "") != (want.status == http.StatusOK) || stamp != "" && g.body != "good" {
					t.Errorf("%q with the stamp %q", g.body, stamp)
				}
			})
		}
	}
}
