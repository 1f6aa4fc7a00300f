package callers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/resume"
)

const chatsPath = "/v1/chat/completions"

// TestWrongFormsAreRefused sends invalid requests. Each must be rejected with its status and reason and must not
// reach the core.
func TestWrongFormsAreRefused(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxBodyBytes = 8 << 10
	r := newHarness(t, cfg)
	otherSecret := resume.NewCodec([]byte("other")).Encode("k", resume.Position{Endpoint: "e", Stream: "s"})
	otherKey := r.resumeTokens.Encode("k", resume.Position{Endpoint: "e", Stream: "s"})
	long := strings.Repeat("x", 9<<10)
	for name, tc := range map[string]struct {
		method, path, body string
		header             http.Header
		status             int
		reason             core.Reason
	}{
		"no key":             {"POST", chatsPath, streamBody, http.Header{"Authorization": nil}, 401, core.ReasonUnauthenticated},
		"empty key":          {"POST", chatsPath, streamBody, http.Header{"Authorization": {"Bearer "}}, 401, core.ReasonUnauthenticated},
		"other scheme":       {"POST", "/services/b/x", "", http.Header{"Authorization": {"Basic a2V5"}}, 401, core.ReasonUnauthenticated},
		"unknown path":       {"POST", "/v1/completions", streamBody, nil, 404, ReasonNotFound},
		"wrong method":       {"PUT", chatsPath, streamBody, nil, 405, ReasonMethodNotAllowed},
		"broken JSON":        {"POST", chatsPath, streamBody[:20], nil, 400, ReasonBadRequest},
		"JSON of other form": {"POST", chatsPath, `[]`, nil, 400, ReasonBadRequest},
		"two documents":      {"POST", chatsPath, streamBody + streamBody, nil, 400, ReasonBadRequest},
		"no model":           {"POST", chatsPath, `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, ReasonBadRequest},
		"no messages":        {"POST", chatsPath, `{"model":"m","messages":[]}`, nil, 400, ReasonBadRequest},
		"negative tokens":    {"POST", chatsPath, `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, 400, ReasonBadRequest},
		"too many tokens":    {"POST", chatsPath, `{"model":"m","max_tokens":2000000,"messages":[{"role":"user","content":"x"}]}`, nil, 400, ReasonBadRequest},
		"large body":         {"POST", "/services/b/x", long, nil, 413, ReasonTooLarge},
		"two tickets":        {"POST", "/services/b/x", "", http.Header{"Dandelionvane-Ticket": {"a", "b"}}, 400, ReasonBadRequest},
		"long ticket":        {"POST", "/services/b/x", "", http.Header{"Dandelionvane-Ticket": {long[:513]}}, 400, ReasonBadRequest},
		"long key":           {"POST", "/services/b/x", "", http.Header{"Idempotency-Key": {long[:256]}}, 400, ReasonBadRequest},
		"long hint":          {"POST", chatsPath, streamBody, http.Header{"Dandelionvane-Placement": {long[:513]}}, 400, ReasonBadRequest},
		"deadline of words":  {"POST", chatsPath, streamBody, http.Header{"Dandelionvane-Deadline-Ms": {"soon"}}, 400, ReasonBadRequest},
		"no time":            {"POST", chatsPath, streamBody, http.Header{"Dandelionvane-Deadline-Ms": {"0"}}, 400, ReasonBadRequest},
		"foreign event id":   {"POST", chatsPath, streamBody, http.Header{"Last-Event-Id": {otherSecret}}, 400, ReasonResumeInvalid},
		"other key's id":     {"POST", chatsPath, streamBody, http.Header{"Last-Event-Id": {otherKey}}, 400, ReasonResumeInvalid},
		"no ticket wanted":   {"POST", "/v1/tickets", `{"count":0}`, nil, 400, ReasonBadRequest},
		"many tickets":       {"POST", "/v1/tickets", `{"count":257}`, nil, 400, ReasonBadRequest},
		"tickets in words":   {"POST", "/v1/tickets", `{"count":"one"}`, nil, 400, ReasonBadRequest},
		"readiness":          {"GET", "/readyz", "", nil, 503, core.ReasonNotReady},
	} {
		got := r.do(t, r.request(t, tc.method, tc.path, tc.body, tc.header))
		p := got.problem(t)
		if got.status != tc.status || p.Status != tc.status || p.Reason != tc.reason || p.Outcome != "not_run" {
			t.Errorf("%s: status %d, %+v", name, got.status, p)
		}
	}
	if events := r.coreEvents(); len(events) != 0 {
		t.Errorf("the core received %+v", events)
	}
	if n := r.BodyBytes(); n != 0 {
		t.Errorf("%d bytes of the body budget are still reserved", n)
	}
}

// TestChunkedBodyIsBounded sends chunked bodies, which have no Content-Length: the size limit and the total body
// memory limit must be enforced while reading.
func TestChunkedBodyIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxBodyBytes = 8 << 10
	r := newHarness(t, cfg)
	r.dispatchOnce(core.Dispatch{})
	r.onRun = sendEvents(1, 1)
	for size, status := range map[int]int{8 << 10: 200, 8<<10 + 1: 413, 64 << 10: 413} {
		pad := strings.Repeat(" ", size-len(nonStreamingBody))
		rq := r.request(t, "POST", chatsPath, nonStreamingBody+pad, nil)
		rq.ContentLength = -1
		if got := r.do(t, rq); got.status != status {
			t.Errorf("%d bytes: status %d, want %d", size, got.status, status)
		}
	}
	cfg.MaxTotalBodyBytes = 4 << 10
	full := newHarness(t, cfg)
	got := full.do(t, full.request(t, "POST", chatsPath, nonStreamingBody+strings.Repeat(" ", 4<<10), nil))
	if p := got.problem(t); p.Reason != core.ReasonOverloaded || got.header.Get("Retry-After") != "1" {
		t.Errorf("beyond the total body memory: %+v", p)
	}
}

// TestReasonsHaveStatus checks that each reason of the core has a status code, that the protocol documentation
// names each reason, and that no status suggests retrying a request that may have run.
func TestReasonsHaveStatus(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../core/action.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := os.ReadFile("../../docs/PROTOCOLS.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason := range statusByReason {
		if reason != core.ReasonCallerGone && !strings.Contains(string(doc), "`"+string(reason)+"`") {
			t.Errorf("docs/PROTOCOLS.md does not name %q", reason)
		}
	}
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || spec.Type == nil || len(spec.Values) == 0 {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != "Reason" {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		found++
		reason := core.Reason(value)
		if _, ok := statusByReason[reason]; !ok && reason != core.ReasonNone {
			t.Errorf("reason %q has no status", value)
		}
		for _, o := range []core.Outcome{core.NotRun, core.Unknown} {
			status := statusCode(o, reason)
			if o == core.Unknown && (status == 503 || status == 429) {
				t.Errorf("the status of %q suggests retrying a request that may have run", value)
			}
		}
		return true
	})
	if found < 10 {
		t.Errorf("only %d reasons found", found)
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add(streamBody)
	f.Add(nonStreamingBody)
	f.Fuzz(func(t *testing.T, s string) {
		c, err := parseChat([]byte(s))
		if err != nil {
			return
		}
		b, err := c.withStreaming([]byte(s))
		if err != nil {
			t.Fatalf("%q: %v", s, err)
		}
		again, err := parseChat(b)
		if err != nil || !again.Stream || again.affinityHash("k") != c.affinityHash("k") {
			t.Fatalf("%q became %q: %v", s, b, err)
		}
	})
}
