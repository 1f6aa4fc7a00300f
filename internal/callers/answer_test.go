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

// TestStreamAcrossAttempts breaks the engine's connection after each number of events and resumes the stream in a
// second attempt. The caller must get every event once, with a resume token for its position as its id.
func TestStreamAcrossAttempts(t *testing.T) {
	const eventCount = 4
	for cut := uint64(0); cut <= eventCount; cut++ {
		r := newHarness(t, DefaultConfig())
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
				return sendEvents(cut, eventCount+1)(ctx, d, rq, a)
			}
			return sendEvents(eventCount, eventCount)(ctx, d, rq, a)
		}
		got := r.do(t, r.request(t, "POST", chatsPath, streamBody, nil))
		data, ids := readEvents(t, got.body)
		var want []string
		for n := uint64(1); n <= eventCount; n++ {
			want = append(want, string(chunk(n)))
		}
		want = append(want, "[DONE]")
		if fmt.Sprint(data) != fmt.Sprint(want) || got.header.Get(headerPlacement) != "hint" {
			t.Fatalf("cut after %d: %q", cut, got.body)
		}
		checkEventIDs(t, r, ids)
	}
}

func checkEventIDs(t *testing.T, r *harness, ids []string) {
	t.Helper()
	key := r.coreEvents()[0].(core.CallerRequest).APIKeyHash
	for i, id := range ids {
		p, err := r.resumeTokens.Decode(key, id)
		if err != nil || p.Offset != uint64(i)+1 || p.Stream != "stream" || p.Endpoint != "engine" {
			t.Fatalf("id %q of event %d decodes to %+v, %v", id, i+1, p, err)
		}
	}
}

// TestCallerResumes sends a resume token in Last-Event-ID after a broken stream. The core must get the position that
// the token encodes, and the caller must get the missing events only.
func TestCallerResumes(t *testing.T) {
	r := newHarness(t, DefaultConfig())
	d := core.Dispatch{Endpoint: "engine", Stream: "stream"}
	r.dispatchOnce(d)
	r.onRun = sendEvents(2, 4)
	first := r.do(t, r.request(t, "POST", chatsPath, streamBody, nil))
	data, ids := readEvents(t, first.body)
	if len(data) != 3 || !strings.HasPrefix(data[2], `error{`) || !strings.Contains(data[2], `"outcome":"unknown"`) {
		t.Fatalf("broken stream: %q", data)
	}

	d.Resume = true
	d.Offset = 2
	r.dispatchOnce(d)
	r.onRun = sendEvents(4, 4)
	second := r.do(t, r.request(t, "POST", chatsPath, streamBody, http.Header{"Last-Event-Id": {ids[1]}}))
	data, _ = readEvents(t, second.body)
	if len(data) != 3 || data[0] != string(chunk(3)) || data[2] != "[DONE]" {
		t.Errorf("resumed stream: %q", data)
	}
	var resumePoints []core.ResumePoint
	for _, ev := range r.coreEvents() {
		if rq, ok := ev.(core.CallerRequest); ok && rq.Resume != nil {
			resumePoints = append(resumePoints, *rq.Resume)
		}
	}
	if len(resumePoints) != 1 || resumePoints[0] != (core.ResumePoint{Endpoint: "engine", Stream: "stream", Offset: 2}) {
		t.Errorf("the core received %+v", resumePoints)
	}
}

// TestAttemptThatCannotGoOn dispatches attempts that do not continue what the caller has already received: a new stream
// after a part of another, and a stream that would leave a gap. They must be rejected without reaching the endpoint.
func TestAttemptThatCannotGoOn(t *testing.T) {
	for name, second := range map[string]core.Dispatch{
		"new stream": {Attempt: 2},
		"gap":        {Attempt: 2, Resume: true, Offset: 3},
	} {
		r := newHarness(t, DefaultConfig())
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
		r.onRun = sendEvents(2, 4)
		got := r.do(t, r.request(t, "POST", chatsPath, streamBody, nil))
		if data, _ := readEvents(t, got.body); len(data) != 3 || !strings.HasPrefix(data[2], "error") {
			t.Errorf("%s: %q", name, data)
		}
	}
}

