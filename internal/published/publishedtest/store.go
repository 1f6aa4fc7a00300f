package publishedtest

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// pageItems is how many items one answer to a list holds.
const pageItems = 3

// Store is a stand-in for the platform's store: an http.Handler with faults.
type Store struct {
	mu       sync.Mutex
	revision fleet.Revision
	items    map[string]published.Item
	log      []published.Item
	horizon  fleet.Revision
	status   int
	calls    int
	between  func() // runs before each further page of a list
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{revision: 1, items: map[string]published.Item{}} }

// Write writes or deletes items, each at a revision of its own.
func (s *Store) Write(items ...published.Item) fleet.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range items {
		s.revision++
		it.Revision = s.revision
		s.log = append(s.log, it)
		s.items[it.Key] = it
		if it.Deleted {
			delete(s.items, it.Key)
		}
	}
	return s.revision
}

// Fail makes every call end with a status; 0 lets them succeed again.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// DropHistory drops the history.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.horizon, s.log = s.revision, nil
}

// BetweenPages sets what happens before each further page of a list.
func (s *Store) BetweenPages(f func()) { s.between = f }

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Update returns what a read of the store would bring.
func (s *Store) Update(whole bool, after fleet.Revision) published.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := published.Update{Revision: s.revision, Snapshot: whole, Coalesced: whole}
	if whole {
		u.Items = s.sorted("")
		return u
	}
	u.Items = s.since(after)
	return u
}

func (s *Store) sorted(after string) []published.Item {
	var out []published.Item
	for key, it := range s.items {
		if key > after {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b published.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *Store) since(after fleet.Revision) []published.Item {
	var out []published.Item
	for _, it := range s.log {
		if it.Revision > after {
			out = append(out, it)
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	if r.URL.Path == "/list" && after != "" && s.between != nil {
		s.between()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.status != 0 {
		w.WriteHeader(s.status)
		return
	}
	p := published.Page{Revision: s.revision}
	if r.URL.Path == "/list" {
		p.Items = s.sorted(after)
		p.More = len(p.Items) > pageItems
		p.Items = p.Items[:min(pageItems, len(p.Items))]
	} else {
		rev, err := strconv.ParseUint(after, 10, 64)
		if err != nil || fleet.Revision(rev) < s.horizon {
			w.WriteHeader(http.StatusGone)
			return
		}
		p.Items = s.since(fleet.Revision(rev))
	}
	_ = json.NewEncoder(w).Encode(p) // the reader may be gone
}
