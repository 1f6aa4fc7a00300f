package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/dandelionvane/dandelionvane/internal/standin"
)

func (e *Engine) handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.serveChat)
	r.Get("/v1/streams/{id}", e.serveResume)
	r.Delete("/v1/streams/{id}", e.locked(e.serveCancel))
	r.Get("/v1/load", e.locked(e.serveLoad))
	r.Get("/v1/cache/events", e.locked(e.serveCacheEvents))
	r.Post("/v1/orders", e.serveOrder)
	standin.HandleControl(r, e.Inject, e.Stats)
	return r
}

// locked serves a call that does not wait.
func (e *Engine) locked(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		serve(w, r)
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.open(r.Header, req)
	if s == nil {
		standin.RejectNotRun(w)
		return
	}
	e.follow(w, r, s, 0)
}

// open admits a request, or finds the stream that an earlier copy of it began.
func (e *Engine) open(h http.Header, req Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := h.Get("X-Request-Id")
	if s := e.streams[id]; s != nil {
		s.readers++
		return s
	}
	prompt := flatten(req.Messages)
	s := &stream{
		id: id, prompt: prompt, seed: xxhash.Sum64String(prompt), total: req.tokens(),
		readers: 1, changed: make(chan struct{}),
	}
	s.priority, _ = strconv.Atoi(h.Get("X-Priority"))
	otherModel := e.cfg.Model != "" && req.Model != string(e.cfg.Model)
	if e.faults.Refuse > 0 || otherModel || !e.admit(s, time.Now()) {
		e.faults.Refuse -= min(e.faults.Refuse, 1)
		e.stats.Refused++
		return nil
	}
	return s
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[chi.URLParam(r, "id")]
	if s != nil {
		s.readers++
		e.stats.Resumed++
	}
	e.mu.Unlock()
	if s == nil {
		http.NotFound(w, r)
		return
	}
	e.follow(w, r, s, int(standin.QueryUint(r, "offset")))
}

// follow sends the events of a stream after offset and ends one of its readers.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	defer e.leave(s)
	breakAt := e.begin(w, offset)
	out := http.NewResponseController(w)
	_ = out.Flush()
	for {
		e.mu.Lock()
		produced, ended, whole, changed := s.produced, s.ended, s.whole, s.changed
		e.mu.Unlock()
		for ; offset < produced && offset != breakAt; offset++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset+1, s.chunk(offset+1))
			_ = out.Flush()
		}
		if offset == breakAt || ended && !whole {
			panic(http.ErrAbortHandler)
		}
		if ended {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// begin sets the headers of a stream and returns at which offset the connection must break, or -1.
func (e *Engine) begin(w http.ResponseWriter, offset int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Incarnation", strconv.FormatUint(e.stats.Incarnation, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	if e.faults.Breaks == 0 {
		return -1
	}
	e.faults.Breaks--
	return offset + e.faults.BreakAfter
}

func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.idle = time.Now()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.streams[chi.URLParam(r, "id")]
	if s == nil {
		http.NotFound(w, r)
		return
	}
	e.cancel(s)
	e.dropEnded(time.Now())
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, e.report(time.Now()))
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	standin.WriteJSON(w, struct {
		Events []CacheEvent `json:"events"`
	}{e.cache.eventsAfter(standin.QueryUint(r, "after"), time.Now().Add(-e.cfg.CacheEventDelay))})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.stats.Orders); e.cfg.ChecksFence && n > 0 && o.Fence < e.stats.Orders[n-1].Fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.stats.Orders = append(e.stats.Orders, o)
}
