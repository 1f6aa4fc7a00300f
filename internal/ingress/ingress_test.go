package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TestAnswers runs requests against scripted endpoints and checks the response to the caller and
// how many endpoints the request reached. A request that may have run must not reach another
// endpoint unless its route allows that.
func TestAnswers(t *testing.T) {
	failFirst := func(first func(conn net.Conn)) responder {
		return func(n int, conn net.Conn, _ *http.Request) {
			if n == 1 {
				first(conn)
				return
			}
			writeCompleteResponse(conn, "good")
		}
	}
	truncated := func(conn net.Conn) {
		writeStampedHead(conn, 200, "Content-Length: 100")
		_, _ = io.WriteString(conn, "part")
	}
	notRun := func(conn net.Conn) { writeStampedHead(conn, 503, "X-Not-Run: 1", "Content-Length: 0") }
	for _, tc := range []struct {
		name     string
		route    string
		script   responder
		status   int
		body     string // "" matches any
		arrivals int
	}{
		{"complete", "non-idempotent", failFirst(func(c net.Conn) { writeCompleteResponse(c, "good") }), 200, "good", 1},
		{"extra bytes after the response", "non-idempotent", failFirst(func(c net.Conn) {
			writeCompleteResponse(c, "good")
			writeCompleteResponse(c, "of another request")
		}), 200, "good", 1},
		{"no length, clean end", "non-idempotent", failFirst(func(c net.Conn) {
			writeStampedHead(c, 200, "Connection: close")
			_, _ = io.WriteString(c, "good")
		}), 200, "good", 1},
		{"no length, reset", "non-idempotent", failFirst(func(c net.Conn) {
			writeStampedHead(c, 200, "Connection: close")
			_, _ = io.WriteString(c, "part")
			resetConn(c)
		}), 502, "", 1},
		{"truncated, idempotent", "idempotent", failFirst(truncated), 200, "good", 2},
		{"truncated, non-idempotent", "non-idempotent", failFirst(truncated), 502, "", 1},
		{"reset, idempotent", "idempotent", failFirst(resetConn), 200, "good", 2},
		{"reset, non-idempotent", "non-idempotent", failFirst(resetConn), 502, "", 1},
		{"no HTTP", "non-idempotent", failFirst(func(c net.Conn) { _, _ = io.WriteString(c, "\x00garbage\r\n\r\n") }), 502, "", 1},
		{"no stamp header", "non-idempotent", failFirst(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		}), 502, "", 1},
		{"response to another request", "non-idempotent", failFirst(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno")
		}), 502, "", 1},
		{"not run at the first endpoint", "non-idempotent", failFirst(notRun), 200, "good", 2},
		{"not run at any endpoint", "non-idempotent", func(_ int, c net.Conn, _ *http.Request) { notRun(c) }, 503, "", 3},
		{"truncated at every endpoint, may run at two", "idempotent", func(_ int, c net.Conn, _ *http.Request) { truncated(c) }, 502, "", 2},
		{"stream without an event", "stream", func(_ int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			endChunkedBody(c)
		}, 502, "", 1},
		{"address of another endpoint", "non-idempotent", failFirst(func(c net.Conn) {
			writeStampedHead(c, 421, "X-Endpoint: other", "Content-Length: 0")
		}), 200, "good", 2},
		{"failed, idempotent", "idempotent", failFirst(func(c net.Conn) { writeStampedHead(c, 500, "Content-Length: 0") }), 200, "good", 2},
		{"failed, non-idempotent", "non-idempotent", failFirst(func(c net.Conn) {
			writeStampedHead(c, 500, "Content-Length: 4")
			_, _ = io.WriteString(c, "oops")
		}), 500, "oops", 1},
		{"failed at every endpoint", "idempotent", func(n int, c net.Conn, _ *http.Request) {
			writeStampedHead(c, 500+n, "Content-Length: 4")
			_, _ = io.WriteString(c, "oops")
		}, 502, "oops", 2},
		{"error response to a non-idempotent request", "non-idempotent", failFirst(func(c net.Conn) { writeStampedHead(c, 400, "Content-Length: 0") }), 400, "", 1},
		{"interim response", "non-idempotent", failFirst(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			writeCompleteResponse(c, "good")
		}), 200, "good", 1},
		{"stream", "stream", func(_ int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeEvents(c, 1, 3)
			endChunkedBody(c)
		}, 200, eventsText(1, 3), 1},
		{"stream resumed at another endpoint", "resumable", func(n int, c net.Conn, r *http.Request) {
			writeStreamHead(c)
			if n == 1 {
				writeEvents(c, 1, 3)
				writeChunk(c, "id: 4\nda")
				resetConn(c)
				return
			}
			if r.Header.Get("X-After") != "3" {
				c.Close()
			}
			writeEvents(c, 4, 6)
			endChunkedBody(c)
		}, 200, eventsText(1, 6), 2},
		{"stream resumed after its first event", "resumable", func(n int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			if n == 1 {
				writeEvents(c, 1, 1)
				resetConn(c)
				return
			}
			writeEvents(c, 2, 2)
			endChunkedBody(c)
		}, 200, eventsText(1, 2), 2},
		{"stream without its first event", "resumable", func(n int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeEvents(c, 3-n, 2)
			endChunkedBody(c)
		}, 200, eventsText(1, 2), 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := startTestServer(t, tc.script)
			g := ts.send("POST", tc.route, "body")
			if g.status != tc.status || g.err != nil || tc.body != "" && g.body != tc.body {
				t.Errorf("got %d %q, %v", g.status, g.body, g.err)
			}
			if n := ts.arrivals(); n != tc.arrivals {
				t.Errorf("%d arrivals, want %d", n, tc.arrivals)
			}
			if retryAfter := g.header.Get("Retry-After"); (retryAfter != "") != (tc.status == 503) {
				t.Errorf("Retry-After %q with status %d", retryAfter, g.status)
			}
		})
	}
}

