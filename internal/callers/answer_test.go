package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/sse"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

func readEvents(t *testing.T, body string) (data []string, ids []string) {
	t.Helper()
	r := sse.NewReader(strings.NewReader(body))
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) {
			return data, ids
		}
		if err != nil {
			t.Fatal(err)
		}
		data = append(data, string(ev.Name)+string(ev.Data))
		if len(ev.ID) > 0 {
			ids = append(ids, string(ev.ID))
		}
	}
}

// TestStreamAcrossAttempts loses the engine's connection after each event. The caller
// must see every event once, with ids that lead back to their place.
func TestStreamAcrossAttempts(t *testing.T) {
	const whole = 4
	for cut := uint64(0); cut <= whole; cut++ {
		r := newRig(t, DefaultConfig())
		d := core.Dispatch{Endpoint: "engine", Stream: "stream", Hint: "hint"}
		r.onEvent = func(ev core.Event) {
			switch ev := ev.(type) {
			case core.CallerRequest:
				d.ID = ev.ID
				d.Attempt++
				r.Dispatch(d)
			case core.AttemptLost:
				d.Attempt++
				d.Resume = true
				d.Offset = ev.Offset
				r.Dispatch(d)
			case core.AttemptDone:
				r.Finish(core.Finish{ID: ev.ID, Outcome: core.Answered})
			}
		}
		r.onRun = func(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event {
			if d.Attempt == 1 {
				return streamOf(cut, whole+1)(ctx, d, rq, a)
			}
			return streamOf(whole, whole)(ctx, d, rq, a)
		}
		got := r.do(t, r.request(t, "POST", chatsPath, streamBody, nil))
		data, ids := readEvents(t, got.body)
		var want []string
		for n := uint64(1); n <= whole; n++ {
			want = append(want, string(chunk(n)))
		}
		want = append(want, "[DONE]")
		if fmt.Sprint(data) != fmt.Sprint(want) || got.header.Get(headerPlacement) != "hint" {
			t.Fatalf("cut after %d: %q", cut, got.body)
		}
		checkIDs(t, r, ids)
	}
}

func checkIDs(t *testing.T, r *rig, ids []string) {
	t.Helper()
	key := r.told()[0].(core.CallerRequest).KeyHash
	for i, id := range ids {
		p, err := r.tokens.Open(key, id)
		if err != nil || p.Offset != uint64(i)+1 || p.Stream != "stream" || p.Endpoint != "engine" {
			t.Fatalf("id %q of event %d names %+v, %v", id, i+1, p, err)
		}
	}
}

// TestCallerResumes sends an id back. The core is told the place, and the caller gets
// what is missing.
func TestCallerResumes(t *testing.T) {
	r := newRig(t, DefaultConfig())
	d := core.Dispatch{Endpoint: "engine", Stream: "stream"}
	r.answering(d)
	r.onRun = streamOf(2, 4)
	first := r.do(t, r.request(t, "POST", chatsPath, streamBody, nil))
	data, ids := readEvents(t, first.body)
	if len(data) != 3 || !strings.HasPrefix(data[2], `error{`) || !strings.Contains(data[2], `"outcome":"unknown"`) {
		t.Fatalf("broken stream: %q", data)
	}

	d.Resume = true
	d.Offset = 2
	r.answering(d)
	r.onRun = streamOf(4, 4)
	second := r.do(t, r.request(t, "POST", chatsPath, streamBody, http.Header{"Last-Event-Id": {ids[1]}}))
	data, _ = readEvents(t, second.body)
	if len(data) != 3 || data[0] != string(chunk(3)) || data[2] != "[DONE]" {
		t.Errorf("resumed stream: %q", data)
	}
	var told []core.ResumePoint
	for _, ev := range r.told() {
		if rq, ok := ev.(core.CallerRequest); ok && rq.Resume != nil {
			told = append(told, *rq.Resume)
		}
	}
	if len(told) != 1 || told[0] != (core.ResumePoint{Endpoint: "engine", Stream: "stream", Offset: 2}) {
		t.Errorf("the core was told %+v", told)
	}
}

// TestAttemptThatCannotGoOn is refused without reaching the endpoint: a stream that
// starts again after a part of another, or one that would leave a gap.
func TestAttemptThatCannotGoOn(t *testing.T) {
	for name, second := range map[string]core.Dispatch{
		"new stream": {Attempt: 2},
		"gap":        {Attempt: 2, Resume: true, Offset: 3},
	} {
		r := newRig(t, DefaultConfig())
		r.onEvent = func(ev core.Event) {
			switch ev := ev.(type) {
			case core.CallerRequest:
				r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 1})
			case core.AttemptLost:
				second.ID = ev.ID
				r.Dispatch(second)
			case core.AttemptNotSent:
				r.Finish(core.Finish{ID: ev.ID, Outcome: core.Unknown, Reason: core.ReasonStreamLost})
			}
		}
		r.onRun = streamOf(2, 4)
		got := r.do(t, r.request(t, "POST", chatsPath, streamBody, nil))
		if data, _ := readEvents(t, got.body); len(data) != 3 || !strings.HasPrefix(data[2], "error") {
			t.Errorf("%s: %q", name, data)
		}
	}
}

