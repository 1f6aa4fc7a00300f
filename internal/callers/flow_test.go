package callers

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
)

// waitForCancel simulates an endpoint that never responds.
func waitForCancel(ctx context.Context, d core.Dispatch, _ *upstream.Request, sink upstream.ResponseSink) core.Event {
	<-ctx.Done()
	cause := core.CauseReset
	if errors.Is(context.Cause(ctx), upstream.ErrCancelled) {
		cause = core.CauseCancelled
	}
	return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: cause, Offset: sink.Sent()}
}

// TestFinishDoesNotWaitForAttempt finishes a request while its endpoint does not respond. The
// caller must get the final response at once, and the core must still get the end of the attempt.
func TestFinishDoesNotWaitForAttempt(t *testing.T) {
	r := newHarness(t, DefaultConfig())
	ended := make(chan core.Event, 1)
	r.onRun = waitForCancel
	r.onEvent = func(ev core.Event) {
		switch ev := ev.(type) {
		case core.CallerRequest:
			r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 1})
		case core.AttemptStarted:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.Unknown, Reason: core.ReasonDeadline})
		case core.AttemptLost:
			ended <- ev
		}
	}
	got := r.do(t, r.request(t, "POST", "/services/b/x", "", nil))
	if p := got.problem(t); got.status != 504 || p.Outcome != "unknown" {
		t.Errorf("%d %+v", got.status, p)
	}
	if ev := (<-ended).(core.AttemptLost); ev.Cause != core.CauseCancelled {
		t.Errorf("the attempt ended with %+v", ev)
	}
}

// TestCallerGoes closes the caller's connection in the middle of a stream. The attempt must
// continue until the core cancels it, and the engine must be requested to cancel the stream.
func TestCallerGoes(t *testing.T) {
	r := newHarness(t, DefaultConfig())
	ended := make(chan core.Event, 1)
	gone := make(chan struct{})
	r.onRun = func(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event {
		_ = a.Event(d, 1, chunk(1))
		<-gone
		if ctx.Err() != nil {
			t.Error("the attempt was cancelled before the core cancelled it")
		}
		for n := uint64(2); n < 100; n++ {
			_ = a.Event(d, n, chunk(n))
		}
		r.CancelAttempt(core.CancelAttempt{ID: d.ID, Attempt: 1, Kind: fleet.Engine, Stream: "stream"})
		return waitForCancel(ctx, d, rq, a)
	}
	r.onEvent = func(ev core.Event) {
		switch ev := ev.(type) {
		case core.CallerRequest:
			r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 1, Stream: "stream"})
		case core.CallerGone:
			close(gone) // panics if the event is posted twice
		case core.AttemptLost:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.Unknown, Reason: core.ReasonCallerGone})
			ended <- ev
		}
	}
	ctx, disconnect := context.WithCancel(context.Background())
	resp, err := r.client.Do(r.request(t, "POST", chatsPath, streamBody, nil).WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	disconnect()
	resp.Body.Close()
	if ev := (<-ended).(core.AttemptLost); ev.Offset != 99 || ev.Cause != core.CauseCancelled {
		t.Errorf("the attempt ended with %+v", ev)
	}
	if stream := <-r.cancelled; stream != "stream" {
		t.Errorf("the engine was asked to cancel stream %q", stream)
	}
}

// TestRequestsInProgressAreBounded keeps one request open, at a limit of one, and sends another, which must be rejected.
func TestRequestsInProgressAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxRequests = 1
	r := newHarness(t, cfg)
	arrived := make(chan fleet.RequestID, 2)
	r.onEvent = func(ev core.Event) {
		if rq, ok := ev.(core.CallerRequest); ok {
			arrived <- rq.ID
		}
	}
	first := make(chan int)
	go func() {
		resp, err := r.client.Do(r.request(t, "GET", "/services/b/x", "", nil))
		if err != nil {
			t.Error(err)
			close(first)
			return
		}
		resp.Body.Close()
		first <- resp.StatusCode
	}()
	id := <-arrived
	got := r.do(t, r.request(t, "GET", "/services/b/x", "", nil))
	if p := got.problem(t); p.Reason != core.ReasonOverloaded || got.header.Get("Retry-After") != "1" {
		t.Errorf("second request: %+v", p)
	}
	r.Finish(core.Finish{ID: id, Outcome: core.NotRun, Reason: core.ReasonNoEndpoint})
	if status := <-first; status != http.StatusServiceUnavailable {
		t.Errorf("first request: status %d", status)
	}
	if len(arrived) != 0 || r.InProgress() != 0 {
		t.Errorf("%d requests reached the core, %d are in progress", 1+len(arrived), r.InProgress())
	}
}

// TestDispatchWithoutCaller dispatches an attempt of a request that is not in progress. The core must get the
// attempt's end, or it would wait for it indefinitely.
func TestDispatchWithoutCaller(t *testing.T) {
	r := newHarness(t, DefaultConfig())
	ended := make(chan core.Event, 1)
	r.onEvent = func(ev core.Event) { ended <- ev }
	r.Dispatch(core.Dispatch{ID: "nobody", Attempt: 3})
	want := core.AttemptNotSent{ID: "nobody", Attempt: 3, Cause: core.CauseCancelled}
	if ev := <-ended; ev != want {
		t.Errorf("got %+v, want %+v", ev, want)
	}
}

// TestExchangeCancelsTheRightAttempt interleaves starts, cancellations and finishes at random. The context of the
// latest attempt must be cancelled if and only if the attempt was cancelled or the request finished.
func TestExchangeCancelsTheRightAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newExchange("r")
		running := map[uint32]context.Context{}
		cancelledBelow := uint32(0) // attempts with a lower number are cancelled
		finished := false
		next := uint32(0)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"start", "cancel", "finish"}).Draw(t, "step") {
			case "start":
				running[next], _ = x.startAttempt(next)
				next++
			case "cancel":
				n := rapid.Uint32Range(0, next).Draw(t, "attempt")
				x.cancelAttempt(n)
				cancelledBelow = max(cancelledBelow, n+1)
			case "finish":
				x.finish()
				finished = true
			}
			if next == 0 {
				continue
			}
			last := next - 1
			want := finished || last < cancelledBelow
			if got := running[last].Err() != nil; got != want {
				t.Fatalf("attempt %d is cancelled: %v, want %v", last, got, want)
			}
		}
	})
}

// TestRequestPrecedesItsCallersGoing serves a request whose caller has already disconnected. The core ignores
// events of unknown requests, so CallerGone must be posted after CallerRequest.
func TestRequestPrecedesItsCallersGoing(t *testing.T) {
	r := newHarness(t, DefaultConfig())
	posted := make(chan core.Event, 2)
	r.onEvent = func(ev core.Event) {
		posted <- ev
		if gone, ok := ev.(core.CallerGone); ok {
			r.Finish(core.Finish{ID: gone.ID, Outcome: core.NotRun, Reason: core.ReasonCallerGone})
		}
	}
	ctx, disconnect := context.WithCancel(context.Background())
	disconnect()
	x := r.exchanges.add("gone")
	rq := r.request(t, "POST", chatsPath, "", nil).WithContext(ctx)
	out := newResponder(r.Server, httptest.NewRecorder(), x)
	r.serve(rq, x, core.CallerRequest{ID: "gone"}, nil, &streamResponse{responder: out})
	if first, ok := (<-posted).(core.CallerRequest); !ok {
		t.Errorf("the first event posted is %T", first)
	}
}
