package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/callerconn"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// drain performs the part of a planned stop that concerns callers.
func (ts *testServer) drain(timeout time.Duration) {
	ts.server.DisableKeepAlives()
	end := time.Now().Add(timeout)
	ts.server.Drain(end, end)
}

// publishIdleTimeout changes the published idle timeout.
func (ts *testServer) publishIdleTimeout(d time.Duration) {
	config := testConfig()
	config.Version++
	config.Limits.IdleTimeout = d
	ts.store.Write(publishedtest.Config(config))
	u := ts.store.Update(true, 0)
	u.Confirmed = boottime.Now()
	ts.control.Do(func(st *control.State, now boottime.Instant) { st.ReadDone(now, u) })
}

// callerConn is a caller's connection that is kept between requests.
type callerConn struct {
	net.Conn
	r      *bufio.Reader
	closes bool // the last answer carried "Connection: close"
}

func (ts *testServer) dial() *callerConn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	return &callerConn{Conn: conn, r: bufio.NewReader(conn)}
}

// rawRequest returns the bytes of a whole request whose caller waits five seconds.
func rawRequest(route, body string) string { return patientRequest(route, body, 5*time.Second) }

func patientRequest(route, body string, timeout time.Duration) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: key\r\nX-Wait-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", route, timeout.Milliseconds(), len(body), body)
}

func (c *callerConn) send(t *testing.T, raw string) {
	t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Errorf("send: %v", err)
	}
}

// sendAll sends a whole request on each connection. It waits until all have arrived without giving up the processor, so
// that with one processor they stay in the receive buffers.
func sendAll(t *testing.T, conns []*callerConn) {
	t.Helper()
	for _, c := range conns {
		c.send(t, rawRequest("non-idempotent", "body"))
	}
	for sent := time.Now(); time.Since(sent) < 3*time.Millisecond; {
		continue
	}
}

// answer reads an answer and returns its status, 0 for a connection that ends without a complete one.
func (c *callerConn) answer() (status int, header http.Header, err error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, nil, err
	}
	c.closes = resp.Close
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, nil
}

// keptConns returns connections on which one request each was answered.
func (ts *testServer) keptConns(n int) []*callerConn {
	ts.t.Helper()
	conns := make([]*callerConn, n)
	for i := range conns {
		conns[i] = ts.dial()
		conns[i].send(ts.t, rawRequest("non-idempotent", "body"))
		if status, _, err := conns[i].answer(); status != http.StatusOK {
			ts.t.Fatalf("the first answer on connection %d: status %d, error %v", i, status, err)
		}
	}
	return conns
}

func answerGood(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") }

// requireAnswers checks that each connection gets one more answer.
func requireAnswers(t *testing.T, conns []*callerConn) {
	t.Helper()
	lost := 0
	var last error
	for _, c := range conns {
		if status, _, err := c.answer(); status != http.StatusOK {
			lost, last = lost+1, err
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d connections with a whole request in them were closed without an answer; the last error is %v", lost, len(conns), last)
	}
}

// TestIdleCloseAnswersWhatHasArrived guards against an idle connection that is closed with a whole request in it.
func TestIdleCloseAnswersWhatHasArrived(t *testing.T) {
	ts := startTestServer(t, answerGood)
	ts.publishIdleTimeout(time.Second)
	conns := ts.keptConns(400)
	time.Sleep(time.Second + callerconn.Margin + 200*time.Millisecond)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	sendAll(t, conns)
	ts.server.CloseIdle()
	requireAnswers(t, conns)
}

// TestStopAnswersWhatHasArrived guards against a planned stop that closes a connection with a whole request in it.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	ts := startTestServer(t, answerGood)
	ts.publishIdleTimeout(time.Second)
	conns := ts.keptConns(400)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	sendAll(t, conns)
	ts.drain(10 * time.Second)
	requireAnswers(t, conns)
}

// TestStopAnswersWhatComesInTime guards against a planned stop that closes a connection sooner than announced.
func TestStopAnswersWhatComesInTime(t *testing.T) {
	ts := startTestServer(t, answerGood)
	ts.publishIdleTimeout(2 * time.Second)
	conns := ts.keptConns(20)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ts.drain(10 * time.Second)
	}()
	time.Sleep(time.Second)
	sendAll(t, conns)
	requireAnswers(t, conns)
	<-stopped
}

