package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, cfg Config) *Engine {
	t.Helper()
	e, err := Start("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = e.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return e
}

func chatRequest(words ...string) Request {
	r := Request{Model: "assistant", MaxTokens: 20}
	for i, w := range words {
		r.Messages = append(r.Messages, Message{Role: []string{"user", "assistant"}[i%2], Content: w})
	}
	return r
}

func do(t *testing.T, e *Engine, method, path, id string, body any) *http.Response {
	t.Helper()
	b, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+e.Addr()+path, bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// streamResult is what a reader received of a stream.
type streamResult struct {
	text   string
	last   int // id of the last event
	cached int
	done   bool
}

// readStream reads the events of a response, whose ids must be consecutive from after+1.
func readStream(t *testing.T, resp *http.Response, after int) streamResult {
	t.Helper()
	a := streamResult{last: after}
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		data, isData := strings.CutPrefix(sc.Text(), "data: ")
		switch {
		case strings.HasPrefix(sc.Text(), "id: "):
			if a.last++; sc.Text() != fmt.Sprintf("id: %d", a.last) {
				t.Fatalf("got %q, want id %d", sc.Text(), a.last)
			}
		case data == "[DONE]":
			a.done = true
		case isData:
			var c struct {
				Choices []struct{ Delta struct{ Content string } }
				Usage   struct {
					Details struct {
						Cached int `json:"cached_tokens"`
					} `json:"prompt_tokens_details"`
				}
			}
			if err := json.Unmarshal([]byte(data), &c); err != nil {
				t.Fatal(err)
			}
			a.text += c.Choices[0].Delta.Content
			a.cached = c.Usage.Details.Cached
		}
	}
	return a
}

func postChat(t *testing.T, e *Engine, id string, r Request) streamResult {
	t.Helper()
	return readStream(t, do(t, e, "POST", "/v1/chat/completions", id, r), 0)
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

func TestReturningChatReusesItsPrefix(t *testing.T) {
	long := strings.Repeat("a long site history. ", 40)
	for _, tc := range []struct {
		name   string
		blocks int
		reuse  bool
	}{{"room", 4096, true}, {"no room", 2, false}} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := DefaultConfig("e1")
			cfg.CacheBlocks = tc.blocks
			e := start(t, cfg)
			first := postChat(t, e, "r1", chatRequest(long))
			if want := Text(chatRequest(long)); first.text != want || !first.done || first.last != 20 || first.cached != 0 {
				t.Fatalf("first turn: %+v, want text %q", first, want)
			}
			next := chatRequest(long, first.text, "and the pads?")
			got := postChat(t, e, "r2", next)
			if got.text != Text(next) {
				t.Fatalf("second turn: %q", got.text)
			}
			past := len(flatten(next.Messages[:2])) / blockBytes * blockTokens
			if tc.reuse && got.cached != past || !tc.reuse && got.cached >= past {
				t.Errorf("cached %d tokens of %d", got.cached, past)
			}
		})
	}
}

func TestBrokenStreamResumesFromOffset(t *testing.T) {
	e := start(t, DefaultConfig("e1"))
	e.Inject(Faults{Breaks: 1, BreakAfter: 7})
	head := postChat(t, e, "r1", chatRequest("hello"))
	if head.done || head.last != 7 {
		t.Fatalf("broken stream: %+v", head)
	}
	tail := readStream(t, do(t, e, "GET", "/v1/streams/r1?offset=7", "", nil), 7)
	if got := head.text + tail.text; !tail.done || got != Text(chatRequest("hello")) {
		t.Errorf("resumed: %q", got)
	}
	if s := e.Stats(); s.Requests != 1 || s.Resumed != 1 || s.Generated != 20 {
		t.Errorf("stats: %+v", s)
	}
	if resp := do(t, e, "GET", "/v1/streams/other?offset=0", "", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("unknown stream: %s", resp.Status)
	}
}

func TestStreamEndsWithoutItsReader(t *testing.T) {
	for _, tc := range []struct {
		name  string
		end   func(t *testing.T, e *Engine, resp *http.Response)
		count func(Stats) int
	}{
		{"cancelled", func(t *testing.T, e *Engine, _ *http.Response) {
			do(t, e, "DELETE", "/v1/streams/r1", "", nil)
		}, func(s Stats) int { return s.Cancelled }},
		{"no reader for the grace period", func(_ *testing.T, _ *Engine, resp *http.Response) {
			_ = resp.Body.Close()
		}, func(s Stats) int { return s.Cancelled }},
		{"cold restart", func(_ *testing.T, e *Engine, resp *http.Response) {
			before := e.Stats().Incarnation
			e.Inject(Faults{Cold: true})
			if e.Stats().Incarnation <= before {
				t.Error("same incarnation")
			}
		}, func(Stats) int { return 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := DefaultConfig("e1")
			cfg.ReaderGracePeriod = time.Millisecond
			e := start(t, cfg)
			e.Inject(Faults{Frozen: true})
			resp := do(t, e, "POST", "/v1/chat/completions", "r1", chatRequest("hello"))
			tc.end(t, e, resp)
			eventually(t, "the stream ended", func() bool {
				e.mu.Lock()
				defer e.mu.Unlock()
				return len(e.batch) == 0 && tc.count(e.stats) == 1
			})
			if a := readStream(t, resp, 0); a.done {
				t.Errorf("ended as if complete: %+v", a)
			}
		})
	}
}

func TestRefusalsAreMarkedNotRun(t *testing.T) {
	cfg := DefaultConfig("e1")
	cfg.Model, cfg.Capacity, cfg.QueueLimit = "assistant", 1, 0
	other := chatRequest("x")
	other.Model = "booking"
	for _, tc := range []struct {
		name   string
		faults Faults
		full   bool
		req    Request
	}{
		{"injected", Faults{Refuse: 1}, false, chatRequest("x")},
		{"full", Faults{Frozen: true}, true, chatRequest("x")},
		{"other model", Faults{}, false, other},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := start(t, cfg)
			e.Inject(tc.faults)
			if tc.full {
				do(t, e, "POST", "/v1/chat/completions", "first", chatRequest("y"))
			}
			accepted := e.Stats().Requests
			resp := do(t, e, "POST", "/v1/chat/completions", "r1", tc.req)
			if resp.StatusCode != 503 || resp.Header.Get("X-Not-Run") != "true" || e.Stats().Requests != accepted {
				t.Errorf("%s %v, %d requests accepted", resp.Status, resp.Header, e.Stats().Requests)
			}
		})
	}
}

func TestOldFenceIsRefusedOnlyWhereChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		cfg := DefaultConfig("e1")
		cfg.ChecksFence = checks
		e := start(t, cfg)
		var codes []int
		for _, fence := range []uint64{5, 4, 5} {
			codes = append(codes, do(t, e, "POST", "/v1/orders", "", Order{Fence: fence}).StatusCode)
		}
		want := []int{200, map[bool]int{true: 409, false: 200}[checks], 200}
		if fmt.Sprint(codes) != fmt.Sprint(want) {
			t.Errorf("checks %v: %v", checks, codes)
		}
	}
}
