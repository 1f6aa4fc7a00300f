package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// TestProcessThatWasHeldUpReadsBeforeItGivesUp guards against giving up attempts right after this process was held up,
// while events of theirs wait to be read.
func TestProcessThatWasHeldUpReadsBeforeItGivesUp(t *testing.T) {
	ts := startTestServer(t, nil)
	c := &call{s: ts.server, admission: control.Admission{Service: "s", Route: &urgentConfig().Routes[3]}}
	var p control.Placement
	ts.control.Do(func(st *control.State, now boottime.Instant) { p = st.Place(now, c.placementRequest(false)) })
	c.triedEndpoints = append(c.triedEndpoints, p.Attempt.Endpoint)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	w := newWatchdog(&attempt{call: c, placed: p.Attempt}, cancel)
	defer w.stop()
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
