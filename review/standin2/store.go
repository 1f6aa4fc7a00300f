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

// pageItems and pageBytes bound a page of a list; a page has at least one item.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// item is the present content of a key.
type item struct {
	Value    []byte
	Revision uint64
	Created  uint64
}

// write is a write or, if Deleted, a deletion.
type write struct {
	Key string
	item
	Deleted bool
	At      time.Time
}

// store is a stand-in for the platform's metadata store. It keeps history for a time.
type store struct {
	addr    string
	history time.Duration

	mu       sync.Mutex
	revision uint64
	gone     uint64 // writes up to this revision are no longer in the history
	items    map[string]item
	writes   []write
	changed  chan struct{}
}

// startStore starts a store on an address whose last revision is the given one.
func startStore(ip string, revision uint64) (*store, error) {
	s := &store{history: 20 * time.Second, revision: revision, gone: revision, items: map[string]item{}, changed: make(chan struct{})}
	addr, err := serveStore(ip, s)
	s.addr = addr
	return s, err
}

// serveStore serves a store on an address.
func serveStore(ip string, h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	switch r.Method + " " + r.URL.Path {
	case "GET /-/kv-key":
		s.serveKey(w, r)
	case "GET /-/kv-range":
		s.serveRange(w, r)
	case "GET /-/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// put writes a key and returns its revision.
func (s *store) put(key string, value []byte) uint64 { return s.write(key, value, false) }

// remove deletes a key.
func (s *store) remove(key string) { s.write(key, nil, true) }

func (s *store) write(key string, value []byte, deleted bool) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.items[key]
	if deleted && !known {
		return s.revision
	}
	s.revision++
	it := item{Value: value, Revision: s.revision, Created: s.revision}
	if known {
		it.Created = old.Created
	}
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.writes = append(s.writes, write{Key: key, item: it, Deleted: deleted, At: time.Now()})
	for len(s.writes) > 0 && time.Since(s.writes[0].At) > s.history {
		s.gone = s.writes[0].Revision
		s.writes = s.writes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

type wireItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func encodeItem(key string, it item) wireItem {
	return wireItem{Key: key, Value: base64.StdEncoding.EncodeToString(it.Value), Revision: it.Revision, Created: it.Created}
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.URL.Query().Get("key")
	it, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, map[string]any{"item": encodeItem(key, it), "current_rev": s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page, size, more := []wireItem{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		it := s.items[key]
		if len(page) > 0 && (len(page) == pageItems || size+len(it.Value) > pageBytes) {
			more = true
			break
		}
		page, size = append(page, encodeItem(key, it)), size+len(it.Value)
	}
	respond(w, map[string]any{"items": page, "has_more": more, "current_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		done, changed := s.watch(w, q.Get("prefix"), after, wait <= 0)
		if done {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// watch responds if there are changes, or if last is set, and reports whether it has responded.
func (s *store) watch(w http.ResponseWriter, prefix string, after uint64, last bool) (bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.gone || after > s.revision {
		w.WriteHeader(http.StatusGone)
		return true, nil
	}
	events := []wireItem{}
	for _, e := range s.writes {
		if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if e.Deleted {
			events = append(events, wireItem{Key: e.Key, Revision: e.Revision, Deleted: true})
			continue
		}
		events = append(events, encodeItem(e.Key, e.item))
	}
	if len(events) == 0 && !last {
		return false, s.changed
	}
	respond(w, map[string]any{"events": events, "current_rev": s.revision})
	return true, nil
}
