package published_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T) (*publishedtest.Store, *published.Client) {
	store := publishedtest.NewStore()
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	c := published.NewClient(strings.TrimPrefix(srv.URL, "http://"), publishedtest.Protocol{})
	t.Cleanup(c.Close)
	return store, c
}

func endpoint(n int) fleet.Endpoint {
	return fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprintf("e%d", n)), Service: "s", Addr: "192.0.2.1:80"}
}

// TestPagesThatChangeMeanwhile writes and deletes items between the pages of a list. The list
// together with the changes after its revision must equal the content of the store.
func TestPagesThatChangeMeanwhile(t *testing.T) {
	store, c := start(t)
	for n := range 8 {
		store.Write(publishedtest.Endpoint(endpoint(n), 1))
	}
	store.BetweenPages(func() {
		store.Write(publishedtest.EndpointGone("e0"), publishedtest.Endpoint(endpoint(9), 1))
	})
	m := published.NewMirror(publishedtest.Protocol{})
	u, err := c.Read(context.Background(), true, 0)
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(u)
	got := keysOf(m.Since(0))
	want := keysOf(store.Update(true, 0))
	if got != want {
		t.Errorf("the mirror holds %s, the store %s", got, want)
	}
}

// TestHistoryOfTheStore checks that all writes are read that the store has kept, with the revisions at which their keys were created,
// wherever its history begins.
func TestHistoryOfTheStore(t *testing.T) {
	for dropped := range 8 {
		t.Run(fmt.Sprintf("%d writes dropped", dropped), func(t *testing.T) {
			store, c := start(t)
			var last fleet.Revision
			for n := range 8 {
				if n == dropped {
					store.DropHistory()
				}
				last = store.Write(publishedtest.Endpoint(endpoint(n%3), n))
			}
			h, err := c.History(t.Context())
			if err != nil || published.StoreRevision(h.Revision) != last || len(h.Present) != 3 || len(h.Writes) != 8-dropped {
				t.Fatalf("revision %d, %d items, %d writes, %v; want revision %d, 3 items, %d writes", h.Revision, len(h.Present), len(h.Writes), err, last, 8-dropped)
			}
			for i, it := range h.Writes {
				if want := last - fleet.Revision(len(h.Writes)-1-i); it.Revision != want {
					t.Errorf("write %d has revision %d, want %d", i, it.Revision, want)
				}
			}
			for _, it := range h.Present {
				if it.Created == 0 || it.Created >= it.Revision {
					t.Errorf("%s: created at %d, written at %d", it.Key, it.Created, it.Revision)
				}
			}
		})
	}
}

func keysOf(u published.Update) string {
	var keys []string
	for _, it := range u.Items {
		keys = append(keys, it.Key)
	}
	return strings.Join(keys, " ")
}

// TestAgeCountsFromTheSending checks that Confirmed lies between the call and the return of Read.
// It is the time at which the request is sent, because later writes may be missing in the response.
func TestAgeCountsFromTheSending(t *testing.T) {
	store, c := start(t)
	store.Write(publishedtest.Config(&routing.Config{Version: 1}))
	before := boottime.Now()
	u, err := c.Read(context.Background(), true, 0)
	if err != nil || u.Confirmed < before || u.Confirmed > boottime.Now() {
		t.Errorf("confirmed %d, read after %d, %v", u.Confirmed, before, err)
	}
}

func TestReadErrors(t *testing.T) {
	store, c := start(t)
	rev := store.Write(publishedtest.Endpoint(endpoint(1), 1))
	store.DropHistory()
	if _, err := c.Read(context.Background(), false, rev-1); !errors.Is(err, published.ErrHistoryGone) {
		t.Errorf("after the history was dropped: %v", err)
	}
	if _, err := c.Read(context.Background(), false, rev); err != nil {
		t.Errorf("at the current revision: %v", err)
	}
	store.Fail(http.StatusServiceUnavailable)
	var status *published.StatusError
	if _, err := c.Read(context.Background(), true, 0); !errors.As(err, &status) || status.Status != http.StatusServiceUnavailable {
		t.Errorf("unavailable store: %v", err)
	}
	store.Fail(0)
	if _, err := c.Read(context.Background(), true, 0); err != nil {
		t.Errorf("recovered store: %v", err)
	}
}
