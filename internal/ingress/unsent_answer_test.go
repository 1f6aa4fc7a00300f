package ingress

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// brokenWriter is a ResponseWriter whose writes, or only the sending of what is buffered, fail.
type brokenWriter struct {
	*httptest.ResponseRecorder
	err      error
	buffered bool // writes succeed
}

// Write implements http.ResponseWriter.
func (w brokenWriter) Write(p []byte) (int, error) {
	if w.buffered {
		return len(p), nil
	}
	return 0, w.err
}

// FlushError is used by http.ResponseController.
func (w brokenWriter) FlushError() error { return w.err }

// counted returns the counters of a scope whose name has a prefix.
func counted(scope tally.TestScope, prefix string) map[string]int64 {
	counts := map[string]int64{}
	for name, c := range scope.Snapshot().Counters() {
		if strings.HasPrefix(name, prefix) {
			counts[name] = c.Value()
		}
	}
	return counts
}

// TestUnsentAnswersAreCountedByCause guards against complete answers that don't reach the caller and leave no trace.
func TestUnsentAnswersAreCountedByCause(t *testing.T) {
	for path, outcome := range map[string]string{"/idempotent/x": "", "/nowhere/x": "rejected"} {
		for cause, err := range map[string]error{
			"caller_left":    &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)},
			"caller_stalled": &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded},
		} {
			for _, buffered := range []bool{false, true} {
				ts := startTestServer(t, answerGood)
				scope := tally.NewTestScope("", nil)
				ts.server.meter = NewMeter(scope)
				r := httptest.NewRequest("GET", path, nil)
				r.Host = "h"
				r.Header.Set("X-Id", "id-1")
				r.Header.Set("X-Key", "key")
				ts.server.ServeHTTP(brokenWriter{httptest.NewRecorder(), err, buffered}, r)
				if got := counted(scope, "gateway.callers_ended"); len(got) != 1 || got["gateway.callers_ended+cause="+cause] != 1 {
					t.Errorf("%s, buffered %t: counted %v, want one %s", path, buffered, got, cause)
				}
				want := outcome
				if want == "" {
					want = cause
				}
				requests := counted(scope, "gateway.requests")
				if len(requests) != 1 || !strings.Contains(fmt.Sprint(requests), "outcome="+want) {
					t.Errorf("%s, buffered %t: counted %v, want one with outcome %s", path, buffered, requests, want)
				}
			}
		}
	}
}

// TestCallerThatDoesNotReadItsAnswerIsGivenUp guards against an answer that is in progress for ever, and against an end
// that leaves no trace.
func TestCallerThatDoesNotReadItsAnswerIsGivenUp(t *testing.T) {
	const timeout = time.Second
	text := strings.Repeat("x", maxBufferedResponseBytes)
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, text) })
	scope := tally.NewTestScope("", nil)
	ts.server.meter = NewMeter(scope)
	caller := ts.dial()
	_ = caller.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	caller.send(t, rawHead("non-idempotent", 0, "X-Wait-Ms: 1000\r\n"))
	time.Sleep(timeout)
	if n := ts.server.inProgress.Load(); n != 1 {
		t.Errorf("%d requests in progress, want 1", n)
	}
	time.Sleep(2 * resumeSlack)
	if n := ts.server.inProgress.Load(); n != 0 {
		t.Errorf("%d requests in progress %v after the timeout, want 0", n, 2*resumeSlack)
	}
	const want = "gateway.callers_ended+cause=caller_stalled"
	if got := counted(scope, "gateway.callers_ended"); len(got) != 1 || got[want] != 1 {
		t.Errorf("counted %v, want one %s", got, want)
	}
}
