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

// TestPagesThatChangeMeanwhile writes and deletes between the pages of a list. The list
// and the changes after its revision must come to what the store holds.
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

func keysOf(u published.Update) string {
	var keys []string
	for _, it := range u.Items {
		keys = append(keys, it.Key)
	}
	return strings.Join(keys, " ")
}

// TestAgeCountsFromTheSending checks that a read proves nothing of the time after it was sent.
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
		t.Errorf("after the history is gone: %v", err)
	}
	if _, err := c.Read(context.Background(), false, rev); err != nil {
		t.Errorf("at the present revision: %v", err)
	}
	store.Fail(http.StatusServiceUnavailable)
	var status *published.StatusError
	if _, err := c.Read(context.Background(), true, 0); !errors.As(err, &status) || status.Status != http.StatusServiceUnavailable {
		t.Errorf("busy: %v", err)
	}
	store.Fail(0)
	if _, err := c.Read(context.Background(), true, 0); err != nil {
		t.Errorf("after it is back: %v", err)
	}
}
