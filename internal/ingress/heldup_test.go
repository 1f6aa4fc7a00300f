package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// watchAttempt returns the watchdog of an attempt of a resumable stream, and the context that it cancels.
func watchAttempt(t *testing.T) (*watchdog, context.Context) {
	ts := startTestServer(t, nil)
	c := &call{s: ts.server, admission: control.Admission{Service: "s", Route: &urgentConfig().Routes[3]}}
	var p control.Placement
	ts.control.Do(func(st *control.State, now boottime.Instant) { p = st.Place(now, c.placementRequest(false)) })
	c.triedEndpoints = append(c.triedEndpoints, p.Attempt.Endpoint)
	ctx, cancel := context.WithCancelCause(context.Background())
	w := newWatchdog(&attempt{call: c, placed: p.Attempt}, cancel)
	t.Cleanup(func() {
		w.stop()
		cancel(nil)
	})
	return w, ctx
}

// TestProcessThatWasHeldUpReadsBeforeItGivesUp guards against giving up attempts right after this process was held up,
// while events of theirs wait to be read.
func TestProcessThatWasHeldUpReadsBeforeItGivesUp(t *testing.T) {
	w, ctx := watchAttempt(t)
	holdUp := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lastProgress = w.lastProgress.Add(-2 * time.Second)
		w.nextCheck = w.nextCheck.Add(-2 * time.Second)
	}
	for range 2 {
		holdUp()
		w.check()
		if ctx.Err() != nil {
			t.Fatal("the attempt was given up by the first check after the process was held up")
		}
		if !w.progress(0) {
			t.Fatal("the event that had waited was not accepted")
		}
		w.forwarded()
	}
	holdUp()
	w.check()
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
		t.Error("the silent attempt was not given up after the process had been held up")
	}
}

// TestAttemptIsGivenUpInTimeAfterASlowWrite guards against giving a stream up later than at the hang timeout after its
// last event was written to the caller.
func TestAttemptIsGivenUpInTimeAfterASlowWrite(t *testing.T) {
	w, ctx := watchAttempt(t)
	w.progress(0)
	time.Sleep(20 * time.Millisecond)
	w.forwarded()
	start := time.Now()
	<-ctx.Done()
	if d := time.Since(start); d < minHangTimeout || d > minHangTimeout+maxCheckDelay {
		t.Errorf("given up after %v, want %v", d, minHangTimeout)
	}
}
