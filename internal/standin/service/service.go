// Package service is a stand-in for a replica of a plain HTTP service. It counts the executions of
// each request and each booking, and can close the connection before or after an execution. An
// execution is called a run in identifiers and on the wire.
package service

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dandelionvane/dandelionvane/internal/standin"
)

// Config describes a service replica.
type Config struct {
	ID       string
	Capacity int           // concurrent requests; more are refused; 0: no limit
	Delay    time.Duration // of each execution
}

// Runs counts the executions by a replica, also across injected restarts.
type Runs struct {
	Total     int            `json:"total"`
	ByRequest map[string]int `json:"by_request"` // by X-Request-Id
	ByBooking map[string]int `json:"by_booking"` // by X-Booking, which the caller sets
}

// Faults are the injected faults.
type Faults struct {
	BreakBefore int  `json:"break_before"` // number of requests whose connection is closed before they are executed
	BreakAfter  int  `json:"break_after"`  // number of requests whose connection is closed after they were executed
	Restart     bool `json:"restart"`      // close the connections of all requests in progress and start a new incarnation
}

// Service is a stand-in for one replica of a plain HTTP service.
type Service struct {
	*standin.Server
	cfg Config

	mu          sync.Mutex
	incarnation uint64
	running     int
	runs        Runs
	faults      Faults
	restarted   chan struct{} // closed and replaced on each restart
}

// Response is the response body of an executed request.
type Response struct {
	Booking string `json:"booking"`
	Path    string `json:"path"`
	Run     int    `json:"run"` // number of the execution of this booking, from 1
}

// Start starts a service replica on addr.
func Start(addr string, cfg Config) (*Service, error) {
	s := &Service{
		cfg: cfg, incarnation: standin.NextIncarnation(0), restarted: make(chan struct{}),
		runs: Runs{ByRequest: map[string]int{}, ByBooking: map[string]int{}},
	}
	srv, err := standin.Listen(addr, s.handler())
	s.Server = srv
	return s, err
}

// Runs returns a copy of the counts.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{s.runs.Total, maps.Clone(s.runs.ByRequest), maps.Clone(s.runs.ByBooking)}
}

// Inject replaces the injected faults.
func (s *Service) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Restart {
		close(s.restarted)
		s.restarted = make(chan struct{})
		s.incarnation = standin.NextIncarnation(s.incarnation)
	}
}

func (s *Service) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/load", s.serveLoad)
	// /control/runs serves the same value as /control/stats.
	r.Get("/control/runs", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, s.Runs()) })
	standin.HandleControl(r, s.Inject, s.Runs)
	r.NotFound(s.serveCall)
	return r
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, standin.LoadReport{Incarnation: s.incarnation, Running: s.running, Capacity: s.cfg.Capacity})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	run, ok := s.beginRun(r)
	if !ok {
		standin.RejectNotRun(w)
		return
	}
	defer s.endRun()
	select {
	case <-time.After(s.cfg.Delay):
	case <-run.restarted:
		run.breakConnection = true
	}
	if run.breakConnection {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Incarnation", strconv.FormatUint(run.incarnation, 10))
	standin.WriteJSON(w, Response{Booking: r.Header.Get("X-Booking"), Path: r.URL.Path, Run: run.number})
}

// activeRun is an execution in progress.
type activeRun struct {
	number          int
	breakConnection bool // close the connection instead of responding
	restarted       <-chan struct{}
	incarnation     uint64
}

// beginRun counts and begins an execution, or returns false if the replica is at its capacity. It panics
// with http.ErrAbortHandler if an injected fault closes the connection before the execution.
func (s *Service) beginRun(r *http.Request) (activeRun, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.BreakBefore > 0 {
		s.faults.BreakBefore--
		panic(http.ErrAbortHandler)
	}
	if s.cfg.Capacity > 0 && s.running >= s.cfg.Capacity {
		return activeRun{}, false
	}
	booking := r.Header.Get("X-Booking")
	s.running++
	s.runs.Total++
	s.runs.ByRequest[r.Header.Get("X-Request-Id")]++
	s.runs.ByBooking[booking]++
	run := activeRun{s.runs.ByBooking[booking], s.faults.BreakAfter > 0, s.restarted, s.incarnation}
	s.faults.BreakAfter -= min(s.faults.BreakAfter, 1)
	return run, true
}

func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
