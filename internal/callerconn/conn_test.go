package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// net/http uses both where a connection has them.
var _ interface {
	io.ReaderFrom
	CloseWrite() error
} = (*Conn)(nil)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// announced is what the answers of a test server announce.
const announced = 50 * time.Millisecond

// testServer serves "ok" on a listener.
type testServer struct {
	t        testing.TB
	listener *Listener
	http     *http.Server
}

func startServer(t testing.TB, handler http.HandlerFunc) *testServer {
	return startServerWith(t, handler, func(*Listener) {})
}

// startServerWith prepares the listener before it accepts.
func startServerWith(t testing.TB, handler http.HandlerFunc, prepare func(*Listener)) *testServer {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, listener: NewListener(tcp.(*net.TCPListener))}
	prepare(s.listener)
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ConnState: ConnState, ConnContext: ConnContext}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.http.Serve(s.listener)
	}()
	t.Cleanup(func() {
		_ = s.http.Close()
		<-done
	})
	return s
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	Announce(r.Context(), announced)
	_, _ = io.WriteString(w, "ok")
}

// client is a caller's connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial() *client {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(t testing.TB, text string) {
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func (c *client) expectAnswer(t testing.TB) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
		t.Fatalf("body %q, error %v", body, err)
	}
}

func (c *client) expectClosed(t testing.TB) {
	t.Helper()
	if b, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("read %q, error %v, want the end of the connection", b, err)
	}
}

// settle waits until the server waits for a request on all connections.
func (s *testServer) settle() {
	deadline := time.Now().Add(5 * time.Second)
	for !s.allReading() {
		if time.Now().After(deadline) {
			s.t.Fatal("the server does not wait for requests")
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *testServer) allReading() bool {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		c.mu.Lock()
		reading := c.reading && (c.phase == Waiting || c.phase == Fresh || c.phase == Started)
		c.mu.Unlock()
		if !reading {
			return false
		}
	}
	return len(s.listener.conns) > 0
}

// backdate makes the phases of all connections begin earlier.
func (s *testServer) backdate(d time.Duration) {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		c.mu.Lock()
		c.since = c.since.Add(-d)
		c.mu.Unlock()
	}
}

// TestIdleConnections checks that an idle connection is closed after the limit and not before, and that one with a
// request in progress is never closed.
func TestIdleConnections(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		answerOK(w, r)
	})
	c := s.dial()
	c.send(t, request)
	<-started
	s.backdate(time.Hour)
	for _, why := range []Reason{Idle, PlannedStop, GraceEnd} {
		if n := s.listener.Sweep(why, time.Millisecond); n != 0 {
			t.Errorf("%v: %d connections with a request in progress were asked to close", why, n)
		}
	}
	close(release)
	c.expectAnswer(t)
	s.settle()
	if n := s.listener.Sweep(Idle, time.Hour); n != 0 {
		t.Errorf("%d asked to close before the limit", n)
	}
	s.backdate(time.Hour + Margin)
	if n := s.listener.Sweep(Idle, time.Hour); n != 1 {
		t.Errorf("%d asked to close after the limit, want 1", n)
	}
	c.expectClosed(t)
	if n := s.listener.Closed(Idle); n != 1 {
		t.Errorf("%d counted as closed", n)
	}
}

// TestSweepPassesOnWhatHasArrived guards against a connection that is closed with bytes in its receive buffer, or in the
// reader's hands.
func TestSweepPassesOnWhatHasArrived(t *testing.T) {
	s := startServer(t, answerOK)
	for _, why := range []Reason{Idle, PlannedStop, GraceEnd} {
		for range 100 {
			s.sweepWithArrival(why)
		}
	}
}

// sweepWithArrival sweeps while a request has arrived on a connection whose time is over, and expects its answer.
func (s *testServer) sweepWithArrival(why Reason) {
	c := s.dial()
	c.send(s.t, request)
	c.expectAnswer(s.t)
	s.settle()
	s.backdate(time.Hour)
	c.send(s.t, request)
	s.awaitArrival()
	s.listener.Sweep(why, time.Millisecond)
	c.expectAnswer(s.t)
	_ = c.Close()
	for s.listener.Len() > 0 {
		time.Sleep(10 * time.Microsecond)
	}
}

// awaitArrival waits until bytes are in the receive buffer of a connection that has been backdated, or were read.
func (s *testServer) awaitArrival() {
	for s.inPhase(Waiting) && s.backdated() && !s.hasUnread() {
		time.Sleep(10 * time.Microsecond)
	}
}

// backdated reports whether all connections have been in their phases for long.
func (s *testServer) backdated() bool {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		c.mu.Lock()
		age := time.Since(c.since)
		c.mu.Unlock()
		if age < time.Hour {
			return false
		}
	}
	return true
}

// hasUnread reports whether the receive buffers of all connections hold bytes.
func (s *testServer) hasUnread() bool {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		raw, err := c.SyscallConn()
		if err != nil {
			return false
		}
		unread := 0
		var ioctlErr error
		if err := raw.Control(func(fd uintptr) { unread, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil || ioctlErr != nil || unread == 0 {
			return false
		}
	}
	return true
}

// TestStartOfAHeadIsBounded guards against a connection that a caller occupies with the first bytes of a head.
func TestStartOfAHeadIsBounded(t *testing.T) {
	s := startServer(t, answerOK)
	c := s.dial()
	c.send(t, request)
	c.expectAnswer(t)
	s.settle()
	c.send(t, "GE")
	for s.listener.Sweep(Idle, time.Millisecond); !s.inPhase(Started); s.settle() {
		time.Sleep(time.Millisecond)
	}
	if n := s.listener.Sweep(Idle, time.Millisecond); n != 0 {
		t.Error("a connection with the start of a head was asked to close at once")
	}
	s.backdate(maxStartOfHead)
	if n := s.listener.Sweep(Idle, time.Millisecond); n != 1 {
		t.Errorf("%d connections asked to close, want 1", n)
	}
	c.expectClosed(t)
}

func (s *testServer) inPhase(p Phase) bool {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		c.mu.Lock()
		phase := c.phase
		c.mu.Unlock()
		if phase != p {
			return false
		}
	}
	return true
}

// TestDeadlineDoesNotDropWhatHasArrived guards against a request that is dropped because the process was held up beyond
// the deadline for its head.
func TestDeadlineDoesNotDropWhatHasArrived(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener))
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	buf := make([]byte, 100)
	_ = near.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, _ = io.WriteString(far, request)
	time.Sleep(50 * time.Millisecond)
	if n, err := near.Read(buf); err != nil || string(buf[:n]) != request {
		t.Errorf("read %q, error %v after the deadline, want what arrived before it", buf[:n], err)
	}
	if n, err := near.Read(buf); n != 0 || err == nil || !err.(net.Error).Timeout() {
		t.Errorf("read %d bytes, error %v, want a timeout", n, err)
	}
	_ = far.Close()
	time.Sleep(20 * time.Millisecond)
	if _, err := near.Read(buf); err != io.EOF {
		t.Errorf("error %v, want the end", err)
	}
}
