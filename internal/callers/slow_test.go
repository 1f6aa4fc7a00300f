package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/resume"
)

// pipeListener accepts net.Pipe connections, whose deadlines follow the virtual time of synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// TestSlowSenders stops sending in the middle of a request. The server must close the connection or respond after
// the header or body timeout.
func TestSlowSenders(t *testing.T) {
	cfg := DefaultConfig()
	for name, tc := range map[string]struct {
		sent   string
		after  time.Duration
		status int // 0: closed without a response
	}{
		"nothing":               {"", cfg.HeaderTimeout, 0},
		"headers":               {"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuth", cfg.HeaderTimeout, http.StatusBadRequest},
		"body":                  {"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer k\r\nContent-Length: 9\r\n\r\n{", cfg.BodyTimeout, http.StatusRequestTimeout},
		"body that is not read": {"POST /none HTTP/1.1\r\nHost: r\r\nContent-Length: 9\r\n\r\n{", cfg.HeaderTimeout + cfg.BodyTimeout, http.StatusNotFound},
		"much head":             {"GET / HTTP/1.1\r\nHost: r\r\nX: " + strings.Repeat("x", 2*cfg.MaxHeaderBytes), 0, http.StatusRequestHeaderFieldsTooLarge},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := New(cfg, func(core.Event) { t.Errorf("%s: an event", name) }, nil, resume.NewCodec(nil))
			l := newPipeListener()
			go func() { _ = s.Serve(l) }()
			c := l.dial()
			go func() { _, _ = io.WriteString(c, tc.sent) }()
			start := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			took := time.Since(start)
			status := 0
			if err == nil {
				status = resp.StatusCode
			}
			if took != tc.after || status != tc.status {
				t.Errorf("%s: status %d after %v, want %d after %v", name, status, took, tc.status, tc.after)
			}
			c.Close()
			_ = s.Shutdown(t.Context())
		})
	}
}

// TestConnectionsAreBounded opens more connections than the limit. One beyond it must not be accepted until another
// one is closed.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		limited := newLimitListener(l, 2)
		accepted := make(chan net.Conn, 4)
		go func() {
			for {
				c, err := limited.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}()
		for range 4 {
			go func() {
				client, server := net.Pipe()
				defer client.Close()
				select {
				case l.conns <- server:
				case <-l.done:
				}
			}()
		}
		synctest.Wait()
		if len(accepted) != 2 {
			t.Fatalf("%d connections accepted", len(accepted))
		}
		first := <-accepted
		first.Close()
		first.Close() // must not release its slot a second time
		synctest.Wait()
		if len(accepted) != 2 {
			t.Fatalf("%d connections accepted after one of two ended", len(accepted))
		}
		_ = limited.Close()
	})
}

// TestStalledReader sends a request and does not read the response. CallerGone must be posted after the write
// timeout, so that the request does not stay open indefinitely.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &harness{events: make(chan core.Event, 64)}
		gone := make(chan time.Time, 1)
		r.Server = New(DefaultConfig(), func(ev core.Event) { r.events <- ev }, r, resume.NewCodec(nil))
		r.dispatchOnce(core.Dispatch{Attempt: 1})
		simulateCore := r.onEvent
		go func() {
			for ev := range r.events {
				if _, ok := ev.(core.CallerGone); ok {
					gone <- time.Now()
				}
				simulateCore(ev)
			}
		}()
		r.onRun = sendEvents(50, 50)
		l := newPipeListener()
		go func() { _ = r.Serve(l) }()
		c := l.dial()
		start := time.Now()
		_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer k\r\nContent-Length: 74\r\n\r\n"+streamBody)
		if took := (<-gone).Sub(start); took != r.cfg.WriteTimeout {
			t.Errorf("CallerGone was posted after %v", took)
		}
		c.Close()
		_ = r.Shutdown(t.Context())
		close(r.events)
	})
}

// TestStalledReaderOfRefusal does not read the response to a rejected request. The connection must be closed after
// the write timeout.
func TestStalledReaderOfRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(DefaultConfig(), func(core.Event) {}, nil, resume.NewCodec(nil))
		l := newPipeListener()
		go func() { _ = s.Serve(l) }()
		c := l.dial()
		_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(s.cfg.WriteTimeout + time.Second)
		if b, err := io.ReadAll(c); len(b) > 0 || err != nil {
			t.Errorf("read %d bytes, %v", len(b), err)
		}
		_ = s.Shutdown(t.Context())
	})
}