// TestIncompleteStreams checks that the caller gets an error at the end of an incomplete
// stream, and before it only the complete events in sequence.
func TestIncompleteStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		script responder
		body   string
	}{
		"reset": {func(_ int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeEvents(c, 1, 2)
			resetConn(c)
		}, eventsText(1, 2)},
		"end inside an event": {func(_ int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeEvents(c, 1, 2)
			writeChunk(c, "id: 3\ndata: pie")
			endChunkedBody(c)
		}, eventsText(1, 2)},
		"a missing event": {func(_ int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeEvents(c, 1, 2)
			writeEvents(c, 4, 4)
			endChunkedBody(c)
		}, eventsText(1, 2)},
		"an event twice": {func(_ int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeEvents(c, 1, 2)
			writeEvents(c, 2, 3)
			endChunkedBody(c)
		}, eventsText(1, 2)},
		"a failure, then a stream that breaks": {func(n int, c net.Conn, _ *http.Request) {
			if n == 1 {
				writeStampedHead(c, 500, "Content-Length: 4")
				_, _ = io.WriteString(c, "oops")
				return
			}
			writeStreamHead(c)
			writeEvents(c, 1, 2)
			resetConn(c)
		}, eventsText(1, 2)},
		"no end": {func(_ int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeEvents(c, 1, 2)
		}, eventsText(1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, tc.script)
			route, arrivals := "stream", 1
			if strings.HasPrefix(name, "a failure") {
				route, arrivals = "resumable", 2
			}
			if g := ts.send("POST", route, ""); g.err == nil || g.body != tc.body {
				t.Errorf("got %q, %v", g.body, g.err)
			}
			if n := ts.arrivals(); n != arrivals {
				t.Errorf("%d arrivals", n)
			}
		})
	}
}

// TestEventsAreNotHeldBack checks that each event is flushed to the caller at once, rather than
// buffered until the next one arrives.
func TestEventsAreNotHeldBack(t *testing.T) {
	seen := make(chan struct{})
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		for n := 1; n <= 3; n++ {
			writeEvents(c, n, n)
			<-seen
		}
		endChunkedBody(c)
	})
	r, _ := http.NewRequest("POST", ts.url+"/stream/x", nil)
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Key", "key")
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	buf := make([]byte, len(eventText(1)))
	for n := 1; n <= 3; n++ {
		if _, err := io.ReadFull(resp.Body, buf); err != nil || string(buf) != eventText(n) {
			t.Fatalf("event %d: %q, %v", n, buf, err)
		}
		seen <- struct{}{}
	}
}

