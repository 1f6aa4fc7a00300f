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

// TestSlowStreamIsNotCutWithoutAnAlternative guards against cutting off a sound stream that pauses for longer than the hang
// timeout while no other endpoint can continue it.
func TestSlowStreamIsNotCutWithoutAnAlternative(t *testing.T) {
	for name, versions := range map[string][]fleet.SoftwareVersion{
		"one endpoint":                 {"v1"},
		"others of another version":    {"v1", "v2", "v3"},
		"an alternative is resumed at": {"v1", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ts := startTestServer(t, func(_ int, c net.Conn, r *http.Request) {
				writeStreamHead(c)
				from := 1
				if r.Header.Get("X-After") == "2" {
					from = 3
				}
				writeEvents(c, from, 2)
				if from == 1 {
					time.Sleep(5 * time.Second) // the hang timeout of the route is 4 s
					from = 3
				}
				writeEvents(c, from, 4)
				endChunkedBody(c)
			}, versions...)
			got := ts.send("POST", "resumable", "")
			if got.err != nil || got.body != eventsText(1, 4) {
				t.Errorf("got %q, %v", got.body, got.err)
			}
			want := 1
			if name == "an alternative is resumed at" {
				want = 2
			}
			if n := ts.arrivals(); n != want {
				t.Errorf("%d attempts, want %d", n, want)
			}
		})
	}
}

// TestFlowingStreamSurvivesAFailedConnection guards against starting running streams again elsewhere because one other
// connection to their endpoint got no reply in time.
func TestFlowingStreamSurvivesAFailedConnection(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		for n := 1; n <= 20; n++ {
			writeEvents(c, n, n)
			time.Sleep(50 * time.Millisecond)
		}
		endChunkedBody(c)
	})
	time.AfterFunc(300*time.Millisecond, func() {
		_, _, reached := ts.received()
		ts.control.Do(func(s *control.State, now boottime.Instant) {
			s.ProbeDone(now, fleet.EndpointID(reached[0]), control.ProbeTimedOut)
		})
	})
	got := ts.send("POST", "resumable", "")
	if got.err != nil || got.body != eventsText(1, 20) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
	if n := ts.arrivals(); n != 1 {
		t.Errorf("%d attempts of a stream whose events kept arriving, want 1", n)
	}
}

// TestSilentStreamOfUnreachableEndpointIsResumed guards against waiting for the hang timeout after the endpoint of a stream
// has become unreachable.
func TestSilentStreamOfUnreachableEndpointIsResumed(t *testing.T) {
	ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		if n == 1 {
			writeEvents(c, 1, 2)
			time.Sleep(3 * time.Second)
			return
		}
		writeEvents(c, 3, 4)
		endChunkedBody(c)
	})
	time.AfterFunc(300*time.Millisecond, func() {
		_, _, reached := ts.received()
		ts.control.Do(func(s *control.State, now boottime.Instant) {
			s.ProbeDone(now, fleet.EndpointID(reached[0]), control.ProbeTimedOut)
		})
	})
	start := time.Now()
	got := ts.send("POST", "resumable", "")
	if got.err != nil || got.body != eventsText(1, 4) || time.Since(start) > 2*time.Second {
		t.Errorf("got %q, %v after %v", got.body, got.err, time.Since(start))
	}
}

// TestTricklingResponseIsGivenUp guards against counting bytes that are no progress, a body's or a stream's comments, as
// signs of life of an endpoint that hangs.
func TestTricklingResponseIsGivenUp(t *testing.T) {
	for _, route := range []string{"idempotent", "resumable"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			ts := startTestServer(t, func(n int, c net.Conn, r *http.Request) {
				if route == "idempotent" {
					writeStampedHead(c, 200, "Transfer-Encoding: chunked")
				} else {
					writeStreamHead(c)
				}
				for range 50 { // 5 s, or until the connection is closed
					if n > 1 {
						break
					}
					writeChunk(c, ":\n\n")
					time.Sleep(100 * time.Millisecond)
				}
				writeEvents(c, 1, 3)
				endChunkedBody(c)
			})
			ts.publishUrgentConfig()
			start := time.Now()
			got := ts.send("POST", route, "")
			if got.err != nil || got.body != eventsText(1, 3) || time.Since(start) > 2*time.Second {
				t.Errorf("got %q, %v after %v", got.body, got.err, time.Since(start))
			}
		})
	}
}

// TestHangingStreamIsGivenUpInTime guards against giving a stream up later than at the hang timeout after its last event.
func TestHangingStreamIsGivenUpInTime(t *testing.T) {
	var eventAt, retriedAt time.Time
	ts := startTestServer(t, func(n int, c net.Conn, r *http.Request) {
		if n == 2 {
			retriedAt = time.Now()
		}
		writeStreamHead(c)
		if n == 1 {
			eventAt = time.Now()
			writeEvents(c, 1, 1)
			time.Sleep(2 * time.Second)
			return
		}
		writeEvents(c, 2, 3)
		endChunkedBody(c)
	})
	ts.publishUrgentConfig()
	if got := ts.send("POST", "resumable", ""); got.err != nil || got.body != eventsText(1, 3) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
	if d := retriedAt.Sub(eventAt); d < minHangTimeout || d > minHangTimeout+maxCheckDelay {
		t.Errorf("given up after %v, want %v", d, minHangTimeout)
	}
}
