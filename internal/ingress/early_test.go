package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawHead returns the head of a request whose body follows.
func rawHead(route string, length int, lines ...string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: key\r\nContent-Length: %d\r\n%s\r\n", route, length, strings.Join(lines, ""))
}

// answerIn reads an answer and checks its status and that it took at most the given time.
func (c *callerConn) answerIn(t *testing.T, limit time.Duration, want int) http.Header {
	t.Helper()
	began := time.Now()
	_ = c.SetReadDeadline(began.Add(limit))
	status, header, err := c.answer()
	if status != want {
		t.Errorf("after %v: status %d, error %v, want %d", time.Since(began), status, err, want)
	}
	return header
}

// TestRejectionDoesNotWaitForTheBody guards against a rejection that is held back until a body arrives that never does.
func TestRejectionDoesNotWaitForTheBody(t *testing.T) {
	ts := startTestServer(t, answerGood)
	for name, tc := range map[string]struct {
		head   string
		status int
	}{
		"no route":       {rawHead("nowhere", 500), http.StatusNotFound},
		"unknown key":    {strings.Replace(rawHead("idempotent", 500), "X-Key: key", "X-Key: other", 1), http.StatusUnauthorized},
		"no id":          {strings.Replace(rawHead("idempotent", 500), "X-Id: id-1", "X-Id: ", 1), http.StatusBadRequest},
		"body too large": {rawHead("idempotent", 2000), http.StatusRequestEntityTooLarge},
		"chunks":         {strings.Replace(rawHead("nowhere", 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1), http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			c := ts.dial()
			c.send(t, tc.head)
			c.answerIn(t, unreadBodyTimeout+2*time.Second, tc.status)
		})
	}
}

// TestBodyThatIsNotCompleteInTime guards against a 408 that is held back until the rest of the body arrives.
func TestBodyThatIsNotCompleteInTime(t *testing.T) {
	ts := startTestServer(t, answerGood)
	c := ts.dial()
	c.send(t, rawHead("idempotent", 500, "X-Wait-Ms: 200\r\n")+"part of the body")
	c.answerIn(t, 200*time.Millisecond+unreadBodyTimeout+2*time.Second, http.StatusRequestTimeout)
}

// TestRejectionReachesACallerThatSendsItsWholeBody guards against a reset that destroys the answer.
func TestRejectionReachesACallerThatSendsItsWholeBody(t *testing.T) {
	ts := startTestServer(t, answerGood)
	t.Cleanup(func() { time.Sleep(600 * time.Millisecond) }) // net/http's goroutines wait for 500 ms after such an answer
	const size = 1 << 20
	for name, head := range map[string]string{
		"length": rawHead("idempotent", size),
		"chunks": strings.Replace(rawHead("idempotent", 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + fmt.Sprintf("%x\r\n", size),
	} {
		t.Run(name, func(t *testing.T) {
			c := ts.dial()
			_, _ = io.WriteString(c, head+strings.Repeat("x", size)) // fails if the connection is closed meanwhile
			c.answerIn(t, 5*time.Second, http.StatusRequestEntityTooLarge)
		})
	}
}

// TestRejectionKeepsTheConnection guards against a deadline for an unread body that ends the wait for the next request.
func TestRejectionKeepsTheConnection(t *testing.T) {
	ts := startTestServer(t, answerGood)
	c := ts.dial()
	c.send(t, rawRequest("nowhere", "body"))
	if c.answerIn(t, 5*time.Second, http.StatusNotFound); c.closes {
		t.Error("the connection closes")
	}
	time.Sleep(unreadBodyTimeout + 200*time.Millisecond)
	c.send(t, rawRequest("idempotent", "body"))
	c.answerIn(t, 5*time.Second, http.StatusOK)
}

// TestStreamOutlivesTheLimitForUnreadBodies guards against a deadline for unread bodies that ends the stream of a request
// whose body was read.
func TestStreamOutlivesTheLimitForUnreadBodies(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		writeEvents(c, 1, 1)
		time.Sleep(unreadBodyTimeout + 300*time.Millisecond)
		writeEvents(c, 2, 2)
		endChunkedBody(c)
	})
	for _, body := range []string{"", "body"} {
		if got := ts.send("POST", "stream", body); got.err != nil || got.body != eventsText(1, 2) {
			t.Errorf("request body %q: stream %q, error %v", body, got.body, got.err)
		}
	}
}
