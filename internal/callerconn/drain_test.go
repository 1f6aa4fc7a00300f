package callerconn

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDrain checks that a drain ends when the announced times are over, and at the latest at its end.
func TestDrain(t *testing.T) {
	s := startServer(t, answerOK)
	kept, fresh := s.dial(), s.dial()
	kept.send(t, request)
	kept.expectAnswer(t)
	s.settle()
	began := time.Now()
	far := began.Add(time.Minute)
	if left := s.listener.Drain(time.Hour, far, far); left != 0 {
		t.Errorf("%d connections left", left)
	}
	if took := time.Since(began); took < Margin || took > Margin+time.Second {
		t.Errorf("took %v, want the announced time and the margin", took)
	}
	kept.expectClosed(t)
	fresh.expectClosed(t)
	if n := s.listener.Closed(PlannedStop); n != 2 {
		t.Errorf("%d counted as closed, want 2", n)
	}
}

// TestDrainEndsWithRequests checks that a drain does not wait for a request beyond its end, and that connections without
// one are closed at idleEnd whatever was announced.
func TestDrainEndsWithRequests(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		Announce(r.Context(), time.Hour)
		if r.URL.Path == "/" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		close(started)
		<-release
	})
	defer close(release)
	kept, busy := s.dial(), s.dial()
	kept.send(t, request)
	kept.expectAnswer(t)
	busy.send(t, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	began := time.Now()
	if left := s.listener.Drain(time.Hour, began.Add(100*time.Millisecond), began.Add(300*time.Millisecond)); left != 1 {
		t.Errorf("%d connections left, want the one with a request", left)
	}
	if took := time.Since(began); took < 300*time.Millisecond || took > time.Second {
		t.Errorf("took %v", took)
	}
	kept.expectClosed(t)
}

// TestDrainAwaitsAnswersOnTheirWay guards against a planned stop that ends the process while a connection still lingers, which resets it
// and may destroy its answer. Such a connection has no request that could be cut off.
func TestDrainAwaitsAnswersOnTheirWay(t *testing.T) {
	for name, wait := range map[string]time.Duration{"to the end": time.Minute, "bounded": lingerTime / 3} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, answerOK)
			s.listener.SetLimits(Limits{HeadBytes: 1000})
			c := s.dial()
			c.send(t, "GET /"+strings.Repeat("x", 1000+headSlack))
			c.expectStatus(t, http.StatusRequestHeaderFieldsTooLarge)
			s.awaitOpen(0)
			began := time.Now()
			end := began.Add(wait)
			if left := s.listener.Drain(time.Hour, end, end); left != 0 {
				t.Errorf("%d requests left", left)
			}
			if took, want := time.Since(began), min(wait, lingerTime)/2; took < want || took > want+time.Second {
				t.Errorf("took %v", took)
			}
			s.listener.mu.Lock()
			open := s.listener.open
			s.listener.mu.Unlock()
			if wait > lingerTime && open != 0 {
				t.Errorf("%d descriptors are open", open)
			}
		})
	}
}
