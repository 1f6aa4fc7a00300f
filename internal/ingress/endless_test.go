package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// sentWithoutEnd is how many bytes an endpoint of these tests sends at most: many times what the
// buffers of a connection hold.
const sentWithoutEnd = 32 << 20

// sendWithoutEnd sends a piece again and again until the connection is closed, and returns whether
// it was closed before sentWithoutEnd bytes.
func sendWithoutEnd(conn net.Conn, piece string) bool {
	many := strings.Repeat(piece, 16<<10/len(piece)+1)
	for sent := 0; sent < sentWithoutEnd; sent += len(many) {
		if _, err := io.WriteString(conn, many); err != nil {
			return true
		}
	}
	return false
}

const (
	responseBegin = "HTTP/1.1 200 X\r\nX-Stamp: 1\r\nX-Id: id-1\r\n"
	streamBegin   = responseBegin + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// endlessResponses are beginnings of responses and what follows them without end.
var endlessResponses = map[string]struct{ begin, piece string }{
	"head":     {"HTTP/1.1 200 OK\r\nX-One: ", "x"},
	"comments": {streamBegin, "8\r\n: ping\n\n\r\n"},
	"event":    {streamBegin + "6\r\ndata: \r\n", "8\r\nxxxxxxxx\r\n"},

	"body with a length":       {responseBegin + "Content-Length: 1000000000000\r\n\r\n", "x"},
	"body without a length":    {responseBegin + "\r\n", "x"},
	"body in chunks":           {responseBegin + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	"chunk":                    {responseBegin + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n", "x"},
	"size of a chunk":          {responseBegin + "Transfer-Encoding: chunked\r\n\r\n", "1"},
	"extension of a chunk":     {responseBegin + "Transfer-Encoding: chunked\r\n\r\n1;x=", "x"},
	"extensions of all chunks": {responseBegin + "Transfer-Encoding: chunked\r\n\r\n", "1;x=" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
	"trailer":                  {responseBegin + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-One: 1\r\n"},
	"body of a failure":        {"HTTP/1.1 500 X\r\nX-Stamp: 1\r\nX-Id: id-1\r\n\r\n", "x"},
}

// TestAnswerWithoutEndIsCutOffAndRetried: an endpoint whose answer has no end is cut off. The
// request is retried if its kind allows that, and the caller otherwise gets a 502.
func TestAnswerWithoutEndIsCutOffAndRetried(t *testing.T) {
	for name, answer := range endlessResponses {
		for route, want := range map[string]struct{ status, arrivals int }{
			"idempotent":     {http.StatusOK, 2},
			"non-idempotent": {http.StatusBadGateway, 1},
		} {
			t.Run(name+", "+route, func(t *testing.T) {
				cut := make(chan bool, 1)
				ts := startTestServer(t, func(n int, conn net.Conn, _ *http.Request) {
					if n > 1 {
						writeCompleteResponse(conn, "good")
						return
					}
					_, _ = io.WriteString(conn, answer.begin)
					cut <- sendWithoutEnd(conn, answer.piece)
				})
				g := ts.send(http.MethodPost, route, "body")
				if g.status != want.status || g.err != nil || ts.arrivals() != want.arrivals {
					t.Errorf("status %d, %v, %d arrivals; want %d and %d", g.status, g.err, ts.arrivals(), want.status, want.arrivals)
				}
				if !<-cut {
					t.Errorf("%d bytes were sent on an open connection", sentWithoutEnd)
				}
			})
		}
	}
}

// TestStreamThatStopsMakingSenseIsResumed: a resumable stream whose endpoint sends comments or an
// event without end after some events is cut off and resumed at another endpoint, with each event once.
func TestStreamThatStopsMakingSenseIsResumed(t *testing.T) {
	for name, piece := range map[string]string{"comments": "8\r\n: ping\n\n\r\n", "event": "8\r\nxxxxxxxx\r\n"} {
		t.Run(name, func(t *testing.T) {
			cut := make(chan bool, 1)
			ts := startTestServer(t, func(n int, conn net.Conn, _ *http.Request) {
				writeStreamHead(conn)
				if n == 1 {
					writeEvents(conn, 1, 3)
					cut <- sendWithoutEnd(conn, piece)
					return
				}
				writeEvents(conn, 4, 6)
				endChunkedBody(conn)
			})
			g := ts.send(http.MethodPost, "resumable", "body")
			if g.body != eventsText(1, 6) || g.err != nil || ts.arrivals() != 2 || !<-cut {
				t.Errorf("got %q, %v after %d arrivals", g.body, g.err, ts.arrivals())
			}
		})
	}
}
