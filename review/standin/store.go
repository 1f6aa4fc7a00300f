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

// pageItems is the most items in one page of a range.
const pageItems = 500

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	expires time.Time // end of the lease; zero: none
}

// store is the platform's metadata store, as far as the system reads it.
type store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	era      uint64
	revision uint64
	items    map[string]item
	events   []item
	down     bool
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, era: 1, revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes a value, with a lease if ttl is set. It returns false if the store is down.
func (s *store) put(key string, value any, ttl time.Duration) bool {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(text), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	if ttl > 0 {
		it.Lease, it.expires = 1, time.Now().Add(ttl)
	}
	s.items[key] = it
	s.note(it)
	return true
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the items whose lease has run out.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for key, it := range s.items {
			if !s.down && !it.expires.IsZero() && time.Now().After(it.expires) {
				s.removeLocked(key)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// backup is a copy of the store's content.
type backup struct {
	revision uint64
	items    map[string]item
	events   []item
}

func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{s.revision, maps.Clone(s.items), slices.Clone(s.events)}
}

// restore brings the store back from a copy. Leases begin anew.
func (s *store) restore(b backup, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.events = b.revision, maps.Clone(b.items), slices.Clone(b.events)
	for key, it := range s.items {
		if !it.expires.IsZero() {
			it.expires = time.Now().Add(ttl)
			s.items[key] = it
		}
	}
	s.down = false
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/kv-key":
		s.serveKey(w, r)
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		Current uint64 `json:"current_rev"`
	}{it, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

// serveWatch must be called with mu held, which it gives up while it waits.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		if after > s.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || waitMs == 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waitMs = 0
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
