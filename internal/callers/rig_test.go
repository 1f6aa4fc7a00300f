package callers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/resume"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// harness runs a Server between a simulated core and a simulated endpoint.
type harness struct {
	*Server
	url    string
	client *http.Client

	// onEvent simulates the core. It is called on a goroutine of its own, in the order of the events.
	onEvent func(core.Event)
	// onRun simulates the endpoint. It is called on the handler's goroutine.
	onRun func(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event

	events    chan core.Event
	cancelled chan string // streams that the endpoint was requested to cancel

	mu     sync.Mutex
	posted []core.Event
}

func newHarness(t *testing.T, cfg Config) *harness {
	r := &harness{
		client:    &http.Client{Transport: &http.Transport{}},
		events:    make(chan core.Event, 64),
		cancelled: make(chan string, 64),
	}
	r.onEvent = func(core.Event) {}
	r.Server = New(cfg, func(ev core.Event) { r.events <- ev }, r, resume.NewCodec([]byte("secret")))
	ts := httptest.NewServer(r.Handler())
	r.url = ts.URL
	var wg sync.WaitGroup
	wg.Go(func() {
		for ev := range r.events {
			r.mu.Lock()
			r.posted = append(r.posted, ev)
			r.mu.Unlock()
			r.onEvent(ev)
		}
	})
	t.Cleanup(func() {
		ts.Close()
		r.client.CloseIdleConnections()
		close(r.events)
		wg.Wait()
	})
	return r
}

// coreEvents returns the events posted to the core so far.
func (r *harness) coreEvents() []core.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]core.Event(nil), r.posted...)
}

// Run implements Runner.
func (r *harness) Run(ctx context.Context, d core.Dispatch, rq *upstream.Request, sink upstream.ResponseSink, started func(core.AttemptStarted)) core.Event {
	started(core.AttemptStarted{ID: d.ID, Attempt: d.Attempt})
	return r.onRun(ctx, d, rq, sink)
}

// CancelStream implements Runner.
func (r *harness) CancelStream(_ context.Context, _, stream string) error {
	r.cancelled <- stream
	return nil
}

// dispatchOnce simulates a core that dispatches one attempt per request and finishes the request when the attempt ends.
func (r *harness) dispatchOnce(d core.Dispatch) {
	r.onEvent = func(ev core.Event) {
		switch ev := ev.(type) {
		case core.CallerRequest:
			d.ID = ev.ID
			r.Dispatch(d)
		case core.AttemptDone:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.Answered})
		case core.AttemptLost:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.Unknown, Reason: core.ReasonStreamLost})
		case core.AttemptNotSent:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.NotRun, Reason: core.ReasonEndpointFailed})
		}
	}
}

func (r *harness) request(t *testing.T, method, path, body string, header http.Header) *http.Request {
	t.Helper()
	rq, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	rq.Header.Set("Authorization", "Bearer key")
	for name, values := range header {
		rq.Header[name] = values
	}
	return rq
}

// clientResponse is a response that the client has read to its end.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (r *harness) do(t *testing.T, rq *http.Request) clientResponse {
	t.Helper()
	resp, err := r.client.Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return clientResponse{resp.StatusCode, resp.Header, string(b), err}
}

func (p clientResponse) problem(t *testing.T) problem {
	t.Helper()
	var out problem
	if err := json.Unmarshal([]byte(p.body), &out); err != nil || p.header.Get("Content-Type") != problemMediaType {
		t.Fatalf("no problem document: %d %q (%v)", p.status, p.body, err)
	}
	return out
}

// sendEvents simulates an engine that sends the events after the dispatch's offset, up to last.
// If last is less than total the connection breaks; otherwise the stream ends.
func sendEvents(last, total uint64) func(context.Context, core.Dispatch, *upstream.Request, upstream.ResponseSink) core.Event {
	return func(_ context.Context, d core.Dispatch, _ *upstream.Request, a upstream.ResponseSink) core.Event {
		for n := d.Offset + 1; n <= last; n++ {
			if err := a.Event(d, n, chunk(n)); err != nil {
				return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseProtocol, Offset: a.Sent()}
			}
		}
		if last < total {
			return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset, Offset: a.Sent()}
		}
		if err := a.End(d); err != nil {
			return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseProtocol, Offset: a.Sent()}
		}
		return core.AttemptDone{ID: d.ID, Attempt: d.Attempt, Status: http.StatusOK}
	}
}

func chunk(n uint64) []byte {
	return []byte(`{"id":"c","model":"m","choices":[{"index":0,"delta":{"content":"` + string(rune('a'+n-1)) + `"}}]}`)
}

const streamBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`

const nonStreamingBody = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
