package publishedtest

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// pageSize is the maximum number of items in a page of a list.
const pageSize = 3

// Store is an in-memory stand-in for the platform's store. It is an http.Handler with fault
// injection.
type Store struct {
	mu           sync.Mutex
	era          uint64
	revision     fleet.Revision
	items        map[string]published.Item
	writes       []published.Item
	historyStart fleet.Revision
	status       int
	calls        int
	beforePage   func() // called before each further page of a list
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{revision: 1, items: map[string]published.Item{}} }

// Write writes or deletes items, each at its own revision, and returns the last revision.
func (s *Store) Write(items ...published.Item) fleet.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range items {
		s.revision++
		it.Revision, it.Created = s.revision, s.revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.writes = append(s.writes, it)
		s.items[it.Key] = it
		if it.Deleted {
			delete(s.items, it.Key)
		}
	}
	return s.revision
}

// Copy is a copy of a store's content.
type Copy struct {
	revision fleet.Revision
	items    map[string]published.Item
	writes   []published.Item
}

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, items: maps.Clone(s.items), writes: slices.Clone(s.writes)}
}

// Restore replaces the content by an earlier copy and begins the next era: the writes since are lost, and their
// revisions are assigned again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.writes = c.revision, maps.Clone(c.items), slices.Clone(c.writes)
}

// Era returns the number of times that a copy was restored.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Fail makes every request fail with a status; 0 ends the failure.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// DropHistory removes the history of writes, so that requests for earlier changes fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart, s.writes = s.revision, nil
}

// BetweenPages sets a function that is called before each further page of a list.
func (s *Store) BetweenPages(f func()) { s.beforePage = f }

// Calls returns the number of requests.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Update returns the update that a client of the store would return for a read. A read of changes must be in the
// store's era.
func (s *Store) Update(snapshot bool, after fleet.Revision) published.Update {
	u := s.Content(snapshot, published.StoreRevision(after))
	era := s.Era()
	u.Revision = published.InEra(era, u.Revision)
	for i := range u.Items {
		u.Items[i].Revision = published.InEra(era, u.Items[i].Revision)
		u.Items[i].Created = published.InEra(era, u.Items[i].Created)
	}
	return u
}

// Content returns all items, or the writes after a revision, with the store's own revisions.
func (s *Store) Content(snapshot bool, after fleet.Revision) published.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := published.Update{Revision: s.revision, Snapshot: snapshot, Coalesced: snapshot}
	if snapshot {
		u.Items = s.itemsAfter("")
		return u
	}
	u.Items = s.writesAfter(after)
	return u
}

func (s *Store) itemsAfter(after string) []published.Item {
	var out []published.Item
	for key, it := range s.items {
		if key > after {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b published.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *Store) writesAfter(after fleet.Revision) []published.Item {
	var out []published.Item
	for _, it := range s.writes {
		if it.Revision > after {
			out = append(out, it)
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	if r.URL.Path == "/list" && after != "" && s.beforePage != nil {
		s.beforePage()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.status != 0 {
		w.WriteHeader(s.status)
		return
	}
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
	p := published.Page{Revision: s.revision}
	if r.URL.Path == "/list" {
		p.Items = s.itemsAfter(after)
		p.More = len(p.Items) > pageSize
		p.Items = p.Items[:min(pageSize, len(p.Items))]
	} else {
		rev, err := strconv.ParseUint(after, 10, 64)
		if err != nil || fleet.Revision(rev) < s.historyStart {
			w.WriteHeader(http.StatusGone)
			return
		}
		p.Items = s.writesAfter(fleet.Revision(rev))
	}
	_ = json.NewEncoder(w).Encode(p) // the client may have disconnected
}
