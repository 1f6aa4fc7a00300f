package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// smallReceiveBuffer is the receive buffer in bytes of an endpoint that leaves a request unread, so that its upload lasts.
const smallReceiveBuffer = 4 << 10

// maxUpload is the largest body in bytes of a request to an early server.
const maxUpload = 7 << 20

// startEarlyServer is startTestServer with endpoints that answer before they have read the body of a request.
func startEarlyServer(t *testing.T, respond responder) *testServer {
	ts := startTestServer(t, respond)
	ts.leaveBodies.Store(true)
	allowBodies(ts, maxUpload)
	return ts
}

// resetAfter returns a responder that sends an answer without a length and resets its connection a delay later, while the request is
// still being sent.
func resetAfter(contentType, body string, delay time.Duration) responder {
	return func(_ int, c net.Conn, _ *http.Request) {
		_ = c.(*net.TCPConn).SetReadBuffer(smallReceiveBuffer)
		respondUnframed(c, contentType, body)
		time.Sleep(delay)
		resetConn(c)
	}
}

// TestAnswerResetDuringTheUploadIsNotComplete guards against a part of an answer that is passed on as complete because its connection
// was reset while the request was still being sent: the write takes the error of the reset, and the read sees a plain end.
func TestAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	const tries = 8
	for _, size := range []int{300 << 10, 900 << 10} {
		upload := strings.Repeat("u", size)
		for _, delay := range []time.Duration{0, 500 * time.Microsecond, 2 * time.Millisecond} {
			for _, tc := range []struct{ route, contentType, part string }{
				{"non-idempotent", "text/plain", "the ans"},
				{"idempotent", "text/plain", "the ans"},
				{"stream", "text/event-stream", eventsText(1, 2)},
				{"resumable", "text/event-stream", eventsText(1, 2)},
			} {
				ts := startEarlyServer(t, resetAfter(tc.contentType, tc.part, delay))
				for range tries {
					if g := ts.send(http.MethodPost, tc.route, upload); g.err == nil && g.status == http.StatusOK {
						t.Errorf("%s, upload of %d bytes, reset after %v: %q (length %s) is passed on as complete", tc.route, size, delay, g.body, g.header.Get("Content-Length"))
					}
				}
			}
		}
	}
}

// TestEarlyAnswerIsPassedOn guards against an answer that is taken for broken because it came before its endpoint had read the request:
// one with a length, even if the endpoint then resets its connection, and one without, if the endpoint reads on.
func TestEarlyAnswerIsPassedOn(t *testing.T) {
	upload := strings.Repeat("u", 900<<10)
	const answer = "the answer"
	for name, respond := range map[string]responder{
		"length, then a reset": func(_ int, c net.Conn, _ *http.Request) {
			writeCompleteResponse(c, answer)
			resetLater(c)
		},
		"chunks, then a reset": func(_ int, c net.Conn, _ *http.Request) {
			writeStampedHead(c, 200, "Transfer-Encoding: chunked")
			writeChunk(c, answer)
			endChunkedBody(c)
			resetLater(c)
		},
		"length, and the request is read on": func(_ int, c net.Conn, r *http.Request) {
			writeCompleteResponse(c, answer)
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"no length, and the request is read on": func(_ int, c net.Conn, r *http.Request) {
			respondUnframed(c, "text/plain", answer)
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"no length, sending side closed first": func(_ int, c net.Conn, r *http.Request) {
			respondUnframed(c, "text/plain", answer)
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startEarlyServer(t, respond)
			for range 4 {
				if g := ts.send(http.MethodPost, "non-idempotent", upload); g.err != nil || g.status != http.StatusOK || g.body != answer {
					t.Errorf("status %d, %q, %v", g.status, g.body, g.err)
				}
			}
		})
	}
}

// TestUnreadUploadEndsWithTheRequest guards against a request that is never answered because its endpoint has closed its sending side after
// an answer without a length, and neither reads the rest of the request nor closes its connection.
func TestUnreadUploadEndsWithTheRequest(t *testing.T) {
	ts := startEarlyServer(t, func(_ int, c net.Conn, r *http.Request) {
		_ = c.(*net.TCPConn).SetReadBuffer(smallReceiveBuffer)
		respondUnframed(c, "text/plain", "the answer")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(time.Second)
	})
	upload := strings.Repeat("u", maxUpload) // more than the buffers of a connection hold
	began := time.Now()
	g := ts.send(http.MethodPost, "non-idempotent", upload, "X-Wait-Ms", "500")
	if took := time.Since(began); g.err != nil || g.status != http.StatusGatewayTimeout || took > 900*time.Millisecond {
		t.Errorf("status %d, %q, %v after %v", g.status, g.body, g.err, took)
	}
}

// resetLater resets a connection once the other end has had time to read what was sent on it.
func resetLater(c net.Conn) {
	time.Sleep(50 * time.Millisecond)
	resetConn(c)
}
