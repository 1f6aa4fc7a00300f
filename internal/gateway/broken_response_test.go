package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// responseMangler is a server that answers as a handler does, with another status line and head and with a part of the body.
type responseMangler struct {
	handler    http.Handler
	statusLine string // "": that of the handler's response
	field      string // line added to the head, "" for none
	bodyShare  float64
}

// ServeHTTP implements http.Handler. The body of the response has no framing.
func (m *responseMangler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := httptest.NewRecorder()
	m.handler.ServeHTTP(rec, r)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	line := m.statusLine
	if line == "" {
		line = fmt.Sprintf("HTTP/1.1 %d X", rec.Code)
	}
	fmt.Fprintf(conn, "%s\r\n", line)
	_ = rec.Header().Write(conn)
	fmt.Fprintf(conn, "%s\r\n%s", m.field, rec.Body.Bytes()[:int(m.bodyShare*float64(rec.Body.Len()))])
}

// reader is a reader of responses of the store or of peers.
type reader struct {
	handler http.Handler // that it reads from
	read    func(addr string) error
}

// newReaders returns the readers of the store and of peers.
func newReaders(t *testing.T) map[string]reader {
	p := newTestProcess(t)
	endpoint := publishedtest.Endpoint(fleet.Endpoint{ID: "e0", Addr: "127.0.0.1:1", Service: "s", Incarnation: 1}, 0)
	endpoint.Revision = 7
	confirmed(p, 0, endpoint)
	content := publishedtest.NewStore()
	content.Write(endpoint)
	readStore := func(snapshot bool) func(string) error {
		return func(addr string) error {
			c := published.NewClient(addr, publishedtest.Protocol{})
			defer c.Close()
			_, err := c.Read(context.Background(), snapshot, 0)
			return err
		}
	}
	return map[string]reader{
		"seed": {p.controlHandler(), func(addr string) error {
			_, err := p.seeds.Load().query(context.Background(), addr, 0)
			return err
		}},
		"peer": {p.controlHandler(), func(addr string) error {
			_, _, err := p.fetchItems(control.PullItems{Control: addr, MaxBytes: 1 << 20})
			return err
		}},
		"records": {p.controlHandler(), func(addr string) error {
			_, err := p.fetchRecords(control.PullRecords{Control: addr, Keys: []string{endpoint.Key}})
			return err
		}},
		"store":       {content, readStore(true)},
		"store watch": {content, readStore(false)},
	}
}

// TestBrokenResponsesOfPeersAndOfTheStore guards against a response of the store or of a peer that is believed although its head is not
// valid, or although it ends early.
func TestBrokenResponsesOfPeersAndOfTheStore(t *testing.T) {
	for name, tc := range map[string]struct {
		mangler responseMangler
		valid   bool
	}{
		"as it is":        {responseMangler{bodyShare: 1}, true},
		"valid field":     {responseMangler{field: "X-One: 1\r\n", bodyShare: 1}, true},
		"status 000":      {responseMangler{statusLine: "HTTP/1.1 000 X", bodyShare: 1}, false},
		"status 600":      {responseMangler{statusLine: "HTTP/1.1 600 X", bodyShare: 1}, false},
		"status 500":      {responseMangler{statusLine: "HTTP/1.1 500 X", bodyShare: 1}, false},
		"HTTP/2.0":        {responseMangler{statusLine: "HTTP/2.0 200 X", bodyShare: 1}, false},
		"blank in a name": {responseMangler{field: "X One: 1\r\n", bodyShare: 1}, false},
		"control byte":    {responseMangler{field: "X\x01One: 1\r\n", bodyShare: 1}, false},
		"no body":         {responseMangler{bodyShare: 0}, false},
		"half a body":     {responseMangler{bodyShare: 0.5}, false},
		"most of a body":  {responseMangler{bodyShare: 0.99}, false},
	} {
		for from, r := range newReaders(t) {
			m := tc.mangler
			m.handler = r.handler
			srv := httptest.NewServer(&m)
			if err := r.read(strings.TrimPrefix(srv.URL, "http://")); (err == nil) != tc.valid {
				t.Errorf("%s, %s: %v, want valid %t", from, name, err, tc.valid)
			}
			srv.Close()
		}
	}
}
