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

// untilCancelled plays an endpoint that never answers.
func untilCancelled(ctx context.Context, d core.Dispatch, _ *upstream.Request, a upstream.ResponseSink) core.Event {
	<-ctx.Done()
	cause := core.CauseReset
	if errors.Is(context.Cause(ctx), upstream.ErrCancelled) {
		cause = core.CauseCancelled
	}
	return core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: cause, Offset: a.Sent()}
}

// TestFinishDoesNotWaitForAttempt answers while the endpoint is silent, and still
// reports the end of the attempt to the core.
func TestFinishDoesNotWaitForAttempt(t *testing.T) {
	r := newRig(t, DefaultConfig())
	ended := make(chan core.Event, 1)
	r.onRun = untilCancelled
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

// TestCallerGoes closes the caller's connection in the middle of a stream. The
// attempt goes on until the core cancels it, and the engine is told to stop.
func TestCallerGoes(t *testing.T) {
	r := newRig(t, DefaultConfig())
	ended := make(chan core.Event, 1)
	gone := make(chan struct{})
	r.onRun = func(ctx context.Context, d core.Dispatch, rq *upstream.Request, a upstream.ResponseSink) core.Event {
		_ = a.Event(d, 1, chunk(1))
		<-gone
		if ctx.Err() != nil {
			t.Error("the attempt was cancelled without the core's order")
		}
		for n := uint64(2); n < 100; n++ {
			_ = a.Event(d, n, chunk(n))
		}
		r.CancelAttempt(core.CancelAttempt{ID: d.ID, Attempt: 1, Kind: fleet.Engine, Stream: "stream"})
		return untilCancelled(ctx, d, rq, a)
	}
	r.onEvent = func(ev core.Event) {
		switch ev := ev.(type) {
		case core.CallerRequest:
			r.Dispatch(core.Dispatch{ID: ev.ID, Attempt: 1, Stream: "stream"})
		case core.CallerGone:
			close(gone) // panics when it is told twice
		case core.AttemptLost:
			r.Finish(core.Finish{ID: ev.ID, Outcome: core.Unknown, Reason: core.ReasonCallerGone})
			ended <- ev
		}
	}
	ctx, leave := context.WithCancel(context.Background())
	resp, err := r.client.Do(r.request(t, "POST", chatsPath, streamBody, nil).WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	leave()
	resp.Body.Close()
	if ev := (<-ended).(core.AttemptLost); ev.Offset != 99 || ev.Cause != core.CauseCancelled {
		t.Errorf("the attempt ended with %+v", ev)
	}
	if stream := <-r.cancelled; stream != "stream" {
		t.Errorf("the engine was told to stop %q", stream)
	}
}

// TestRequestsInProgressAreBounded holds one request open and sends another.
func TestRequestsInProgressAreBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxRequests = 1
	r := newRig(t, cfg)
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

// TestDispatchWithoutCaller must not leave the core waiting for the attempt's end.
func TestDispatchWithoutCaller(t *testing.T) {
	r := newRig(t, DefaultConfig())
	ended := make(chan core.Event, 1)
	r.onEvent = func(ev core.Event) { ended <- ev }
	r.Dispatch(core.Dispatch{ID: "nobody", Attempt: 3})
	want := core.AttemptNotSent{ID: "nobody", Attempt: 3, Cause: core.CauseCancelled}
	if ev := <-ended; ev != want {
		t.Errorf("got %+v, want %+v", ev, want)
	}
}

// TestExchangeCancelsTheRightAttempt interleaves starts and cancellations.
func TestExchangeCancelsTheRightAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newExchange("r")
		running := map[uint32]context.Context{}
		barred := uint32(0) // attempts below are cancelled
		finished := false
		next := uint32(0)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"start", "cancel", "finish"}).Draw(t, "step") {
			case "start":
				running[next], _ = x.start(next)
				next++
			case "cancel":
				n := rapid.Uint32Range(0, next).Draw(t, "attempt")
				x.cancelAttempt(n)
				barred = max(barred, n+1)
			case "finish":
				x.finish()
				finished = true
			}
			if next == 0 {
				continue
			}
			last := next - 1
			want := finished || last < barred
			if got := running[last].Err() != nil; got != want {
				t.Fatalf("attempt %d is cancelled: %v, want %v", last, got, want)
			}
		}
	})
}

// TestRequestPrecedesItsCallersGoing: the core forgets what it is told of a request
// that it does not know.
func TestRequestPrecedesItsCallersGoing(t *testing.T) {
	r := newRig(t, DefaultConfig())
	told := make(chan core.Event, 2)
	r.onEvent = func(ev core.Event) {
		told <- ev
		if gone, ok := ev.(core.CallerGone); ok {
			r.Finish(core.Finish{ID: gone.ID, Outcome: core.NotRun, Reason: core.ReasonCallerGone})
		}
	}
	ctx, leave := context.WithCancel(context.Background())
	leave()
	x := r.exchanges.add("gone")
	rq := r.request(t, "POST", chatsPath, "", nil).WithContext(ctx)
	out := newResponder(r.Server, httptest.NewRecorder(), x)
	r.serve(rq, x, core.CallerRequest{ID: "gone"}, nil, &streamAnswer{responder: out})
	if first, ok := (<-told).(core.CallerRequest); !ok {
		t.Errorf("the core was told %T first", first)
	}
}
