package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// readRequest reads one request with its body.
func readRequest(t *testing.T, r *bufio.Reader) {
	req, err := http.ReadRequest(r)
	if err != nil {
		t.Error(err)
		return
	}
	buf := make([]byte, req.ContentLength)
	for n := 0; n < len(buf) && err == nil; {
		var k int
		k, err = req.Body.Read(buf[n:])
		n += k
	}
}

// connect returns a caller's connection and its other end.
func connect(t *testing.T) (*clientConn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := dial(t.Context(), &gateway{callerAddr: ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return c, server.(*net.TCPConn)
}

func exchange(t *testing.T, c *clientConn, pause time.Duration) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://h/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	o, _, _ := c.roundTrip(sending{request: req, deadline: time.Now().Add(300 * time.Millisecond), pause: pause})
	return o
}

// TestOutcomes checks what a caller observes of each way in which a connection may end.
func TestOutcomes(t *testing.T) {
	for name, tc := range map[string]struct {
		serve func(c *net.TCPConn, r *bufio.Reader)
		pause time.Duration
		want  Outcome
	}{
		"answered": {func(c *net.TCPConn, r *bufio.Reader) { readRequest(t, r); fmt.Fprint(c, okResponse) }, 0, Answered},
		"truncated": {func(c *net.TCPConn, r *bufio.Reader) {
			readRequest(t, r)
			fmt.Fprint(c, okResponse[:len(okResponse)-1])
			c.Close()
		}, 0, Truncated},
		"truncated in the head": {func(c *net.TCPConn, r *bufio.Reader) { readRequest(t, r); fmt.Fprint(c, "HTTP/1.1 2"); c.Close() }, 0, Truncated},
		"closed after reading":  {func(c *net.TCPConn, r *bufio.Reader) { readRequest(t, r); c.Close() }, 0, NoAnswerNew},
		"closed unread":         {func(c *net.TCPConn, r *bufio.Reader) { time.Sleep(50 * time.Millisecond); c.Close() }, 0, NoAnswerNew},
		"closed in the body":    {func(c *net.TCPConn, r *bufio.Reader) { _, _ = r.Peek(1); c.Close() }, 50 * time.Millisecond, CutInRequest},
		"no answer in time":     {func(*net.TCPConn, *bufio.Reader) { time.Sleep(400 * time.Millisecond) }, 0, CallerDeadline},
	} {
		c, server := connect(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			tc.serve(server, bufio.NewReader(server))
		}()
		if got := exchange(t, c, tc.pause); got.outcome() != tc.want {
			t.Errorf("%s: %v (%+v), want %v", name, got.outcome(), got, tc.want)
		}
		<-done
	}
}

// TestOutcomesOnKeptConnections checks that a request that was received before its connection was closed is told from
// one that crossed the close.
func TestOutcomesOnKeptConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		closeAfter time.Duration // from the request; 0: before it
		want       Outcome
	}{
		"acknowledged":                          {60 * time.Millisecond, NoAnswerKept},
		"received, not acknowledged by a delay": {5 * time.Millisecond, NoAnswerKept},
		"crosses the close":                     {0, ClosedWhileIdle},
	} {
		c, server := connect(t)
		r := bufio.NewReader(server)
		go func() { readRequest(t, r); fmt.Fprint(server, okResponse) }()
		if got := exchange(t, c, 0); got.outcome() != Answered {
			t.Fatalf("%s: first request: %v", name, got.outcome())
		}
		if closedByPeer(c.tcp) {
			t.Errorf("%s: an open connection counts as closed", name)
		}
		if tc.closeAfter == 0 {
			server.Close()
		} else {
			time.AfterFunc(tc.closeAfter, func() { server.Close() })
		}
		if got := exchange(t, c, 0); got.outcome() != tc.want {
			t.Errorf("%s: %v (%+v), want %v", name, got.outcome(), got, tc.want)
		}
		if !closedByPeer(c.tcp) {
			t.Errorf("%s: a closed connection counts as open", name)
		}
	}
}

// TestAnnouncedIdleLimit checks that callers read the timeout of a Keep-Alive header.
func TestAnnouncedIdleLimit(t *testing.T) {
	for value, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, timeout=2": 2 * time.Second, "": 0, "timeout=x": 0} {
		if got, ok := announcedIdleLimit(http.Header{"Keep-Alive": {value}}); got != want || ok != (want > 0) {
			t.Errorf("%q: %v, %t", value, got, ok)
		}
	}
}
