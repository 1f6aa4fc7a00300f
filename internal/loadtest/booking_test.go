package loadtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

func TestBookingOutcomeFollowsResponses(t *testing.T) {
	ok := func(run int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewEncoder(w).Encode(service.Response{Booking: r.Header.Get(headerBooking), Run: run})
		}
	}
	refusal := func(status int, outcome string, retryAfterMS int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprintf(w, `{"outcome":%q,"reason":"r","retry_after_ms":%d}`, outcome, retryAfterMS)
		}
	}
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, tc := range []struct {
		name      string
		responses []http.HandlerFunc // of consecutive attempts; the last one repeats
		want      string             // counts: answered, wrong, not run, unknown
		requests  int
	}{
		{"answered", []http.HandlerFunc{ok(1)}, "1 0 0 0", 2},
		{"second run", []http.HandlerFunc{ok(2)}, "0 2 0 0", 2},
		{"repeat runs", []http.HandlerFunc{ok(1), ok(2)}, "1 1 0 0", 2},
		{"not run, then answered", []http.HandlerFunc{refusal(503, "not_run", 1), ok(1)}, "1 0 0 0", 3},
		{"connection broken, then answered", []http.HandlerFunc{broken, ok(1)}, "1 0 0 0", 3},
		{"pending, then answered", []http.HandlerFunc{refusal(409, "unknown", 1), ok(1)}, "1 0 0 0", 3},
		{"unknown, final", []http.HandlerFunc{refusal(409, "unknown", 0)}, "0 0 0 1", 2},
		{"never run", []http.HandlerFunc{refusal(503, "not_run", 300)}, "0 0 1 0", 0},
		{"every connection broken", []http.HandlerFunc{broken}, "0 0 0 1", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var mu sync.Mutex // the handler of a broken connection may still run when the next one starts
			n := 0
			tickets := map[string]bool{}
			c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/tickets" {
					fmt.Fprint(w, `{"tickets":["t1","t2"],"ttl_seconds":60}`)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				tickets[r.Header.Get(headerTicket)] = true
				n++
				tc.responses[min(n, len(tc.responses))-1](w, r)
			})
			var r Results
			NewBookingClient(c, &r, "/services/gate/bookings").Book(t.Context(), "b1")
			got := r.Counts()
			mu.Lock()
			defer mu.Unlock()
			if s := fmt.Sprint(got.Answered, got.Wrong, got.NotRun, got.Unknown); s != tc.want {
				t.Errorf("got %s, want %s: %+v", s, tc.want, got)
			}
			if tc.requests > 0 && n != tc.requests || len(tickets) != 1 || !tickets["t1"] {
				t.Errorf("%d requests with the tickets %v", n, tickets)
			}
		})
	}
}
