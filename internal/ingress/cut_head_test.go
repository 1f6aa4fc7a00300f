package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// cutHeads are heads of answers that would be complete, or streams, after the blank line.
var cutHeads = map[string]string{
	"no length": "HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nX-Id: id-1\r\nConnection: close\r\n\r\n",
	"length":    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Stamp: 1\r\nX-Id: id-1\r\n\r\n",
	"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: 1\r\nX-Id: id-1\r\n\r\n",
	"stream":    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Stamp: 1\r\nX-Id: id-1\r\n\r\n",
}

// TestAnswerCutInsideItsHeadIsNoAnswer guards against an answer with an empty or short body, framed as whole, for an endpoint that stopped
// inside the head of its answer (MIXED, ORDER).
func TestAnswerCutInsideItsHeadIsNoAnswer(t *testing.T) {
	for name, head := range cutHeads {
		for _, reset := range []bool{false, true} {
			for _, route := range []string{"non-idempotent", "idempotent", "stream", "resumable"} {
				t.Run(fmt.Sprintf("%s, %s, reset %v", name, route, reset), func(t *testing.T) { cutEverywhere(t, head, route, reset) })
			}
		}
	}
}

func cutEverywhere(t *testing.T, head, route string, reset bool) {
	var cut atomic.Int64
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, head[:cut.Load()])
		if reset {
			resetConn(c)
		}
	})
	for at := range len(head) {
		cut.Store(int64(at))
		if g := ts.send("POST", route, ""); g.err == nil && g.status < 500 {
			t.Errorf("cut after %q: status %d, body %q", head[:at], g.status, g.body)
		}
	}
}

// TestFailureOfTheNextEndpointIsNotInTheStream guards against an error's head or text in the middle of a stream that another endpoint
// began, and against such a stream that ends as complete (ORDER, MIXED).
func TestFailureOfTheNextEndpointIsNotInTheStream(t *testing.T) {
	const stamp = "X-Stamp: 1\r\nX-Id: id-1\r\n"
	for name, answer := range map[string]string{
		"error":               "HTTP/1.1 500 X\r\n" + stamp + "Content-Length: 4\r\n\r\noops",
		"error as a stream":   "HTTP/1.1 500 X\r\n" + stamp + "Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 3\ndata: oops\n\n",
		"error without end":   "HTTP/1.1 503 X\r\n" + stamp + "\r\nid: 3\ndata: oops\n\n",
		"half a head":         "HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/event",
		"no head":             "id: 3\ndata: oops\n\n",
		"nothing":             "",
		"other type":          "HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\noops",
		"no type":             "HTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 18\r\n\r\nid: 3\ndata: oops\n\n",
		"event without id":    "HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/event-stream\r\n\r\nevent: error\ndata: oops\n\n",
		"error after a block": "HTTP/1.1 200 OK\r\n" + stamp + "Content-Type: text/event-stream\r\n\r\n: ping\n\nHTTP/1.1 500 X\r\n\r\noops\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			expectCut(t, startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
				if n > 1 {
					_, _ = io.WriteString(c, answer)
					_ = c.Close()
					return
				}
				writeStreamHead(c)
				writeEvents(c, 1, 2)
				resetConn(c)
			}), "resumable", eventsText(1, 2))
		})
	}
}
