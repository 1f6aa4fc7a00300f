package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// stopAfter begins the part of a planned stop that closes the listener, and returns a channel that gets the result of Drain.
func (ts *testServer) stopAfter(grace time.Duration) <-chan int {
	ts.server.DisableKeepAlives()
	end := time.Now().Add(grace)
	stopped := make(chan int, 1)
	go func() { stopped <- ts.server.Drain(end, end) }()
	return stopped
}

// answerSlowly returns a responder that needs some time for each answer.
func answerSlowly(d time.Duration) responder {
	return func(_ int, c net.Conn, _ *http.Request) {
		time.Sleep(d)
		writeCompleteResponse(c, "good")
	}
}

// TestBodyThatIsLateInAPlannedStop guards against a request whose head came before a planned stop, and the rest of its body so late that it is cut off
// without an answer.
func TestBodyThatIsLateInAPlannedStop(t *testing.T) {
	const grace = time.Second
	for _, route := range []string{"non-idempotent", "idempotent", "stream", "resumable"} {
		for framing, raw := range map[string]struct{ head, rest string }{
			"length": {rawHead(route, 4, "X-Wait-Ms: 10000\r\n"), "body"},
			"chunks": {strings.Replace(rawHead(route, 0, "X-Wait-Ms: 10000\r\n"), "Content-Length: 0", "Transfer-Encoding: chunked", 1), "4\r\nbody\r\n0\r\n\r\n"},
		} {
			t.Run(route+", "+framing, func(t *testing.T) {
				t.Parallel()
				ts := startTestServer(t, answerSlowly(2*grace))
				conn := ts.dial()
				conn.send(t, raw.head+raw.rest[:len(raw.rest)-1])
				time.Sleep(50 * time.Millisecond)
				stopped := ts.stopAfter(grace)
				time.Sleep(grace / 2)
				conn.send(t, raw.rest[len(raw.rest)-1:])
				status, header, err := conn.answer()
				if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !conn.closes || ts.arrivals() != 0 {
					t.Errorf("status %d, %v, error %v, %d arrivals; want a refusal that closes the connection", status, header, err, ts.arrivals())
				}
				<-stopped
			})
		}
	}
}

// TestLateBodyThatStillHasTimeIsRun guards against the refusal of a request whose time is over before the end of a planned stop.
func TestLateBodyThatStillHasTimeIsRun(t *testing.T) {
	const grace = time.Second
	ts := startTestServer(t, answerSlowly(grace/10))
	conn := ts.dial()
	conn.send(t, rawHead("non-idempotent", 4, "X-Wait-Ms: 700\r\n")+"bod")
	time.Sleep(50 * time.Millisecond)
	stopped := ts.stopAfter(grace)
	time.Sleep(grace / 4)
	conn.send(t, "y")
	if status, _, err := conn.answer(); status != http.StatusOK {
		t.Errorf("status %d, %v for a request whose time is over before the end of the stop", status, err)
	}
	<-stopped
}

// TestRequestsUnderWayAtTheEndOfAStopAreAnswered guards against a connection that ends without an answer because its request still runs at the end of a
// planned stop.
func TestRequestsUnderWayAtTheEndOfAStopAreAnswered(t *testing.T) {
	const grace = 500 * time.Millisecond
	ts := startTestServer(t, answerSlowly(2*grace))
	conns := map[string]*callerConn{}
	for _, route := range []string{"non-idempotent", "idempotent", "stream", "resumable"} {
		conns[route] = ts.dial()
		conns[route].send(t, patientRequest(route, "body", 10*time.Second))
	}
	for ts.arrivals() < len(conns) {
		time.Sleep(time.Millisecond)
	}
	stopped := ts.stopAfter(grace)
	for route, conn := range conns {
		if status, _, err := conn.answer(); status != http.StatusBadGateway || !conn.closes {
			t.Errorf("%s: status %d, closes %t, %v; want 502 for a request that may have run", route, status, conn.closes, err)
		}
	}
	if n := <-stopped; n != len(conns) {
		t.Errorf("%d requests were not complete, want %d", n, len(conns))
	}
}

// TestStreamUnderWayAtTheEndOfAStopIsCut guards against a stream that ends as if it were complete at the end of a planned stop.
func TestStreamUnderWayAtTheEndOfAStopIsCut(t *testing.T) {
	const grace = 300 * time.Millisecond
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		writeEvents(c, 1, 1)
		time.Sleep(3 * grace)
		writeEvents(c, 2, 2)
		endChunkedBody(c)
	})
	conn := ts.dial()
	conn.send(t, patientRequest("stream", "body", 10*time.Second))
	resp, err := http.ReadResponse(conn.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	stopped := ts.stopAfter(grace)
	if body, err := io.ReadAll(resp.Body); err == nil || string(body) != eventsText(1, 1) {
		t.Errorf("body %q, error %v", body, err)
	}
	<-stopped
}
