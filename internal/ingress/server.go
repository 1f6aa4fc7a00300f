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

// Control runs a function on the goroutine that owns the control state and returns
// when it has run.
type Control interface {
	Do(f func(s *control.State, now boottime.Instant))
}

// Server answers callers.
type Server struct {
	control  Control
	dialect  Dialect
	client   *exchange.Client
	meter    *Meter
	idle     idleConns
	stopping atomic.Bool
}

// New returns a server.
func New(c Control, d Dialect, x *exchange.Client, m *Meter) *Server {
	return &Server{control: c, dialect: d, client: x, meter: m}
}

// TrackConn must be the ConnState of the http.Server that runs this server.
func (s *Server) TrackConn(c net.Conn, st http.ConnState) { s.idle.track(c, st) }

// CloseIdle closes the connections of callers that have waited for their next request for
// longer than the published limit.
func (s *Server) CloseIdle() {
	var limit time.Duration
	s.control.Do(func(st *control.State, _ boottime.Instant) { limit = st.Limits().IdleTimeout })
	if limit > 0 {
		s.idle.closeOlder(limit)
	}
}

// Stop makes the server ask callers to leave their connections.
func (s *Server) Stop() { s.stopping.Store(true) }

// ServeReady answers the balancer's question whether the process takes callers.
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