// TestForwardedRequest checks the forwarded request: end-to-end headers are kept, hop-by-hop
// headers and the caller's key are removed, and headers that the gateway sets can't be forged.
func TestForwardedRequest(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
	ts.send("PUT", "idempotent", "body", "X-Other", "kept", "X-Expect", "forged", "X-Workspace", "forged", "Connection", "X-Hop", "X-Hop", "1", "X-Wait-Ms", "2000")
	requests, bodies, endpoints := ts.received()
	r := requests[0]
	if r.Method != "PUT" || r.RequestURI != "/idempotent/x?q=1" || r.Host != "h" || bodies[0] != "body" {
		t.Errorf("%s %s at %s with %q", r.Method, r.RequestURI, r.Host, bodies[0])
	}
	for name, want := range map[string]string{
		"X-Id": "id-1", "X-Other": "kept", "X-Expect": endpoints[0], "X-Workspace": "ws", "X-Key": "", "User-Agent": "Go-http-client/1.1",
	} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if left := r.Header.Get("X-Left-Ms"); len(left) != 4 || left > "2000" {
		t.Errorf("%s ms left of 2000", left)
	}
}

// TestTimeLeftShrinks checks that a second attempt is sent with the time that remains after the
// first one.
func TestTimeLeftShrinks(t *testing.T) {
	const firstAttempt = 50 * time.Millisecond
	ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
		if n == 1 {
			<-time.After(firstAttempt)
			resetConn(c)
			return
		}
		writeCompleteResponse(c, "good")
	})
	if g := ts.send("POST", "idempotent", "", "X-Wait-Ms", "20000"); g.status != 200 {
		t.Fatalf("got %d, %v", g.status, g.err)
	}
	requests, _, _ := ts.received()
	left, err := strconv.Atoi(requests[1].Header.Get("X-Left-Ms"))
	if err != nil || left > 20000-int(firstAttempt.Milliseconds()) {
		t.Errorf("%d ms left of 20000, %v after the first attempt", left, firstAttempt)
	}
}

// TestReusedAddress checks that an endpoint whose address now belongs to another endpoint gets
// no further requests until its entry changes.
func TestReusedAddress(t *testing.T) {
	misdirectedID := ""
	ts := startTestServer(t, func(n int, c net.Conn, r *http.Request) {
		if n == 1 {
			misdirectedID = r.Header.Get("X-Expect")
		}
		if r.Header.Get("X-Expect") == misdirectedID {
			writeStampedHead(c, 421, "X-Endpoint: other", "Content-Length: 0")
			return
		}
		writeCompleteResponse(c, "good")
	})
	for range 20 {
		if g := ts.send("POST", "non-idempotent", ""); g.status != 200 {
			t.Errorf("got %d, %v", g.status, g.err)
		}
	}
	reached := 0
	_, _, endpoints := ts.received()
	for _, e := range endpoints {
		if e == misdirectedID {
			reached++
		}
	}
	if reached != 1 {
		t.Errorf("%d requests reached the address of another endpoint, want 1", reached)
	}
	for _, e := range ts.control.s.Dump(boottime.Now()).Endpoints {
		if e.Usable == (string(e.ID) == misdirectedID) {
			t.Errorf("endpoint %s is usable: %t", e.ID, e.Usable)
		}
	}
}

