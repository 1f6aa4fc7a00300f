package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TestRequestThatCannotBeServedAnyMoreIsNotHeld: the attempts are used up, and the endpoint that was given up has left.
func TestRequestThatCannotBeServedAnyMoreIsNotHeld(t *testing.T) {
	var ts *testServer
	ts = startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
		if n == 1 {
			time.Sleep(1500 * time.Millisecond)
			return
		}
		_, _, reached := ts.received()
		ts.control.Do(func(st *control.State, now boottime.Instant) {
			// the first endpoint says that it leaves: final for its incarnation
			p := st.Place(now, control.PlacementRequest{Service: "s", Among: []fleet.EndpointID{fleet.EndpointID(reached[0])}})
			if p.Attempt != nil {
				st.ReportLeaving(now, p.Attempt)
				st.AttemptEnded(now, p.Attempt, control.Cancelled)
			}
		})
		resetConn(c)
	})
	ts.publishUrgentConfig()
	start := time.Now()
	g := ts.send("POST", "idempotent", "", "X-Wait-Ms", "4000")
	t.Logf("status %d after %v, %v", g.status, time.Since(start), g.err)
	if d := time.Since(start); d > 2500*time.Millisecond {
		t.Errorf("held for %v although no further attempt was possible", d)
	}
}