// TestStopRefusesWhatItCannotComplete guards against a stream that is begun late in a planned stop and cut off at its end.
func TestStopRefusesWhatItCannotComplete(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		for n := 1; n <= 40; n++ {
			writeEvents(c, n, n)
			time.Sleep(100 * time.Millisecond)
		}
		endChunkedBody(c)
	})
	ts.publishIdleTimeout(10 * time.Second)
	conn := ts.dial()
	conn.send(t, rawRequest("none", "body"))
	if status, _, err := conn.answer(); status != http.StatusNotFound {
		t.Fatalf("status %d, error %v", status, err)
	}
	stopped := make(chan int)
	go func() {
		ts.server.DisableKeepAlives()
		now := time.Now()
		stopped <- ts.server.Drain(now.Add(time.Second), now.Add(3*time.Second))
	}()
	time.Sleep(500 * time.Millisecond)
	conn.send(t, patientRequest("stream", "body", 8*time.Second))
	status, header, err := conn.answer()
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !conn.closes || ts.arrivals() != 0 {
		t.Errorf("status %d, %v, error %v, %d arrivals; want a refusal that closes the connection", status, header, err, ts.arrivals())
	}
	if cut := <-stopped; cut != 0 {
		t.Errorf("%d requests were cut off", cut)
	}
}

// TestShorterIdleTimeoutKeepsPromises guards against a connection that is closed sooner than its last answer announced.
func TestShorterIdleTimeoutKeepsPromises(t *testing.T) {
	ts := startTestServer(t, answerGood)
	ts.publishIdleTimeout(10 * time.Second)
	conns := ts.keptConns(5)
	ts.publishIdleTimeout(time.Second)
	time.Sleep(time.Second + callerconn.Margin + 200*time.Millisecond)
	ts.server.CloseIdle()
	time.Sleep(50 * time.Millisecond)
	sendAll(t, conns)
	requireAnswers(t, conns)
}

// TestStreamThatEndsInAStopKeepsItsConnection guards against a connection that is closed although no answer on it
// carried "Connection: close".
func TestStreamThatEndsInAStopKeepsItsConnection(t *testing.T) {
	for name, pipelined := range map[string]bool{"the next request comes later": false, "the next request is buffered behind the first": true} {
		t.Run(name, func(t *testing.T) {
			stopping := make(chan struct{})
			ts := startTestServer(t, func(n int, c net.Conn, r *http.Request) {
				if n > 1 {
					writeCompleteResponse(c, "good")
					return
				}
				writeStreamHead(c)
				writeEvents(c, 1, 1)
				<-stopping
				writeEvents(c, 2, 2)
				endChunkedBody(c)
			})
			ts.publishIdleTimeout(2 * time.Second)
			conn := ts.dial()
			raw := rawRequest("stream", "")
			if pipelined {
				raw += rawRequest("non-idempotent", "body")
			}
			conn.send(t, raw)
			resp, err := http.ReadResponse(conn.r, nil)
			if err != nil || resp.Close {
				t.Fatalf("head %v, error %v", resp, err)
			}
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				ts.drain(10 * time.Second)
			}()
			time.Sleep(100 * time.Millisecond)
			close(stopping)
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != eventsText(1, 2) {
				t.Fatalf("body %q, error %v", body, err)
			}
			if !pipelined {
				conn.send(t, rawRequest("non-idempotent", "body"))
			}
			requireAnswers(t, []*callerConn{conn})
			<-stopped
		})
	}
}

// TestPipelinedRequestIsNotIdle guards against the close of a connection whose request runs, but was buffered together
// with the one before.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	release := make(chan struct{})
	ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
		if n > 1 {
			<-release
		}
		writeCompleteResponse(c, "good")
	})
	ts.publishIdleTimeout(time.Second)
	conn := ts.dial()
	conn.send(t, rawRequest("non-idempotent", "body")+rawRequest("non-idempotent", "body"))
	requireAnswers(t, []*callerConn{conn})
	time.Sleep(time.Second + callerconn.Margin + 200*time.Millisecond)
	ts.server.CloseIdle()
	time.Sleep(50 * time.Millisecond)
	close(release)
	requireAnswers(t, []*callerConn{conn})
}
