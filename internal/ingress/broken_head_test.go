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

	"name with a blank":             "HTTP/1.1 200 OK\r\n" + identifyingFields + "X One: 1\r\nContent-Length: 4\r\n\r\ntext",
	"blank before the colon":        "HTTP/1.1 200 OK\r\n" + identifyingFields + "X-One : 1\r\nContent-Length: 4\r\n\r\ntext",
	"tab before the colon":          "HTTP/1.1 200 OK\r\n" + identifyingFields + "X-One\t: 1\r\nContent-Length: 4\r\n\r\ntext",
	"length with a blank":           "HTTP/1.1 200 OK\r\n" + identifyingFields + "Content-Length : 4\r\n\r\ntext and more",
	"length in two words":           "HTTP/1.1 200 OK\r\n" + identifyingFields + "Content Length: 4\r\n\r\ntext and more",
	"coding with a blank":           "HTTP/1.1 200 OK\r\n" + identifyingFields + "Transfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
	"stream with a blank in a name": "HTTP/1.1 200 OK\r\n" + identifyingFields + "Content-Type: text/event-stream\r\nX One: 1\r\n\r\n" + eventsText(1, 2),
	"failure with a blank":          "HTTP/1.1 404 X\r\n" + identifyingFields + "X One: 1\r\nContent-Length: 4\r\n\r\ntext",
	"refusal with a blank":          "HTTP/1.1 503 X\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nX One: 1\r\nContent-Length: 4\r\n\r\ntext",
	"blank in an interim response":  "HTTP/1.1 103 X\r\nX One: 1\r\n\r\n" + secondResponse,
	"zero byte in a name":           "HTTP/1.1 200 OK\r\n" + identifyingFields + "X\x00One: 1\r\nContent-Length: 4\r\n\r\ntext",
	"DEL in a name":                 "HTTP/1.1 200 OK\r\n" + identifyingFields + "X\x7fOne: 1\r\nContent-Length: 4\r\n\r\ntext",
	"CR in a name":                  "HTTP/1.1 200 OK\r\n" + identifyingFields + "X\rOne: 1\r\nContent-Length: 4\r\n\r\ntext",
	"zero byte in a value":          "HTTP/1.1 200 OK\r\n" + identifyingFields + "X-One: 1\x002\r\nContent-Length: 4\r\n\r\ntext",
	"no name":                       "HTTP/1.1 200 OK\r\n" + identifyingFields + ": 1\r\nContent-Length: 4\r\n\r\ntext",
	"no colon":                      "HTTP/1.1 200 OK\r\n" + identifyingFields + "X-One\r\nContent-Length: 4\r\n\r\ntext",
	"first line begins with blank":  "HTTP/1.1 200 OK\r\n X-One: 1\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"two lengths":                   "HTTP/1.1 200 OK\r\n" + identifyingFields + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ntext",

	"HTTP/2.0":                   "HTTP/2.0 200 OK\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"HTTP/0.9":                   "HTTP/0.9 200 OK\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"http/1.1":                   "http/1.1 200 OK\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"zero byte in the reason":    "HTTP/1.1 200 O\x00K\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"CR in the reason":           "HTTP/1.1 200 O\rK\r\n" + identifyingFields + "Content-Length: 4\r\n\r\ntext",
	"empty line before the head": "\r\n" + secondResponse,
	"blank before the head":      " " + secondResponse,

	"chunks of HTTP/1.0": "HTTP/1.0 200 OK\r\n" + identifyingFields + "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
	"chunks and a length of HTTP/1.0": "HTTP/1.0 200 OK\r\n" + identifyingFields + "transfer-encoding: chunked\r\nContent-Length: 5\r\n\r\n" +
		"4\r\ntext\r\n0\r\n\r\n",
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
