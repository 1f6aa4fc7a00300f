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

// Runner runs dispatched attempts against endpoints.
type Runner interface {
	Run(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink, started func(core.AttemptStarted)) core.Event
	CancelStream(ctx context.Context, addr, stream string) error
}

// Server serves callers. Its methods that execute actions of the core never block.
type Server struct {
	cfg          Config
	post         func(core.Event)
	runner       Runner
	resumeTokens *resume.Codec
	exchanges    *exchangeTable
	bodyBudget   bytebudget.Budget // memory of all request bodies
	ready        atomic.Bool
	closed       chan struct{}
	http         *http.Server
}

// New returns a server that passes its events to post, which may block.
func New(cfg Config, post func(core.Event), runner Runner, resumeTokens *resume.Codec) *Server {
	s := &Server{
		cfg:          cfg,
		post:         post,
		runner:       runner,
		resumeTokens: resumeTokens,
		exchanges:    newExchangeTable(cfg.MaxRequests),
		bodyBudget:   bytebudget.Budget{Limit: cfg.MaxTotalBodyBytes},
		closed:       make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		ReadTimeout:       cfg.HeaderTimeout + cfg.BodyTimeout, // before a body that no handler reads; readBody sets its own
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
	}
	return s
}

// Handler returns the handler of the listener for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", s.receive(s.handleChat))
	r.Post("/v1/tickets", s.receive(s.handleTickets))
	service := s.receive(s.handleService)
	r.HandleFunc("/services/{service}", service)
	r.HandleFunc("/services/{service}/*", service)
	r.Get("/healthz", s.Healthz)
	r.Get("/readyz", s.Readyz)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		reject(w, "", &requestError{ReasonNotFound, "there is no such path"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		reject(w, "", &requestError{ReasonMethodNotAllowed, "the path does not take this method"})
	})
	return r
}

// Serve accepts connections of callers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(newLimitListener(l, s.cfg.MaxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "callers: serve")
}

// Shutdown stops accepting connections and waits for the requests in progress. If ctx ends
// first, the remaining requests end with the outcome core.Unknown and their connections are
// closed, so their callers may not receive that outcome.
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
func (s *Server) BodyBytes() int64 { return s.bodyBudget.Reserved() }

// SetReady sets whether the readiness check succeeds.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Healthz serves the liveness check.
func (s *Server) Healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// Readyz serves the readiness check, by which the load balancer decides whether to send callers to this process.
func (s *Server) Readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		reject(w, "", &requestError{core.ReasonNotReady, "this router takes no callers now"})
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
