package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startBudgeted starts a server with budgets, 0 and nil for none.
func startBudgeted(t *testing.T, conns int, memory *Budget, handler http.HandlerFunc) *testServer {
	return startServerWith(t, handler, func(l *Listener) { l.SetBudgets(conns, memory) })
}

// TestConnectionsWithoutARequestMakeRoom guards against callers that occupy all connections without a request. The one whose last
// progress is oldest is closed.
func TestConnectionsWithoutARequestMakeRoom(t *testing.T) {
	s := startBudgeted(t, 3, nil, answerOK)
	oldest, started := s.dial(), s.dial()
	s.awaitOpen(2)
	s.awaitReading()
	time.Sleep(5 * time.Millisecond)
	started.send(t, "GET / HTTP/1.1\r\n")
	time.Sleep(5 * time.Millisecond)
	kept := s.dial()
	kept.send(t, request)
	kept.expectAnswer(t)
	s.awaitOpen(3)
	s.awaitReading()

	for _, victim := range []*client{oldest, started} {
		c := s.dial()
		c.send(t, request)
		c.expectAnswer(t)
		victim.expectClosed(t)
		s.awaitReading()
	}
	s.awaitClosed(Connections, 2)
	kept.send(t, request)
	kept.expectAnswer(t)
}

// TestKeptConnectionsAreNotClosedForNewOnes guards against a kept connection that is closed within its announced time, or one with
// a request in progress, to make room. The new connection is refused at once.
func TestKeptConnectionsAreNotClosedForNewOnes(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := startBudgeted(t, 2, nil, func(w http.ResponseWriter, r *http.Request) {
		Announce(r.Context(), time.Hour)
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	kept, busy := s.dial(), s.dial()
	kept.send(t, request)
	kept.expectAnswer(t)
	busy.send(t, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	s.dial().expectClosed(t)
	s.awaitClosed(Refused, 1)
	close(release)
	busy.expectAnswer(t)
	kept.send(t, request)
	kept.expectAnswer(t)
}

// TestHeadsAreBoundTogether guards against many heads, each within its limit, that exhaust the memory. The one whose last progress is
// oldest is closed for another, and a single head that does not fit is refused with an answer.
func TestHeadsAreBoundTogether(t *testing.T) {
	begin := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 100)
	memory := &Budget{Bytes: int64(len(begin)*costPerHeadByte+102*costPerHeadField) * 3 / 2}
	s := startBudgeted(t, 0, memory, answerOK)
	idle := s.dial()
	s.awaitOpen(1)
	first := s.dial()
	first.send(t, begin)
	s.awaitCharge(memory)
	s.awaitReading() // a connection whose bytes are being taken in is not closed for another
	second := s.dial()
	second.send(t, begin+"\r\n")
	second.expectAnswer(t)
	first.expectStatus(t, http.StatusServiceUnavailable)
	first.expectClosed(t)
	s.awaitClosed(Memory, 1)

	third := s.dial()
	third.send(t, begin+begin+begin)
	third.expectStatus(t, http.StatusServiceUnavailable)
	third.expectClosed(t)
	idle.send(t, request) // closing it would have freed nothing
	idle.expectAnswer(t)
	for _, c := range []*client{idle, second} {
		_ = c.Close()
	}
	s.awaitNoCharge(memory)
}

// TestIncompleteBodiesMakeRoom guards against callers that announce a body and do not send it. Its handler can still answer; the
// connection of a request that is complete is never closed.
func TestIncompleteBodiesMakeRoom(t *testing.T) {
	memory := &Budget{Bytes: 64 << 10}
	results, complete, release := make(chan error, 2), make(chan struct{}), make(chan struct{})
	s := startBudgeted(t, 2, memory, func(w http.ResponseWriter, r *http.Request) {
		BeginBody(r.Context())
		_, err := io.ReadAll(r.Body)
		EndBody(r.Context())
		results <- err
		if err != nil {
			LeaveUnread(r.Context())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/slow" {
			close(complete)
			<-release
		}
		answerOK(w, r)
	})
	admitted := s.dial()
	admitted.send(t, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	<-complete
	<-results
	incomplete := s.dial()
	incomplete.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\npart")
	time.Sleep(20 * time.Millisecond)
	c := s.dial()
	if err := <-results; !errors.Is(err, ErrMemory) {
		t.Errorf("error %v of the incomplete body", err)
	}
	incomplete.expectStatus(t, http.StatusServiceUnavailable)
	_ = incomplete.Close()
	_ = c.Close()
	close(release)
	admitted.expectAnswer(t)
	_ = admitted.Close()
	s.awaitNoCharge(memory)
}

// TestUnreadAnswersStopNewRequests guards against answers that pile up because callers do not read them: while they exceed the
// budget, no other request may run.
func TestUnreadAnswersStopNewRequests(t *testing.T) {
	memory := &Budget{Bytes: 64 << 10}
	s := startBudgeted(t, 0, memory, func(w http.ResponseWriter, r *http.Request) {
		if !HasMemory(r.Context()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ChargeAnswer(r.Context(), 50<<10)
		ChargeAnswer(r.Context(), 128<<10)
		if HasMemory(r.Context()) {
			t.Error("128 KiB fit into 64 KiB")
		}
		AnswerSent(r.Context())
		if !HasMemory(r.Context()) {
			t.Error("an answer is charged after it was sent")
		}
		ChargeAnswer(r.Context(), 128<<10)
		answerOK(w, r)
	})
	for range 3 {
		c := s.dial()
		c.send(t, request)
		c.expectAnswer(t)
		s.awaitNoCharge(memory)
	}
}

// awaitOpen waits until n connections are open.
func (s *testServer) awaitOpen(n int) {
	for end := time.Now().Add(5 * time.Second); s.listener.Len() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%d connections are open, want %d", s.listener.Len(), n)
		}
	}
}

// awaitReading waits until the server reads from all connections.
func (s *testServer) awaitReading() {
	reading := func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		for c := range s.listener.conns {
			c.mu.Lock()
			r := c.reading
			c.mu.Unlock()
			if !r {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(5 * time.Second); !reading(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("the server does not read")
		}
	}
}

// awaitCharge waits until bytes are charged.
func (s *testServer) awaitCharge(b *Budget) {
	for end := time.Now().Add(5 * time.Second); b.Used() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("no bytes are charged")
		}
	}
}

// awaitNoCharge waits until nothing is charged.
func (s *testServer) awaitNoCharge(b *Budget) {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); b.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%d bytes are charged without a request", b.Used())
		}
	}
}

