package ingress

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// faultyControl is a Control that panics at one of its calls.
type faultyControl struct {
	next      Control
	remaining int // calls before the one that panics
}

// Do implements Control.
func (c *faultyControl) Do(f func(*control.State, boottime.Instant)) {
	if c.remaining == 0 {
		c.next.Do(f)
		panic("a fault")
	}
	c.remaining--
	c.next.Do(f)
}

// TestPanicBeforeTheAnswerGetsA500 guards against a connection that is closed without an answer.
func TestPanicBeforeTheAnswerGetsA500(t *testing.T) {
	for _, remaining := range []int{0, 1} {
		ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
		ts.server.control = &faultyControl{next: ts.control, remaining: remaining}
		if got := ts.send("GET", "idempotent", ""); got.status != http.StatusInternalServerError || got.header.Get("X-Stamp") != "" {
			t.Errorf("panic at call %d: status %d, header %v, error %v, want 500", remaining, got.status, got.header, got.err)
		}
	}
}

// TestPanicInsideAStreamCutsIt guards against a stream that looks complete.
func TestPanicInsideAStreamCutsIt(t *testing.T) {
	reached := make(chan struct{})
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		writeEvents(c, 1, 1)
		<-reached
		resetConn(c)
	})
	ts.server.control = &faultyControl{next: ts.control, remaining: 3} // admitted, placed, head received
	close(reached)
	if got := ts.send("GET", "stream", ""); got.err == nil {
		t.Errorf("status %d, body %q, want an incomplete answer", got.status, got.body)
	}
}

// TestEndCauses checks the cause of a begun stream's end for each reason that rules out a further attempt.
func TestEndCauses(t *testing.T) {
	for reason, want := range map[control.Reason]EndCause{
		control.ReasonNoEndpoint:    EndNoEndpoint,
		control.ReasonNoConfig:      EndNoEndpoint,
		control.ReasonStale:         EndNoEndpoint,
		control.ReasonRetryBudget:   EndRetryBudget,
		control.ReasonOriginUnknown: EndOriginUnknown,
		control.ReasonVersionGone:   EndOriginUnknown,
		control.ReasonMayHaveRun:    EndEndpointBroke,
		control.ReasonRefused:       EndEndpointBroke,
		control.ReasonStopping:      EndGracePeriod,
	} {
		if got := endCauseOf(reason); got != want {
			t.Errorf("%v: cause %v, want %v", reason, got, want)
		}
	}
}

// TestEndsAreCountedByCause checks the cause under which each way to end a caller's connection is counted.
func TestEndsAreCountedByCause(t *testing.T) {
	for name, tc := range map[string]struct {
		end    func(ts *testServer, caller, endpoint net.Conn) // once a stream has begun
		header string
		cause  EndCause
	}{
		"the caller leaves":           {func(_ *testServer, caller, _ net.Conn) { _ = caller.Close() }, "", EndCallerLeft},
		"the endpoint breaks off":     {func(_ *testServer, _, endpoint net.Conn) { resetConn(endpoint) }, "", EndEndpointBroke},
		"the deadline passes":         {func(*testServer, net.Conn, net.Conn) {}, "X-Wait-Ms: 200\r\n", EndDeadline},
		"the grace period ends":       {func(ts *testServer, _, _ net.Conn) { ts.server.Drain(time.Now(), time.Now()) }, "", EndGracePeriod},
		"the process ends by a fault": {func(ts *testServer, _, _ net.Conn) { ts.server.Close(EndProcess) }, "", EndProcess},
	} {
		t.Run(name, func(t *testing.T) {
			endpoints, ended := make(chan net.Conn, 1), make(chan struct{})
			defer close(ended)
			ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
				writeStreamHead(c)
				writeEvents(c, 1, 1)
				endpoints <- c
				<-ended
			})
			scope := tally.NewTestScope("", nil)
			ts.server.meter = NewMeter(scope)
			caller := ts.dial()
			caller.send(t, rawHead("stream", 0, tc.header))
			if _, err := caller.r.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			tc.end(ts, caller.Conn, <-endpoints)
			want := "gateway.callers_ended+cause=" + tc.cause.String()
			deadline := time.Now().Add(5 * time.Second)
			for time.Now().Before(deadline) && scope.Snapshot().Counters()[want] == nil {
				time.Sleep(time.Millisecond)
			}
			if got := scope.Snapshot().Counters()[want]; got == nil || got.Value() != 1 {
				t.Errorf("counters %v, want one %s", scope.Snapshot().Counters(), want)
			}
		})
	}
}

// TestExpiredRequestsDoNotMarkEndpointsDown guards against endpoints that count as unreachable because a request's own
// deadline ended the connection attempt.
func TestExpiredRequestsDoNotMarkEndpointsDown(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
	slow := slowControl{ts.control, 3 * time.Millisecond}
	ts.server.control = slow
	for range 6 { // twice the number of endpoints
		if got := ts.send("POST", "idempotent", "", "X-Wait-Ms", "1"); got.status != http.StatusGatewayTimeout {
			t.Errorf("a request whose deadline has passed: status %d, error %v, want 504", got.status, got.err)
		}
	}
	if got := ts.send("POST", "idempotent", ""); got.status != http.StatusOK {
		t.Errorf("the next request: status %d, error %v, want 200", got.status, got.err)
	}
}

// TestDeadlineBeforeTheBodyIsAnswered guards against a deadline that passes before the body is read and ends the
// caller's connection, as if the caller had left.
func TestDeadlineBeforeTheBodyIsAnswered(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
	ts.server.control = slowControl{ts.control, 2 * time.Millisecond}
	for _, body := range []string{"", "body"} {
		for range 30 {
			if got := ts.send("POST", "idempotent", body, "X-Wait-Ms", "1"); got.status != http.StatusGatewayTimeout {
				t.Errorf("body %q: status %d, error %v, want 504", body, got.status, got.err)
			}
		}
	}
}

// deadlineRecorder records the read deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines int
}

// SetReadDeadline is used by http.ResponseController.
func (d *deadlineRecorder) SetReadDeadline(time.Time) error {
	d.deadlines++
	return nil
}

// TestRequestWithoutBodyHasNoReadDeadline guards against a deadline that net/http takes for the caller's leaving: it
// reads already from the connection of a request without a body.
func TestRequestWithoutBodyHasNoReadDeadline(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
	for _, path := range []string{"/idempotent/x", "/nowhere/x"} {
		r := httptest.NewRequest("GET", path, nil)
		r.Host = "h"
		r.Header.Set("X-Id", "id-1")
		r.Header.Set("X-Key", "key")
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		ts.server.ServeHTTP(w, r)
		if w.deadlines != 0 {
			t.Errorf("%s: status %d, %d read deadlines were set", path, w.Code, w.deadlines)
		}
	}
}