func TestDocument(t *testing.T) {
	r := newHarness(t, DefaultConfig())
	attempts := 0 // accessed by the handler's goroutine only
	r.onEvent = func(ev core.Event) {
		switch ev := ev.(type) {
		case core.CallerRequest:
			r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 1})
		case core.AttemptLost:
			if ev.Offset != 0 {
				t.Errorf("the caller of a non-streaming completion was sent %d events", ev.Offset)
			}
			r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 2})
		case core.AttemptDone:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.Answered})
		}
	}
	r.onRun = func(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event {
		attempts++
		if !bytes.Contains(rq.Body, []byte(`"stream":true`)) {
			t.Errorf("the engine received %s", rq.Body)
		}
		if attempts == 1 {
			return sendEvents(2, 3)(ctx, d, rq, a)
		}
		return sendEvents(3, 3)(ctx, d, rq, a)
	}
	got := r.do(t, r.request(t, "POST", chatsPath, nonStreamingBody, nil))
	if got.status != 200 || !strings.Contains(got.body, `"content":"abc"`) || !strings.Contains(got.body, `"model":"m"`) {
		t.Errorf("%d %q", got.status, got.body)
	}
}

// TestServiceReplies sends service responses smaller and larger than the response buffer, complete and broken.
func TestServiceReplies(t *testing.T) {
	for name, tc := range map[string]struct {
		size     int
		complete bool
		check    func(clientResponse) bool
	}{
		"small":         {10, true, func(p clientResponse) bool { return p.status == 201 && len(p.body) == 10 && p.err == nil }},
		"large":         {responseBufferBytes + 10, true, func(p clientResponse) bool { return len(p.body) == responseBufferBytes+10 && p.err == nil }},
		"small, broken": {10, false, func(p clientResponse) bool { return p.status == 502 && strings.Contains(p.body, "unknown") }},
		"large, broken": {2 * responseBufferBytes, false, func(p clientResponse) bool { return p.err != nil }},
	} {
		r := newHarness(t, DefaultConfig())
		r.dispatchOnce(core.Dispatch{})
		r.onRun = func(_ context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event {
			if rq.Path != "/gates/4%2F5?day=2" || rq.Method != "PATCH" || string(rq.Body) != "x" || rq.Idempotent {
				t.Errorf("%s: the service received %+v", name, rq)
			}
			a.Head(d, 201, http.Header{"X-Own": {"v"}, "Connection": {"close"}, "X-Incarnation": {"1"}})
			for range tc.size / 10 {
				_ = a.Body([]byte("0123456789"))
			}
			_ = a.Body([]byte("0123456789")[:tc.size%10])
			if !tc.complete {
				return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset, Offset: a.Sent()}
			}
			_ = a.End(d)
			return core.AttemptDone{ID: d.ID, Attempt: d.Attempt, Status: 201}
		}
		got := r.do(t, r.request(t, "PATCH", "/services/gates/gates/4%2F5?day=2", "x", nil))
		if !tc.check(got) {
			t.Errorf("%s: %d, %d bytes, %v", name, got.status, len(got.body), got.err)
		}
		if lost, ok := r.coreEvents()[len(r.coreEvents())-1].(core.AttemptLost); ok && (lost.Offset > 0) != (tc.size > responseBufferBytes) {
			t.Errorf("%s: AttemptLost has offset %d", name, lost.Offset)
		}
		if tc.complete && (got.header.Get("X-Own") != "v" || got.header.Get("X-Incarnation") != "") {
			t.Errorf("%s: headers %v", name, got.header)
		}
	}
}

// TestFinishes checks the responses to requests that the core finishes without an attempt.
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
		r := newHarness(t, DefaultConfig())
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
	r := newHarness(t, DefaultConfig())
	reason := core.ReasonNone
	r.onEvent = func(ev core.Event) {
		rq := ev.(core.TicketRequest)
		r.IssueTickets(core.TicketReply{ID: rq.ID, Tickets: make([]string, rq.Count), TTL: 90e9, Reason: reason})
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
