package ingress

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// slowControl is a Control whose event loop is busy for a while before each access.
type slowControl struct {
	Control
	busy time.Duration
}

// Do implements Control.
func (c slowControl) Do(f func(*control.State, boottime.Instant)) {
	time.Sleep(c.busy)
	c.Control.Do(f)
}

// heldUpListener accepts connections of a process that is held up for a while before it removes a read deadline.
type heldUpListener struct {
	net.Listener
	pause time.Duration
}

// Accept implements net.Listener.
func (l heldUpListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return heldUpConn{c, l.pause}, err
}

type heldUpConn struct {
	net.Conn
	pause time.Duration
}

// SetReadDeadline implements net.Conn.
func (c heldUpConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		time.Sleep(c.pause)
	}
	return c.Conn.SetReadDeadline(t)
}

// TestReadDeadlineOfTheBodyIsNotTheCallersLeaving guards against closing the connection without an answer because the
// deadline for the body has ended net/http's next read of the connection.
func TestReadDeadlineOfTheBodyIsNotTheCallersLeaving(t *testing.T) {
	for name, body := range map[string]string{"without a body": "", "with a body": "body"} {
		for _, route := range []string{"non-idempotent", "idempotent", "stream", "resumable"} {
			t.Run(name+", "+route, func(t *testing.T) {
				ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
				ts.server.control = slowControl{ts.control, 30 * time.Millisecond}
				srv := httptest.NewUnstartedServer(ts.server)
				srv.Listener = heldUpListener{srv.Listener, 50 * time.Millisecond}
				srv.Start()
				defer srv.Close()
				ts.url = srv.URL
				if g := ts.send("POST", route, body, "X-Wait-Ms", "20"); g.err != nil || g.status != http.StatusGatewayTimeout {
					t.Errorf("status %d, %v, want 504", g.status, g.err)
				}
				if n := ts.arrivals(); n != 0 {
					t.Errorf("%d endpoints were reached after the deadline", n)
				}
			})
		}
	}
}
