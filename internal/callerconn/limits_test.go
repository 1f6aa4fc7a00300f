package callerconn

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// expectStatus reads one answer and checks its status. Its body must be complete.
func (c *client) expectStatus(t testing.TB, want int) {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatalf("no answer: %v, want %d", err, want)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != want {
		t.Errorf("status %d, error %v, want %d", resp.StatusCode, err, want)
	}
}

// awaitClosed waits until n connections have been closed for a reason.
func (s *testServer) awaitClosed(why Reason, n int) {
	s.t.Helper()
	got := 0
	for end := time.Now().Add(5 * time.Second); got < n; time.Sleep(time.Millisecond) {
		if got += s.listener.Closed(why); time.Now().After(end) {
			s.t.Fatalf("%d connections counted as %v, want %d", got, why, n)
		}
	}
	if got > n {
		s.t.Errorf("%d connections counted as %v, want %d", got, why, n)
	}
}

// TestHeadOverTheLimit guards against a head over the published limit that is held in memory, and against an answer that is lost
// because the connection is reset while the caller still sends.
func TestHeadOverTheLimit(t *testing.T) {
	const limit = 1000
	more := limit + headSlack + 8<<10
	for name, head := range map[string]string{
		"one long field":    "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", more),
		"many small fields": "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", more/4),
		"long request line": "GET /" + strings.Repeat("x", more),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, answerOK)
			s.listener.SetLimits(Limits{HeadBytes: limit})
			for _, before := range []string{"", request} {
				c := s.dial()
				if before != "" {
					c.send(t, before)
					c.expectAnswer(t)
				}
				c.send(t, head)
				c.expectStatus(t, http.StatusRequestHeaderFieldsTooLarge)
				c.expectClosed(t)
			}
			s.awaitClosed(HeadTooLarge, 2)
		})
	}
}

// TestHeadWithinTheLimits guards against limits that a caller inside them meets: the whole head may be as long as the limit, and its
// time begins with its first byte, however long the connection was idle before.
func TestHeadWithinTheLimits(t *testing.T) {
	const limit, timeout = 2000, 300 * time.Millisecond
	s := startServer(t, answerOK)
	s.listener.SetLimits(Limits{HeadBytes: limit, HeadTimeout: timeout})
	c := s.dial()
	head := strings.TrimSuffix(request, "\r\n") + "X: "
	head += strings.Repeat("x", limit-len(head)-4) + "\r\n\r\n"
	for range 3 {
		time.Sleep(timeout * 3 / 2)
		for _, part := range []string{head[:1], head[1:2], head[2:7], head[7 : limit-1], head[limit-1:]} {
			c.send(t, part)
			time.Sleep(timeout / 10)
		}
		c.expectAnswer(t)
	}
}

// TestLateHead guards against a caller that keeps a connection with a head that never ends, also if it sends a byte now and then.
func TestLateHead(t *testing.T) {
	const timeout = 200 * time.Millisecond
	s := startServer(t, answerOK)
	s.listener.SetLimits(Limits{HeadTimeout: timeout})
	for _, begin := range []string{"G", "GET / HTTP/1.1\r\nHost: h\r\n"} {
		for _, before := range []string{"", request} {
			c := s.dial()
			if before != "" {
				c.send(t, before)
				c.expectAnswer(t)
			}
			c.send(t, begin)
			began := time.Now()
			time.Sleep(timeout / 2)
			if begin != "G" {
				c.send(t, "a")
			}
			c.expectStatus(t, http.StatusRequestTimeout)
			if took := time.Since(began); took < timeout-10*time.Millisecond {
				t.Errorf("refused after %v, before %v", took, timeout)
			}
			c.expectClosed(t)
		}
	}
	s.awaitClosed(HeadLate, 4)
}

// TestPublishedLimitsApplyAtOnce guards against limits that hold only for new connections.
func TestPublishedLimitsApplyAtOnce(t *testing.T) {
	s := startServer(t, answerOK)
	c := s.dial()
	c.send(t, request)
	c.expectAnswer(t)
	long := strings.TrimSuffix(request, "\r\n") + "X: " + strings.Repeat("x", 16<<10) + "\r\n\r\n"
	c.send(t, long)
	c.expectAnswer(t)
	s.listener.SetLimits(Limits{HeadBytes: 1000})
	c.send(t, long)
	c.expectStatus(t, http.StatusRequestHeaderFieldsTooLarge)
}

// TestMalformedHead guards against an answer that is lost because bytes behind the malformed head were not read, and against
// rejections of net/http that are not counted.
func TestMalformedHead(t *testing.T) {
	s := startServer(t, answerOK)
	for _, head := range []string{"\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nno field\r\n\r\n"} {
		c := s.dial()
		c.send(t, head+strings.Repeat("x", 32<<10))
		c.expectStatus(t, http.StatusBadRequest)
		c.expectClosed(t)
	}
	s.awaitClosed(HeadMalformed, 4)
}

// TestUnusedConnection checks the time for the first byte on a new connection, which the header timeout does not shorten.
func TestUnusedConnection(t *testing.T) {
	l := NewListener(nil)
	l.SetLimits(Limits{HeadTimeout: time.Second})
	accepted := time.Unix(1000, 0)
	c := &Conn{listener: l, accepted: accepted, incoming: incoming{head: true}}
	for after, want := range map[time.Duration]Reason{2 * time.Second: 0, unusedTimeout - 1: 0, unusedTimeout: Unused} {
		if got := c.lateness(accepted.Add(after)); got != want {
			t.Errorf("%v after %v, want %v", got, after, want)
		}
	}
}

// TestFirstByteDuringARequest guards against a head without a time limit, or a connection that is closed as idle, because the first
// byte of a request was read while the one before it ran.
func TestFirstByteDuringARequest(t *testing.T) {
	const timeout = 200 * time.Millisecond
	started, release := make(chan struct{}, 1), make(chan struct{}, 1)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		answerOK(w, r)
	})
	s.listener.SetLimits(Limits{HeadTimeout: timeout})
	c := s.dial()
	c.send(t, request)
	<-started
	c.send(t, request[:1])
	time.Sleep(timeout * 3 / 2) // the time of the second head begins when the server waits for it
	release <- struct{}{}
	c.expectAnswer(t)
	c.send(t, request[1:])
	<-started
	c.send(t, request[:1])
	time.Sleep(timeout / 10)
	release <- struct{}{}
	c.expectAnswer(t)
	c.expectStatus(t, http.StatusRequestTimeout)
	s.awaitClosed(HeadLate, 1)
}

// TestUnreadBodyIsNoHead guards against a kept connection that is refused because the rest of a body, which no handler has read, was
// taken for the beginning of a head.
func TestUnreadBodyIsNoHead(t *testing.T) {
	const timeout = 50 * time.Millisecond
	s := startServer(t, answerOK)
	s.listener.SetLimits(Limits{HeadTimeout: timeout})
	c := s.dial()
	for range 3 {
		c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 20000))
		c.expectAnswer(t)
		time.Sleep(3 * timeout)
	}
}

// TestLinesOfABodyAreNotFields guards against a body with many lines that is refused, as if its lines were fields of the head, when it
// arrives together with the head.
func TestLinesOfABodyAreNotFields(t *testing.T) {
	const lines = 2000
	s := startBudgeted(t, 0, &Budget{Bytes: 64 << 10}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answerOK(w, r)
	})
	c := s.dial()
	c.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(lines)+"\r\n\r\n"+strings.Repeat("\n", lines))
	c.expectAnswer(t)
}
