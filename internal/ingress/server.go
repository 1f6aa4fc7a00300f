package ingress

import (
	"context"
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
	// their values. A panic of f is passed on.
	Do(f func(s *control.State, now boottime.Instant))
}

// Server is the HTTP handler for callers.
type Server struct {
	control    Control
	codec      HeaderCodec
	client     *exchange.Client
	meter      *Meter
	memory     *memory
	callers    *callers
	inProgress atomic.Int64  // requests
	ending     atomic.Uint32 // EndCause of requests that are still in progress, 0 while the process goes on

	stopped      context.Context // done once a planned stop ends the requests in progress
	stopRequests context.CancelFunc
}

// New returns a server that sends requests to endpoints with the given client.
func New(c Control, codec HeaderCodec, client *exchange.Client, meter *Meter) *Server {
	s := &Server{control: c, codec: codec, client: client, meter: meter, memory: newMemory()}
	s.stopped, s.stopRequests = context.WithCancel(context.Background())
	s.callers = newCallers(s)
	return s
}

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
	c := &call{s: s, w: &answerWriter{ResponseWriter: w, r: r, callers: s.callers}, r: r, arrivedAt: time.Now()}
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	defer c.recoverPanic()
	c.serve()
	c.finishAnswer()
}
