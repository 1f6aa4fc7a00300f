package ingress

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// panicOnce is a Control that panics after one of its calls, and only then.
type panicOnce struct {
	next  Control
	at    int32 // number of that call, from 1
	calls atomic.Int32
}

// Do implements Control.
func (c *panicOnce) Do(f func(*control.State, boottime.Instant)) {
	c.next.Do(f)
	if c.calls.Add(1) == c.at {
		panic("a fault")
	}
}

// panickingWriter is a ResponseWriter that panics when the body is written.
type panickingWriter struct{ *httptest.ResponseRecorder }

// Write implements http.ResponseWriter.
func (panickingWriter) Write([]byte) (int, error) { panic("a fault") }

// TestAttemptThatPanicsIsEnded guards against an endpoint that counts one request in flight for ever, or is blamed for a
// fault of this program.
func TestAttemptThatPanicsIsEnded(t *testing.T) {
	for name, inject := range map[string]func(*testServer, *httptest.ResponseRecorder) http.ResponseWriter{
		"at the response's head": func(ts *testServer, w *httptest.ResponseRecorder) http.ResponseWriter {
			ts.server.control = &panicOnce{next: ts.control, at: 3} // admitted, placed, head received
			return w
		},
		"at the write to the caller": func(_ *testServer, w *httptest.ResponseRecorder) http.ResponseWriter {
			return panickingWriter{w}
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, answerGood)
			r := httptest.NewRequest("GET", "/idempotent/x", nil)
			r.Host = "h"
			r.Header.Set("X-Id", "id-1")
			r.Header.Set("X-Key", "key")
			func() {
				defer func() { _ = recover() }() // of the connection that is cut
				ts.server.ServeHTTP(inject(ts, httptest.NewRecorder()), r)
			}()
			if n := ts.arrivals(); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
			ts.control.Do(func(st *control.State, now boottime.Instant) {
				for _, e := range st.Dump(now).Endpoints {
					if e.InFlight != 0 || e.FailureRate > 0 {
						t.Errorf("%s has %d requests in flight and a failure rate of %.2f, want none", e.ID, e.InFlight, e.FailureRate)
					}
				}
			})
		})
	}
}
