package callers

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/resume"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// Runner carries out dispatches.
type Runner interface {
	Run(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink, started func(core.AttemptStarted)) core.Event
	CancelStream(ctx context.Context, addr, stream string) error
}

// Server serves callers. Its methods that carry out actions of the core never block.
type Server struct {
	cfg       Config
	post      func(core.Event)
	runner    Runner
	tokens    *resume.Codec
	exchanges *table
	bodies    bytebudget.Budget // of all request bodies
	ready     atomic.Bool
	closed    chan struct{}
	http      *http.Server
}

// New returns a server that hands its events to post, which may block.
func New(cfg Config, post func(core.Event), runner Runner, tokens *resume.Codec) *Server {
	s := &Server{
		cfg:       cfg,
		post:      post,
		runner:    runner,
		tokens:    tokens,
		exchanges: newTable(cfg.MaxRequests),
		bodies:    bytebudget.Budget{Limit: cfg.MaxTotalBodyBytes},
		closed:    make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
	}
	return s
}

// Handler returns the routes of the callers' listener.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", s.receive(s.chat))
	r.Post("/v1/tickets", s.receive(s.issueTickets))
	service := s.receive(s.service)
	r.HandleFunc("/services/{service}", service)
	r.HandleFunc("/services/{service}/*", service)
	r.Get("/healthz", s.Healthz)
	r.Get("/readyz", s.Readyz)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, "", &formError{ReasonNotFound, "there is no such path"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, "", &formError{ReasonMethodNotAllowed, "the path does not take this method"})
	})
	return r
}

// Serve accepts callers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(newLimitListener(l, s.cfg.MaxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "callers: serve")
}

// Shutdown stops accepting, waits for the requests in progress and closes. When ctx
// ends first, the requests left are answered as not known to have run.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	close(s.closed)
	if err != nil {
		return errors.Wrap(s.http.Close(), "callers: close")
	}
	return nil
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return s.exchanges.len() }

// BodyBytes returns the memory reserved for request bodies.
func (s *Server) BodyBytes() int64 { return s.bodies.Reserved() }

// SetReady tells the balancer whether this process takes callers.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Healthz answers that the process lives.
func (s *Server) Healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// Readyz answers whether the process takes callers.
func (s *Server) Readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		refuse(w, "", &formError{core.ReasonNotReady, "this router takes no callers now"})
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
