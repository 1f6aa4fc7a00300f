// Package service is a stand-in for a plain HTTP service. It counts how often it
// ran each request and each booking, and can be made to fail before or after a run.
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
	Capacity int // calls at once beyond which it refuses; 0: no limit
	Delay    time.Duration
}

// Runs counts the runs of a replica over all its restarts.
type Runs struct {
	Total     int            `json:"total"`
	ByRequest map[string]int `json:"by_request"` // by X-Request-Id
	ByBooking map[string]int `json:"by_booking"` // by the caller's X-Booking
}

// Faults are injected failures.
type Faults struct {
	BreakBefore int  `json:"break_before"` // calls that lose their connection without running
	BreakAfter  int  `json:"break_after"`  // calls that run and lose their connection
	Restart     bool `json:"restart"`      // break all calls in progress and begin a new incarnation
}

// Service is a stand-in for one replica of a plain service.
type Service struct {
	*standin.Server
	cfg Config

	mu          sync.Mutex
	incarnation uint64
	running     int
	runs        Runs
	faults      Faults
	restarted   chan struct{} // closed at a restart
}

// Response is the body of every call's answer.
type Response struct {
	Booking string `json:"booking"`
	Path    string `json:"path"`
	Run     int    `json:"run"` // of this booking, from 1
}

// Start runs a service replica on addr.
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
	c, ok := s.begin(r)
	if !ok {
		standin.RejectNotRun(w)
		return
	}
	defer s.end()
	select {
	case <-time.After(s.cfg.Delay):
	case <-c.restarted:
		c.broken = true
	}
	if c.broken {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Incarnation", strconv.FormatUint(c.incarnation, 10))
	standin.WriteJSON(w, Response{Booking: r.Header.Get("X-Booking"), Path: r.URL.Path, Run: c.run})
}

// call is one run in progress.
type call struct {
	run         int
	broken      bool // its connection must break
	restarted   <-chan struct{}
	incarnation uint64
}

// begin counts a run unless the call is refused. It panics when the connection must break before the run.
func (s *Service) begin(r *http.Request) (call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.BreakBefore > 0 {
		s.faults.BreakBefore--
		panic(http.ErrAbortHandler)
	}
	if s.cfg.Capacity > 0 && s.running >= s.cfg.Capacity {
		return call{}, false
	}
	booking := r.Header.Get("X-Booking")
	s.running++
	s.runs.Total++
	s.runs.ByRequest[r.Header.Get("X-Request-Id")]++
	s.runs.ByBooking[booking]++
	c := call{s.runs.ByBooking[booking], s.faults.BreakAfter > 0, s.restarted, s.incarnation}
	s.faults.BreakAfter -= min(s.faults.BreakAfter, 1)
	return c, true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