// TestBrokenRequests checks that invalid requests are rejected with a 4xx status or 501 and never
// forwarded.
func TestBrokenRequests(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
	for name, tc := range map[string]struct {
		got    callerResult
		status int
	}{
		"no id":       {ts.send("POST", "non-idempotent", "", "X-Id", ""), 400},
		"unknown key": {ts.send("POST", "non-idempotent", "", "X-Key", "forged"), 401},
		"no route":    {ts.send("POST", "nowhere", ""), 404},
		"long body":   {ts.send("POST", "non-idempotent", strings.Repeat("x", 1001)), 413},
		"long header": {ts.send("POST", "non-idempotent", "", "X-Long", strings.Repeat("x", 2000)), 431},
		"huge header": {ts.send("POST", "non-idempotent", "", "X-Long", strings.Repeat("x", 2<<20)), 431},
	} {
		if tc.got.status != tc.status {
			t.Errorf("%s: %d, %v, want %d", name, tc.got.status, tc.got.err, tc.status)
		}
	}
	for name, raw := range map[string]string{
		"no HTTP":          "GARBAGE\r\n\r\n",
		"two lengths":      "POST /non-idempotent/x HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nX-Key: key\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"broken chunk":     "POST /non-idempotent/x HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nX-Key: key\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"space in a name":  "POST /non-idempotent/x HTTP/1.1\r\nHost: h\r\nX-Id : i\r\nX-Key: key\r\n\r\n",
		"unknown encoding": "POST /non-idempotent/x HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nX-Key: key\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, raw)
		statusLine := make([]byte, 12)
		if _, err := io.ReadFull(conn, statusLine); err != nil || !strings.HasPrefix(string(statusLine), "HTTP/1.1 4") && !strings.HasPrefix(string(statusLine), "HTTP/1.1 501") {
			t.Errorf("%s: %q, %v", name, statusLine, err)
		}
		conn.Close()
	}
	if n := ts.arrivals(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// TestCallerLeaves checks that the connection to the endpoint is closed when the caller
// disconnects, before and after the start of the response, so that the endpoint stops work.
func TestCallerLeaves(t *testing.T) {
	for name, responseStarted := range map[string]bool{"before the response": false, "during the response": true} {
		t.Run(name, func(t *testing.T) {
			reached, closed := make(chan struct{}), make(chan struct{})
			ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
				if responseStarted {
					writeStreamHead(c)
					writeEvents(c, 1, 1)
				}
				close(reached)
				_, _ = c.Read(make([]byte, 1))
				close(closed)
			})
			ctx, disconnect := context.WithCancel(context.Background())
			go func() {
				<-reached
				disconnect()
			}()
			r, _ := http.NewRequestWithContext(ctx, "POST", ts.url+"/stream/x", nil)
			r.Host = "h"
			r.Header.Set("X-Id", "id-1")
			r.Header.Set("X-Key", "key")
			tr := &http.Transport{DisableKeepAlives: true}
			if resp, err := tr.RoundTrip(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection to the endpoint is still open")
			}
		})
	}
}

// TestDeadlineExceeded checks that a request without a complete response ends at the caller's deadline.
func TestDeadlineExceeded(t *testing.T) {
	for _, responseStarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("response started %t", responseStarted), func(t *testing.T) {
			ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
				if responseStarted {
					writeStreamHead(c)
					writeEvents(c, 1, 1)
				}
				_, _ = c.Read(make([]byte, 1))
			})
			began := time.Now()
			g := ts.send("POST", "stream", "", "X-Wait-Ms", "100")
			if responseStarted == (g.err == nil) || !responseStarted && g.status != 504 {
				t.Errorf("got %d, %v", g.status, g.err)
			}
			if d := time.Since(began); d < 100*time.Millisecond {
				t.Errorf("ended after %v", d)
			}
			if n := ts.arrivals(); n != 1 {
				t.Errorf("%d arrivals", n)
			}
		})
	}
}

// TestStopping checks that responses close the callers' connections once keep-alives are disabled,
// as they are during a planned stop.
func TestStopping(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, "good") })
	if g := ts.send("POST", "non-idempotent", ""); g.connectionClose {
		t.Error("the response closes the connection before the stop")
	}
	ts.server.DisableKeepAlives()
	if g := ts.send("POST", "non-idempotent", ""); !g.connectionClose {
		t.Error("the response does not close the connection after the stop")
	}
}

// TestStreamResumedInsideOneAnswerStaysAtItsVersion guards against an answer with events of two versions.
func TestStreamResumedInsideOneAnswerStaysAtItsVersion(t *testing.T) {
	for _, order := range [][]fleet.SoftwareVersion{
		{"v1", "v1", "v2", "v2"}, {"v1", "v2", "v1", "v2"}, {"v1", "v2", "v2", "v1"},
		{"v2", "v2", "v1", "v1"}, {"v2", "v1", "v2", "v1"}, {"v2", "v1", "v1", "v2"},
	} {
		ts := startTestServer(t, func(n int, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			if n == 1 {
				writeEvents(c, 1, 2)
				return
			}
			writeEvents(c, 3, 4)
			endChunkedBody(c)
		}, order...)
		ts.send("POST", "resumable", "")
		_, _, reached := ts.received()
		versions := map[fleet.SoftwareVersion]bool{}
		for _, id := range reached {
			versions[ts.versions[id]] = true
		}
		if len(versions) != 1 || len(reached) != 2 {
			t.Errorf("endpoints of %v: the stream ran at %v, want two of one version", order, reached)
		}
	}
}
