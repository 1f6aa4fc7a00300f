package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// startReporter starts an endpoint that reports incarnation 1 with extra header lines and otherwise uses respond. It
// returns its address.
func startReporter(t *testing.T, lines string, after func(net.Conn), respond func(net.Conn, *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				r, err := http.ReadRequest(br)
				if err == nil && r.URL.Path == (testHeaderCodec{}).IncarnationPath() {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n\r\n1", lines)
					if lines != "" {
						return
					}
					after(conn)
					r, err = http.ReadRequest(br)
				}
				if err == nil {
					respond(conn, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestStreamGoesOnAtEndpointsThatCloseAfterTheirReport guards against a stream that ends although sound endpoints are
// there: "Connection: close" occurs in any response of an endpoint, also in its report, and says nothing against it.
func TestStreamGoesOnAtEndpointsThatCloseAfterTheirReport(t *testing.T) {
	ts := startTestServer(t, nil)
	ts.removeEndpoints("e0", "e1", "e2")
	for n := range 5 {
		addr := startReporter(t, "Connection: close\r\n", nil, func(c net.Conn, r *http.Request) {
			writeStreamHead(c)
			if r.Header.Get("X-After") != "" {
				writeEvents(c, 3, 4)
				endChunkedBody(c)
				return
			}
			writeEvents(c, 1, 2)
			resetConn(c)
		})
		ts.store.Write(publishedtest.Endpoint(fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("r", n)), Addr: addr, Service: "s", Version: "v1", Incarnation: 1}, 1))
	}
	ts.readStore()
	g := ts.send("POST", "resumable", "")
	ts.control.Do(func(st *control.State, now boottime.Instant) {
		for _, e := range st.Dump(now).Endpoints {
			t.Logf("%s failure rate %.2f", e.ID, e.FailureRate)
		}
	})
	if g.err != nil || g.body != eventsText(1, 4) {
		t.Errorf("got %q, %v", g.body, g.err)
	}
}

// TestExtraResponseAfterAReportIsNoRefusal guards against a refusal of a request that runs: bytes that follow the report
// a little later belong to no request, whether they name another one or none.
func TestExtraResponseAfterAReportIsNoRefusal(t *testing.T) {
	for name, extra := range map[string]string{
		"of another request": "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n",
		"of no request":      "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"429 of no request":  "HTTP/1.1 429 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"421 of no request":  "HTTP/1.1 421 X\r\nX-Endpoint: other\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, breakStreamOff, "v1")
			if g := ts.send("POST", "resumable", "", "X-Id", "id-0"); g.body != eventsText(1, 2) {
				t.Fatalf("the first part of the stream is %q, %v", g.body, g.err)
			}
			ran := make(chan string, 10)
			addr := startReporter(t, "", func(c net.Conn) {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, extra)
			}, func(c net.Conn, r *http.Request) {
				ran <- r.Header.Get("X-Id")
				writeStreamHead(c)
				writeEvents(c, 3, 4)
				endChunkedBody(c)
			})
			ts.store.Write(publishedtest.Endpoint(fleet.Endpoint{ID: "r", Addr: addr, Service: "s", Version: "v1", Incarnation: 1}, 1))
			ts.readStore()
			ts.removeEndpoints("e0")
			g := ts.send("POST", "resumable", "", "X-After", "2", "X-Resumes", "id-0")
			if id := <-ran; g.status == http.StatusServiceUnavailable {
				t.Errorf("status %d (%q) after a run of %s", g.status, g.body, id)
			}
		})
	}
}

// breakStreamOff sends two events of a stream of request id-0 and resets its connection.
func breakStreamOff(_ int, c net.Conn, _ *http.Request) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Stamp: 1\r\nX-Id: id-0\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	writeEvents(c, 1, 2)
	resetConn(c)
}

// TestResponseToAnotherRequestSaysNothingOfItsEndpoint guards against an earlier response whose state of the endpoint is taken for the present one.
func TestResponseToAnotherRequestSaysNothingOfItsEndpoint(t *testing.T) {
	ts := startTestServer(t, func(_ int, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: other\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
	})
	if g := ts.send("POST", "non-idempotent", ""); g.status != http.StatusBadGateway {
		t.Errorf("status %d, %v", g.status, g.err)
	}
	ts.control.Do(func(st *control.State, now boottime.Instant) {
		for _, e := range st.Dump(now).Endpoints {
			if e.Leaving {
				t.Errorf("%s counts as leaving", e.ID)
			}
		}
	})
}
