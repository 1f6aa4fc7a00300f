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

// Control gives exclusive access to the control state.
type Control interface {
	// Do runs f with exclusive access to the state and returns after f has returned. Once the
	// process has ended, it returns without running f, and variables that f would have set keep
	// their values.
	Do(f func(s *control.State, now boottime.Instant))
}

// Server is the HTTP handler for callers.
type Server struct {
	control            Control
	codec              HeaderCodec
	client             *exchange.Client
	meter              *Meter
	memory             *memory
	idle               idleConns
	keepAlivesDisabled atomic.Bool
}

// New returns a server that sends requests to endpoints with the given client.
func New(c Control, codec HeaderCodec, client *exchange.Client, meter *Meter) *Server {
	return &Server{control: c, codec: codec, client: client, meter: meter, memory: newMemory()}
}

// TrackConn records which connections are idle, for CloseIdle. It must be set as the ConnState
// hook of the http.Server that runs this server.
func (s *Server) TrackConn(c net.Conn, st http.ConnState) { s.idle.track(c, st) }

// CloseIdle closes the callers' connections that have been idle for longer than the published
// idle timeout plus idleMargin.
func (s *Server) CloseIdle() {
	var limit time.Duration
	s.control.Do(func(st *control.State, _ boottime.Instant) { limit = st.Limits().IdleTimeout })
	if limit > 0 {
		s.idle.closeOlder(limit)
	}
}

// DisableKeepAlives makes the server send "Connection: close" with the response to every request
// that arrives from now on.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

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
	if s.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{s: s, w: w, r: r, arrivedAt: time.Now()}
	c.serve()
}