// TestIncompleteChunkSizeMakesRoom guards against a connection that is never closed because its reader has room for one byte only, like
// net/http's background read: the line with the size of a chunk fills the reader's buffer up to its last byte.
func TestIncompleteChunkSizeMakesRoom(t *testing.T) {
	result := make(chan error, 1)
	s := startBudgeted(t, 1, nil, TrackBody(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		result <- err
	})).ServeHTTP)
	incomplete := s.dial()
	incomplete.send(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("0", 4095))
	time.Sleep(50 * time.Millisecond)
	s.dial()
	select {
	case err := <-result:
		if !errors.Is(err, ErrMemory) {
			t.Errorf("error %v of the incomplete body", err)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the incomplete body is not closed for a new connection")
	}
	s.awaitClosed(Connections, 1)
}

// TestOneConnectionIsClosedForANewOne guards against a closed connection that keeps its descriptor for a while, so that further ones are
// closed for the same new connection. After a body of 1 MiB that was not read, net/http itself delays the close.
func TestOneConnectionIsClosedForANewOne(t *testing.T) {
	for _, length := range []string{"1000", "1048576"} {
		t.Run(length, func(t *testing.T) {
			const conns = 4
			s := startBudgeted(t, conns, nil, TrackBody(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					LeaveUnread(r.Context())
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				answerOK(w, r)
			})).ServeHTTP)
			var incomplete [conns]*client
			for i := range incomplete {
				incomplete[i] = s.dial()
				incomplete[i].send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+length+"\r\n\r\npart")
				time.Sleep(5 * time.Millisecond)
			}
			s.awaitOpen(conns)
			s.awaitReading()
			c := s.dial()
			c.send(t, request)
			c.expectAnswer(t)
			incomplete[0].expectStatus(t, http.StatusServiceUnavailable)
			time.Sleep(maxEvictions * roomTimeout)
			s.awaitClosed(Connections, 1)
			if n := s.listener.Closed(Refused); n != 0 {
				t.Errorf("%d new connections refused", n)
			}
		})
	}
}

// TestEvictionTakesTheNext guards against a caller whose bytes arrive while connections are compared: it is not closed, and the
// connection that is then the oldest is. The record of an earlier close must not end the wait for this one.
func TestEvictionTakesTheNext(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(tcp.(*net.TCPListener))
	defer l.Close()
	var conns [2]*Conn
	for i := range conns {
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns[i] = c.(*Conn)
		conns[i].reading = true
		conns[i].incoming.progress = time.Unix(int64(i), 0)
	}
	now := time.Now()
	c, rank := l.oldest(Connections, now)
	if c != conns[0] {
		t.Fatal("the chosen connection is not the oldest")
	}
	c.incoming.progress = now
	if c.askToEvict(Connections, rank, now) {
		t.Error("a connection that has made progress was asked to close")
	}
	l.room <- struct{}{}
	if !l.evict(Connections) || conns[0].asked != 0 || conns[1].asked != Connections {
		t.Errorf("asked %v and %v, want none and %v", conns[0].asked, conns[1].asked, Connections)
	}
	if len(l.room) != 0 {
		t.Error("the record of an earlier close was kept")
	}
}
