package published_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestListWithoutEnd checks that a list ends with an error if the store says without end that another page follows:
// with the same keys again, with many pages, or with many bytes.
func TestListWithoutEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		key        func(page int) string
		valueBytes int
	}{
		"the same page":   {func(int) string { return "k" }, 1},
		"keys that fall":  {func(page int) string { return fmt.Sprintf("k%09d", 1e9-page) }, 1},
		"many pages":      {func(page int) string { return fmt.Sprintf("k%09d", page) }, 1},
		"many bytes":      {func(page int) string { return fmt.Sprintf("k%09d", page) }, 1 << 20},
		"pages and bytes": {func(page int) string { return fmt.Sprintf("k%09d", page) }, 64 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			pages, bytes := 0, 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				pages++
				item := published.Item{Key: tc.key(pages), Value: []byte(strings.Repeat("x", tc.valueBytes)), Revision: 1}
				b, _ := json.Marshal(published.Page{Items: []published.Item{item}, More: true, Revision: 1})
				bytes += len(b)
				_, _ = w.Write(b)
			}))
			defer srv.Close()
			c := published.NewClient(strings.TrimPrefix(srv.URL, "http://"), publishedtest.Protocol{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second) // only ends a test that fails
			defer cancel()
			if _, err := c.Read(ctx, true, 0); !errors.Is(err, published.ErrListTooLarge) {
				t.Errorf("%v after %d pages of %d bytes", err, pages, bytes)
			}
		})
	}
}
