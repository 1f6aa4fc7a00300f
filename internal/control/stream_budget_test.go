package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
)

// TestRetryOfAStreamOfUnknownVersionUsesNoBudget guards against using up the retry budget for retries that are not made.
func TestRetryOfAStreamOfUnknownVersionUsesNoBudget(t *testing.T) {
	w, st := oneGateway(t, 3, 6)
	a := silentAttempt(t, w, time.Second)
	a.Retry.Stream = "stream-without-a-proven-record"
	for range 5 {
		if r := st.GiveUp(w.Now(), a); r != nil {
			t.Fatalf("given up for %s", r.Attempt.Endpoint)
		}
		if p := st.PlaceRetry(w.Now(), a.Retry, control.ResponseBroken); p.Reason != control.ReasonOriginUnknown {
			t.Errorf("reason %v", p.Reason)
		}
	}
	if inFlight, retries := usedBy(st, w.Now()); inFlight != 1 || retries != 0 {
		t.Errorf("%d requests in flight and %d retries counted, want 1 and 0", inFlight, retries)
	}
}
