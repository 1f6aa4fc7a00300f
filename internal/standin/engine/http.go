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
	r.Delete("/v1/streams/{id}", e.withLock(e.serveCancel))
	r.Get("/v1/load", e.withLock(e.serveLoad))
	r.Get("/v1/cache/events", e.withLock(e.serveCacheEvents))
	r.Post("/v1/orders", e.serveOrder)
	standin.HandleControl(r, e.Inject, e.Stats)
	return r
}

// withLock returns a handler that holds e.mu while it calls serve, which must not block.
func (e *Engine) withLock(serve http.HandlerFunc) http.HandlerFunc {
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
	s := e.openStream(r.Header, req)
	if s == nil {
		standin.RejectNotRun(w)
		return
	}
	e.sendEvents(w, r, s, 0)
}

// openStream returns a new stream, or the existing one of a repeated request id, or nil if the request
// is refused.
func (e *Engine) openStream(h http.Header, req Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := h.Get("X-Request-Id")
	if s := e.streams[id]; s != nil {
		s.readers++
		return s
	}
	prompt := flatten(req.Messages)
	s := &stream{
		id: id, prompt: prompt, seed: xxhash.Sum64String(prompt), totalTokens: req.tokens(),
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
	e.sendEvents(w, r, s, int(standin.QueryUint(r, "offset")))
}

// sendEvents sends the events of a stream after offset until the stream ends or the reader is gone, and then
// removes the reader.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	defer e.removeReader(s)
	breakAt := e.beginResponse(w, offset)
	out := http.NewResponseController(w)
	_ = out.Flush()
	for {
		e.mu.Lock()
		produced, ended, complete, changed := s.producedTokens, s.ended, s.complete, s.changed
		e.mu.Unlock()
		for ; offset < produced && offset != breakAt; offset++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset+1, s.chunk(offset+1))
			_ = out.Flush()
		}
		if offset == breakAt || ended && !complete {
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

// beginResponse sets the response headers, and returns the offset at which the connection is to be closed by
// an injected fault, or -1.
func (e *Engine) beginResponse(w http.ResponseWriter, offset int) int {
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

func (e *Engine) removeReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.idleSince = time.Now()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.streams[chi.URLParam(r, "id")]
	if s == nil {
		http.NotFound(w, r)
		return
	}
	e.cancel(s)
	e.removeEnded(time.Now())
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, e.loadReport(time.Now()))
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
