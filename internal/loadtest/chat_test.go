package loadtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// client returns a client of a router that the handler plays.
func client(t *testing.T, router http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	return &Client{
		Balancer: NewBalancer([]string{srv.Listener.Addr().String()}), HTTP: srv.Client(),
		Key: "key", RequestTimeout: time.Second, IdleTimeout: 250 * time.Millisecond,
	}
}

func refuse(w http.ResponseWriter, status int, outcome, reason string) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"outcome":%q,"reason":%q,"retry_after_ms":300}`, outcome, reason)
}

// attempt is what the router does with one sending of a chat.
type attempt struct {
	events int    // it sends before it breaks; -1: all and the end mark
	extra  string // added to each token
	status int    // of a refusal, 0: none
	event  bool   // send an error event at the end instead of breaking
	hang   bool   // keep the connection open instead of breaking it
}

const chatTokens = 6

// play answers like a router that does one attempt after the other, and the last one over and over.
func play(t *testing.T, attempts []attempt, hints *[]string) http.HandlerFunc {
	n := 0
	return func(w http.ResponseWriter, r *http.Request) {
		a := attempts[min(n, len(attempts)-1)]
		n++
		if r.Header.Get("Authorization") != "Bearer key" {
			t.Error("no key")
		}
		*hints = append(*hints, r.Header.Get(headerPlacement))
		if a.status != 0 {
			refuse(w, a.status, "not_run", "overloaded")
			return
		}
		var req engine.Request
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			t.Error(err)
		}
		w.Header().Set(headerPlacement, fmt.Sprintf("hint-%d", n))
		offset, _ := strconv.Atoi(r.Header.Get(headerResume))
		for i, tok := range strings.SplitAfter(engine.Text(req), " ")[:chatTokens] {
			if i < offset || a.events >= 0 && i >= a.events {
				continue
			}
			usage := "null"
			if i == chatTokens-1 {
				usage = `{"prompt_tokens":10,"prompt_tokens_details":{"cached_tokens":4}}`
			}
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}],\"usage\":%s}\n\n", i+1, a.extra+tok, usage)
		}
		if a.hang {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
		if a.event {
			fmt.Fprint(w, "event: error\ndata: {\"outcome\":\"unknown\",\"reason\":\"stream_lost\"}\n\n")
		} else if a.events < 0 {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}
}

func TestTurnCountsOnlyTheWholeRightAnswer(t *testing.T) {
	whole := attempt{events: -1}
	for _, tc := range []struct {
		name     string
		attempts []attempt
		want     Counts
	}{
		{"whole", []attempt{whole}, Counts{Answered: 1}},
		{"wrong text", []attempt{{events: -1, extra: "x"}}, Counts{Wrong: 1}},
		{"end mark too early", []attempt{{events: 3}, {events: 3}, {events: -1, extra: "x"}}, Counts{Wrong: 1, Retries: 2, ResumedStreams: 2}},
		{"broken and resumed", []attempt{{events: 2}, {events: 4}, whole}, Counts{Answered: 1, Retries: 2, ResumedStreams: 2}},
		{"silent from the start", []attempt{{hang: true}, whole}, Counts{Answered: 1, Retries: 1}},
		{"silent and resumed", []attempt{{events: 2, hang: true}, whole}, Counts{Answered: 1, Retries: 1, ResumedStreams: 1}},
		{"refused, then whole", []attempt{{status: 503}, whole}, Counts{Answered: 1, Retries: 1}},
		{"lost, then anew", []attempt{{events: 2, event: true}, whole}, Counts{Answered: 1, Retries: 1}},
		{"always refused", []attempt{{status: 503}}, Counts{NotRun: 1}},
		{"always broken", []attempt{{events: 1}}, Counts{Failed: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Results
			var hints []string
			c := client(t, play(t, tc.attempts, &hints))
			NewChat(c, &r, "m", chatTokens).Turn(t.Context(), "hello")
			got := r.Counts()
			if tc.want.NotRun+tc.want.Failed > 0 { // as many retries as fit
				got.Retries, got.ResumedStreams = 0, 0
			}
			ends := func(c Counts) string {
				return fmt.Sprint(c.Answered, c.Wrong, c.NotRun, c.Unknown, c.Failed, c.Retries, c.ResumedStreams)
			}
			if ends(got) != ends(tc.want) || got.Requests != 1 {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

func TestChatCarriesItsHintAndHistory(t *testing.T) {
	var r Results
	var hints []string
	chat := NewChat(client(t, play(t, []attempt{{events: -1}}, &hints)), &r, "m", chatTokens)
	for range 3 {
		if !chat.Turn(t.Context(), "hello") {
			t.Fatalf("%+v", r.Counts())
		}
	}
	if got := strings.Join(hints, ","); got != ",hint-1,hint-2" {
		t.Errorf("hints %q", got)
	}
	if c := r.Counts(); len(chat.req.Messages) != 6 || c.CachedTokens != 12 || c.PromptTokens != 30 {
		t.Errorf("%d messages, %+v", len(chat.req.Messages), c)
	}
}

func TestBalancerLeavesOutRoutersThatAreNotReady(t *testing.T) {
	ready := func(status int) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	good, bad := ready(200), ready(503)
	b := NewBalancer([]string{bad, good, "127.0.0.1:1"})
	for i := range b.addrs {
		b.check(t.Context(), i)
	}
	b.client.CloseIdleConnections()
	for range 5 {
		if got := b.pick(); got != good {
			t.Errorf("picked %s, ready is %s", got, good)
		}
	}
}
