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

// rig is a server between a scripted core and a scripted endpoint.
type rig struct {
	*Server
	url    string
	client *http.Client

	// onEvent plays the core. It runs on a goroutine of its own, in order of the events.
	onEvent func(core.Event)
	// onRun plays the endpoint. It runs on the handler's goroutine.
	onRun func(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event

	events    chan core.Event
	cancelled chan string // streams that the endpoint was told to stop

	mu   sync.Mutex
	seen []core.Event
}

func newRig(t *testing.T, cfg Config) *rig {
	r := &rig{
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
			r.seen = append(r.seen, ev)
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

// told returns the events that the core was given so far.
func (r *rig) told() []core.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]core.Event(nil), r.seen...)
}

// Run implements Runner.
func (r *rig) Run(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink, started func(core.AttemptStarted)) core.Event {
	started(core.AttemptStarted{ID: d.ID, Attempt: d.Attempt})
	return r.onRun(ctx, d, rq, a)
}

// CancelStream implements Runner.
func (r *rig) CancelStream(_ context.Context, _, stream string) error {
	r.cancelled <- stream
	return nil
}

// answering plays a core that dispatches once and finishes with the attempt's end.
func (r *rig) answering(d core.Dispatch) {
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

func (r *rig) request(t *testing.T, method, path, body string, header http.Header) *http.Request {
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

// reply is a response that was read to its end.
type readReply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (r *rig) do(t *testing.T, rq *http.Request) readReply {
	t.Helper()
	resp, err := r.client.Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return readReply{resp.StatusCode, resp.Header, string(b), err}
}

func (p readReply) problem(t *testing.T) problem {
	t.Helper()
	var out problem
	if err := json.Unmarshal([]byte(p.body), &out); err != nil || p.header.Get("Content-Type") != problemMediaType {
		t.Fatalf("no problem document: %d %q (%v)", p.status, p.body, err)
	}
	return out
}

// streamOf plays an engine that sends events from the dispatch's offset on, up to
// last, and the end marker after the whole.
func streamOf(last, whole uint64) func(context.Context, core.Dispatch, *upstream.Request, upstream.ResponseSink) core.Event {
	return func(_ context.Context, d core.Dispatch, _ *upstream.Request, a upstream.ResponseSink) core.Event {
		for n := d.Offset + 1; n <= last; n++ {
			if err := a.Event(d, n, chunk(n)); err != nil {
				return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseProtocol, Offset: a.Sent()}
			}
		}
		if last < whole {
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

const documentBody = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`
