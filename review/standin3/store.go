package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	busy     bool // down: all calls get 503, and nothing can be written
	era      int  // how often it has come back from an older copy
}

// storeCopy is an older copy of the store's content.
type storeCopy struct {
	revision uint64
	items    map[string]storeItem
	events   []storeItem
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	go func() { _ = http.Serve(l, s.answerTime(mux)) }()
}

// storeLatency is the time of an answer, as on the deployments' sheets.
const storeLatency = 4 * time.Millisecond

func (s *store) answerTime(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		busy, era := s.busy, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, items: maps.Clone(s.items), events: slices.Clone(s.events)}
}

// restore brings the store back with an older copy, in the next era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.events = c.revision, c.items, c.events
	s.era++
	s.busy = false
}

// put writes an item, unless the store is down.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return
	}
	s.revision++
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(b), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) add(it storeItem) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, it)
}

const listPage = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []storeItem{}, false
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(k, q.Get("prefix")) || k <= q.Get("after") {
			continue
		}
		if len(items) == listPage {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	answerJSON(w, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			answerJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
