package ingress

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
)

// Control gives exclusive access to the control state: Do runs a function on the goroutine that
// owns the state and returns when the function has returned.
type Control interface {
	Do(f func(s *control.State, now boottime.Instant))
}

// Server is the HTTP handler for callers.
type Server struct {
	control  Control
	dialect  HeaderCodec
	client   *exchange.Client
	meter    *Meter
	idle     idleConns
	stopping atomic.Bool
}

// New returns a server that sends requests to endpoints with the client x.
func New(c Control, d HeaderCodec, x *exchange.Client, m *Meter) *Server {
	return &Server{control: c, dialect: d, client: x, meter: m}
}

// TrackConn must be set as the ConnState hook of the http.Server that runs this server.
func (s *Server) TrackConn(c net.Conn, st http.ConnState) { s.idle.track(c, st) }

// CloseIdle closes the callers' connections that have been idle for longer than the published
// idle timeout.
func (s *Server) CloseIdle() {
	var limit time.Duration
	s.control.Do(func(st *control.State, _ boottime.Instant) { limit = st.Limits().IdleTimeout })
	if limit > 0 {
		s.idle.closeOlder(limit)
	}
}

// DisableKeepAlives makes the server send "Connection: close" with every response from now on.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// ServeReady serves the load balancer's readiness check.
func (s *Server) ServeReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	s.control.Do(func(st *control.State, now boottime.Instant) { ready = st.Ready(now) })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{s: s, w: w, r: r, arrivedAt: time.Now()}
	c.serve()
}
