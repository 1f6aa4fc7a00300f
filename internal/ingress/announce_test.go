package ingress

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/callerconn"
)

// TestHeadWithoutEnd guards against a caller that occupies memory with a head without end.
func TestHeadWithoutEnd(t *testing.T) {
	ts := startTestServer(t, answerGood)
	t.Cleanup(func() { time.Sleep(600 * time.Millisecond) }) // the connection lingers after such an answer
	c := ts.dial()
	c.send(t, "GET /idempotent/x HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", callerconn.DefaultHeadBytes+8<<10))
	c.answerIn(t, 5*time.Second, http.StatusRequestHeaderFieldsTooLarge)
}

// TestExpectContinue checks that a body is asked for only if the request is admitted, and that the answer comes anyway.
func TestExpectContinue(t *testing.T) {
	ts := startTestServer(t, answerGood)
	c := ts.dial()
	c.send(t, rawHead("idempotent", 4, "Expect: 100-continue\r\n"))
	c.expectLine(t, "HTTP/1.1 100 Continue")
	c.expectLine(t, "")
	c.send(t, "body")
	c.answerIn(t, 5*time.Second, http.StatusOK)
	c.send(t, rawHead("nowhere", 4, "Expect: 100-continue\r\n"))
	if c.answerIn(t, 5*time.Second, http.StatusNotFound); !c.closes {
		t.Error("the connection is kept, although the body may or may not follow")
	}
}

func (c *callerConn) expectLine(t *testing.T, want string) {
	t.Helper()
	if line, err := readLine(c.r); err != nil || line != want {
		t.Errorf("line %q, error %v, want %q", line, err, want)
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// TestPipelinedRequestAtAStop checks that the answer with "Connection: close" is complete although another request
// waits behind it, which is not run.
func TestPipelinedRequestAtAStop(t *testing.T) {
	ts := startTestServer(t, answerGood)
	ts.server.DisableKeepAlives()
	c := ts.dial()
	c.send(t, rawRequest("non-idempotent", "body")+rawRequest("non-idempotent", "body"))
	if h := c.answerIn(t, 5*time.Second, http.StatusOK); !c.closes || h.Get("Keep-Alive") != "" {
		t.Errorf("header %v", h)
	}
	if status, _, err := c.answer(); err == nil {
		t.Errorf("status %d on a connection that was announced to close", status)
	}
	if n := ts.arrivals(); n != 1 {
		t.Errorf("%d requests were forwarded, want 1", n)
	}
}

// TestKeepAliveHeader checks what answers announce for each published idle timeout.
func TestKeepAliveHeader(t *testing.T) {
	ts := startTestServer(t, answerGood)
	for timeout, want := range map[time.Duration]string{0: "", 900 * time.Millisecond: "", 15 * time.Second: "timeout=15", 2900 * time.Millisecond: "timeout=2"} {
		ts.publishIdleTimeout(timeout)
		for _, route := range []string{"idempotent", "nowhere"} {
			if got := ts.send("GET", route, "").header.Get("Keep-Alive"); got != want {
				t.Errorf("idle timeout %v, route %s: Keep-Alive %q, want %q", timeout, route, got, want)
			}
		}
	}
}
