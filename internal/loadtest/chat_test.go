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

// newTestClient returns a client of a fake router that the handler implements.
func newTestClient(t *testing.T, router http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	return &Client{
		Balancer: NewBalancer([]string{srv.Listener.Addr().String()}), HTTP: srv.Client(),
		APIKey: "key", RequestTimeout: time.Second, IdleTimeout: 250 * time.Millisecond,
	}
}

func writeRefusal(w http.ResponseWriter, status int, outcome, reason string) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"outcome":%q,"reason":%q,"retry_after_ms":300}`, outcome, reason)
}

// scriptedAttempt is the response of the fake router to one attempt of a chat turn.
type scriptedAttempt struct {
	events     int    // number sent before the connection is closed; -1: all, followed by [DONE]
	textPrefix string // prepended to each token
	status     int    // of a refusal; 0: no refusal
	errorEvent bool   // send an error event before the connection is closed
	hang       bool   // keep the connection open instead of closing it
}

const chatTokens = 6

// scriptedRouter returns a fake router that responds to consecutive requests with the given attempts and repeats the
// last one. It appends the placement hint of each request to hints.
func scriptedRouter(t *testing.T, attempts []scriptedAttempt, hints *[]string) http.HandlerFunc {
	n := 0
	return func(w http.ResponseWriter, r *http.Request) {
		a := attempts[min(n, len(attempts)-1)]
		n++
		if r.Header.Get("Authorization") != "Bearer key" {
			t.Error("the request has no API key")
		}
		*hints = append(*hints, r.Header.Get(headerPlacement))
		if a.status != 0 {
			writeRefusal(w, a.status, "not_run", "overloaded")
			return
		}
		var req engine.Request
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			t.Error(err)
		}
		w.Header().Set(headerPlacement, fmt.Sprintf("hint-%d", n))
		offset, _ := strconv.Atoi(r.Header.Get(headerLastEventID))
		for i, tok := range strings.SplitAfter(engine.Text(req), " ")[:chatTokens] {
			if i < offset || a.events >= 0 && i >= a.events {
				continue
			}
			usage := "null"
			if i == chatTokens-1 {
				usage = `{"prompt_tokens":10,"prompt_tokens_details":{"cached_tokens":4}}`
			}
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}],\"usage\":%s}\n\n", i+1, a.textPrefix+tok, usage)
		}
		if a.hang {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
		if a.errorEvent {
			fmt.Fprint(w, "event: error\ndata: {\"outcome\":\"unknown\",\"reason\":\"stream_lost\"}\n\n")
		} else if a.events < 0 {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}
}

func TestTurnCountsOnlyTheWholeRightAnswer(t *testing.T) {
	complete := scriptedAttempt{events: -1}
	for _, tc := range []struct {
		name     string
		attempts []scriptedAttempt
		want     Counts
	}{
		{"whole", []scriptedAttempt{complete}, Counts{Answered: 1}},
		{"wrong text", []scriptedAttempt{{events: -1, textPrefix: "x"}}, Counts{Wrong: 1}},
		{"disconnected, then wrong text", []scriptedAttempt{{events: 3}, {events: 3}, {events: -1, textPrefix: "x"}}, Counts{Wrong: 1, Retries: 2, StreamResumes: 2}},
		{"broken and resumed", []scriptedAttempt{{events: 2}, {events: 4}, complete}, Counts{Answered: 1, Retries: 2, StreamResumes: 2}},
		{"idle before the first event", []scriptedAttempt{{hang: true}, complete}, Counts{Answered: 1, Retries: 1}},
		{"idle, then resumed", []scriptedAttempt{{events: 2, hang: true}, complete}, Counts{Answered: 1, Retries: 1, StreamResumes: 1}},
		{"refused, then complete", []scriptedAttempt{{status: 503}, complete}, Counts{Answered: 1, Retries: 1}},
		{"stream lost, then restarted", []scriptedAttempt{{events: 2, errorEvent: true}, complete}, Counts{Answered: 1, Retries: 1}},
		{"always refused", []scriptedAttempt{{status: 503}}, Counts{NotRun: 1}},
		{"always broken", []scriptedAttempt{{events: 1}}, Counts{Failed: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Results
			var hints []string
			c := newTestClient(t, scriptedRouter(t, tc.attempts, &hints))
			NewChat(c, &r, "m", chatTokens).Turn(t.Context(), "hello")
			got := r.Counts()
			if tc.want.NotRun+tc.want.Failed > 0 { // the number of retries depends on timing
				got.Retries, got.StreamResumes = 0, 0
			}
			outcomes := func(c Counts) string {
				return fmt.Sprint(c.Answered, c.Wrong, c.NotRun, c.Unknown, c.Failed, c.Retries, c.StreamResumes)
			}
			if outcomes(got) != outcomes(tc.want) || got.Requests != 1 {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

func TestChatCarriesItsHintAndHistory(t *testing.T) {
	var r Results
	var hints []string
	chat := NewChat(newTestClient(t, scriptedRouter(t, []scriptedAttempt{{events: -1}}, &hints)), &r, "m", chatTokens)
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
		b.checkReady(t.Context(), i)
	}
	b.client.CloseIdleConnections()
	for range 5 {
		if got := b.pick(); got != good {
			t.Errorf("picked %s, ready is %s", got, good)
		}
	}
}
