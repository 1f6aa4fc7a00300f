package ingress

import (
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
	stopping atomic.Bool
}

// New returns a server.
func New(c Control, d Dialect, x *exchange.Client, m *Meter) *Server {
	return &Server{control: c, dialect: d, client: x, meter: m}
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
	c := &call{s: s, w: w, r: r, arrived: time.Now()}
	c.serve()
}