func TestDocument(t *testing.T) {
	r := newRig(t, DefaultConfig())
	attempts := 0 // of the handler's goroutine
	r.onEvent = func(ev core.Event) {
		switch ev := ev.(type) {
		case core.CallerRequest:
			r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 1})
		case core.AttemptLost:
			if ev.Offset != 0 {
				t.Errorf("the caller of a document was sent %d events", ev.Offset)
			}
			r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 2})
		case core.AttemptDone:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.Answered})
		}
	}
	r.onRun = func(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event {
		attempts++
		if !bytes.Contains(rq.Body, []byte(`"stream":true`)) {
			t.Errorf("the engine was asked %s", rq.Body)
		}
		if attempts == 1 {
			return streamOf(2, 3)(ctx, d, rq, a)
		}
		return streamOf(3, 3)(ctx, d, rq, a)
	}
	got := r.do(t, r.request(t, "POST", chatsPath, documentBody, nil))
	if got.status != 200 || !strings.Contains(got.body, `"content":"abc"`) || !strings.Contains(got.body, `"model":"m"`) {
		t.Errorf("%d %q", got.status, got.body)
	}
}

// TestServiceReplies sends replies below and above what is held back, whole and broken.
func TestServiceReplies(t *testing.T) {
	for name, tc := range map[string]struct {
		size  int
		whole bool
		check func(readReply) bool
	}{
		"small":         {10, true, func(p readReply) bool { return p.status == 201 && len(p.body) == 10 && p.err == nil }},
		"large":         {replyBufferBytes + 10, true, func(p readReply) bool { return len(p.body) == replyBufferBytes+10 && p.err == nil }},
		"small, broken": {10, false, func(p readReply) bool { return p.status == 502 && strings.Contains(p.body, "unknown") }},
		"large, broken": {2 * replyBufferBytes, false, func(p readReply) bool { return p.err != nil }},
	} {
		r := newRig(t, DefaultConfig())
		r.answering(core.Dispatch{})
		r.onRun = func(_ context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event {
			if rq.Path != "/gates/4%2F5?day=2" || rq.Method != "PATCH" || string(rq.Body) != "x" || rq.Idempotent {
				t.Errorf("%s: the service was asked %+v", name, rq)
			}
			a.Head(d, 201, http.Header{"X-Own": {"v"}, "Connection": {"close"}, "X-Incarnation": {"1"}})
			for range tc.size / 10 {
				_ = a.Body([]byte("0123456789"))
			}
			_ = a.Body([]byte("0123456789")[:tc.size%10])
			if !tc.whole {
				return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset, Offset: a.Sent()}
			}
			_ = a.End(d)
			return core.AttemptDone{ID: d.ID, Attempt: d.Attempt, Status: 201}
		}
		got := r.do(t, r.request(t, "PATCH", "/services/gates/gates/4%2F5?day=2", "x", nil))
		if !tc.check(got) {
			t.Errorf("%s: %d, %d bytes, %v", name, got.status, len(got.body), got.err)
		}
		if lost, ok := r.told()[len(r.told())-1].(core.AttemptLost); ok && (lost.Offset > 0) != (tc.size > replyBufferBytes) {
			t.Errorf("%s: the core was told that the caller got %d parts", name, lost.Offset)
		}
		if tc.whole && (got.header.Get("X-Own") != "v" || got.header.Get("X-Incarnation") != "") {
			t.Errorf("%s: headers %v", name, got.header)
		}
	}
}

// TestFinishes gives the answers that the core decides without an attempt.
func TestFinishes(t *testing.T) {
	for name, tc := range map[string]struct {
		finish     core.Finish
		status     int
		retryAfter string
		want       string
	}{
		"limited":  {core.Finish{Outcome: core.NotRun, Reason: core.ReasonRateLimited, RetryAfter: 1500e6}, 429, "2", `"retry_after_ms":1500`},
		"unknown":  {core.Finish{Outcome: core.Unknown, Reason: core.ReasonIssuerGone}, 409, "", `"outcome":"unknown"`},
		"repeated": {core.Finish{Outcome: core.Answered, Response: &wire.StoredResponse{Status: 201, ContentType: "text/plain", Body: []byte("kept")}}, 201, "", "kept"},
	} {
		r := newRig(t, DefaultConfig())
		r.onEvent = func(ev core.Event) {
			if rq, ok := ev.(core.CallerRequest); ok {
				tc.finish.ID = rq.ID
				r.Finish(tc.finish)
			}
		}
		got := r.do(t, r.request(t, "POST", "/services/b/x", "", nil))
		if got.status != tc.status || got.header.Get("Retry-After") != tc.retryAfter || !strings.Contains(got.body, tc.want) {
			t.Errorf("%s: %d %v %q", name, got.status, got.header, got.body)
		}
	}
}

func TestTickets(t *testing.T) {
	r := newRig(t, DefaultConfig())
	reason := core.ReasonNone
	r.onEvent = func(ev core.Event) {
		rq := ev.(core.TicketRequest)
		r.IssueTickets(core.IssueTickets{ID: rq.ID, Tickets: make([]string, rq.Count), TTL: 90e9, Reason: reason})
	}
	got := r.do(t, r.request(t, "POST", "/v1/tickets", `{"count":3}`, nil))
	if got.body != `{"tickets":["","",""],"ttl_seconds":90}`+"\n" {
		t.Errorf("%d %q", got.status, got.body)
	}
	reason = core.ReasonUnauthenticated
	if got := r.do(t, r.request(t, "POST", "/v1/tickets", "", nil)); got.problem(t).Reason != reason || got.status != 401 {
		t.Errorf("%d %q", got.status, got.body)
	}
}
