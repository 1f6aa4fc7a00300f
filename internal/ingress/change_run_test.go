package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/origin"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// ending is how the first attempt of a request ends.
type ending int

const (
	sound    ending = iota // with the complete response
	refused                // the endpoint says that it has not run the request
	failed                 // with a failure of the endpoint's own
	brokeOff               // the endpoint breaks the connection
)

// standing is where a request is when a change is published.
type standing struct {
	name     string
	route    string
	want     string // body of the complete response
	send     func(x *changeRun) callerResult
	first    func(x *changeRun, c net.Conn, r *http.Request) // responder of the first endpoint; nil: the usual one
	ending   ending
	running  bool                    // an endpoint runs the request when the change is published
	versions []fleet.SoftwareVersion // of the endpoints; nil: one
}

const (
	streamLength     = 4
	longStreamLength = 400
	longEventBytes   = 32 << 10 // longStreamLength of these exceed the buffers of a connection
)

var standings = []standing{
	{name: "the body is not complete", route: "non-idempotent", want: "good", send: sendBodyAfterChange},
	{name: "the body of a stream is not complete", route: "resumable", want: eventsText(1, streamLength), send: sendBodyAfterChange},
	{name: "the stream's origin is looked up", route: "resumable", want: eventsText(3, streamLength), send: changeDuringLookup,
		versions: []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"}},
	{name: "after a refusal", route: "non-idempotent", want: "good", send: sendOnce, first: changeAndRefuse, ending: refused},
	{name: "after a refusal, idempotent", route: "idempotent", want: "good", send: sendOnce, first: changeAndRefuse, ending: refused},
	{name: "after a refusal, stream", route: "stream", want: eventsText(1, streamLength), send: sendOnce, first: changeAndRefuse, ending: refused},
	{name: "after a refusal, resumable stream", route: "resumable", want: eventsText(1, streamLength), send: sendOnce, first: changeAndRefuse, ending: refused},
	{name: "after a failure", route: "non-idempotent", want: "good", send: sendOnce, first: changeAndFail, ending: failed},
	{name: "after a failure, idempotent", route: "idempotent", want: "good", send: sendOnce, first: changeAndFail, ending: failed},
	{name: "after a failure, resumable stream", route: "resumable", want: eventsText(1, streamLength), send: sendOnce, first: changeAndFail, ending: failed},
	{name: "after a reset", route: "non-idempotent", want: "good", send: sendOnce, first: changeAndReset, ending: brokeOff},
	{name: "after a reset, idempotent", route: "idempotent", want: "good", send: sendOnce, first: changeAndReset, ending: brokeOff},
	{name: "after a reset, stream", route: "stream", want: eventsText(1, streamLength), send: sendOnce, first: changeAndReset, ending: brokeOff},
	{name: "after a reset, resumable stream", route: "resumable", want: eventsText(1, streamLength), send: sendOnce, first: changeAndReset, ending: brokeOff},
	{name: "after a reset in mid-stream", route: "stream", want: eventsText(1, streamLength), send: sendOnce, first: changeAndBreakStream, ending: brokeOff},
	{name: "after a reset in mid-stream, resumable", route: "resumable", want: eventsText(1, streamLength), send: sendOnce, first: changeAndBreakStream, ending: brokeOff},
	{name: "after a reset in mid-stream, two versions", route: "resumable", want: eventsText(1, streamLength), send: sendOnce, first: changeAndBreakStream, ending: brokeOff,
		versions: []fleet.SoftwareVersion{"v1", "v1", "v2", "v2"}},
	{name: "before the head", route: "non-idempotent", want: "good", send: sendOnce, first: changeAndRespond, running: true},
	{name: "before the head, idempotent", route: "idempotent", want: "good", send: sendOnce, first: changeAndRespond, running: true},
	{name: "before the head of a stream", route: "stream", want: eventsText(1, streamLength), send: sendOnce, first: changeAndRespond, running: true},
	{name: "before the head of a resumable stream", route: "resumable", want: eventsText(1, streamLength), send: sendOnce, first: changeAndRespond, running: true},
	{name: "in mid-stream", route: "stream", want: eventsText(1, streamLength), send: sendOnce, first: changeInStream, running: true},
	{name: "in mid-stream, resumable", route: "resumable", want: eventsText(1, streamLength), send: sendOnce, first: changeInStream, running: true},
	{name: "the caller is slow", route: "stream", want: longStream(), send: readSlowly, first: writeLongStream, running: true},
}

// changeRun is one request during which a change is published.
type changeRun struct {
	ts            *testServer
	standing      *standing
	change        *change
	published     []fleet.Endpoint // the endpoints before the change
	configVersion int64
	refusals      atomic.Int32 // of endpoints
}

func newChangeRun(t *testing.T, s *standing, c *change) *changeRun {
	x := &changeRun{standing: s, change: c}
	x.ts = startTestServer(t, x.respond, s.versions...)
	x.ts.control.Do(func(st *control.State, now boottime.Instant) {
		for _, e := range st.Dump(now).Endpoints {
			x.published = append(x.published, fleet.Endpoint{ID: e.ID, Addr: e.Addr, Service: e.Service, Version: fleet.SoftwareVersion(e.Version)})
		}
	})
	return x
}

// publish publishes the change.
func (x *changeRun) publish() {
	x.change.apply(x)
	x.ts.readStore()
}

func (x *changeRun) respond(n int, c net.Conn, r *http.Request) {
	if n == 1 && x.standing.first != nil {
		x.standing.first(x, c, r)
		return
	}
	respondCompletely(c, r)
}

func respondCompletely(c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/idempotent/") || strings.HasPrefix(r.URL.Path, "/non-idempotent/") {
		writeCompleteResponse(c, "good")
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("X-After"))
	writeStreamHead(c)
	writeEvents(c, last+1, streamLength)
	endChunkedBody(c)
}

func changeAndRespond(x *changeRun, c net.Conn, r *http.Request) {
	x.publish()
	respondCompletely(c, r)
}

func changeAndRefuse(x *changeRun, c net.Conn, _ *http.Request) {
	x.publish()
	x.refusals.Add(1)
	writeStampedHead(c, 503, "X-Not-Run: 1", "Content-Length: 0")
}

func changeAndFail(x *changeRun, c net.Conn, _ *http.Request) {
	x.publish()
	writeStampedHead(c, 500, "Content-Length: 4")
	_, _ = io.WriteString(c, "oops")
}

func changeAndReset(x *changeRun, c net.Conn, _ *http.Request) {
	x.publish()
	resetConn(c)
}

func changeAndBreakStream(x *changeRun, c net.Conn, _ *http.Request) {
	writeStreamHead(c)
	writeEvents(c, 1, 2)
	x.publish()
	writeChunk(c, "id: 3\nda")
}

func changeInStream(x *changeRun, c net.Conn, _ *http.Request) {
	writeStreamHead(c)
	writeEvents(c, 1, 2)
	x.publish()
	writeEvents(c, 3, streamLength)
	endChunkedBody(c)
}

func longEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", longEventBytes))
}

func longStream() string {
	var b strings.Builder
	for n := 1; n <= longStreamLength; n++ {
		b.WriteString(longEvent(n))
	}
	return b.String()
}

func writeLongStream(_ *changeRun, c net.Conn, _ *http.Request) {
	writeStreamHead(c)
	for n := 1; n <= longStreamLength; n++ {
		writeChunk(c, longEvent(n))
	}
	endChunkedBody(c)
}

func sendOnce(x *changeRun) callerResult { return x.ts.send("POST", x.standing.route, "body") }

// dial connects to the server and sends the head of a request with a body of four bytes.
func (x *changeRun) dial() net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(x.ts.url, "http://"))
	if err != nil {
		x.ts.t.Fatal(err)
	}
	x.ts.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nX-Key: key\r\nContent-Length: 4\r\n\r\n", x.standing.route)
	return conn
}

// readResult reads a response; between runs after its head.
func readResult(conn net.Conn, between func()) callerResult {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerResult{err: err}
	}
	defer resp.Body.Close()
	between()
	text, err := io.ReadAll(resp.Body)
	return callerResult{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// sendBodyAfterChange sends the second half of the body after the change.
func sendBodyAfterChange(x *changeRun) callerResult {
	conn := x.dial()
	_, _ = io.WriteString(conn, "bo")
	for admitted := false; !admitted; time.Sleep(time.Millisecond) {
		x.ts.control.Do(func(st *control.State, now boottime.Instant) {
			for _, s := range st.Dump(now).Services {
				admitted = admitted || s.Requests > 0
			}
		})
	}
	x.publish()
	_, _ = io.WriteString(conn, "dy")
	return readResult(conn, func() {})
}

// readSlowly reads the head of the response, and the rest only after the change.
func readSlowly(x *changeRun) callerResult {
	conn := x.dial()
	_, _ = io.WriteString(conn, "body")
	return readResult(conn, x.publish)
}

// changeDuringLookup resumes a stream whose origin only another gateway knows, which replies after the change.
func changeDuringLookup(x *changeRun) callerResult {
	queries := make(chan wire.OriginQuery, 10)
	peer := mesh.Member{ID: "b-1", DataCentre: "b", Addr: "b-1", ControlAddr: "b-1"}
	x.ts.control.onAction = func(a control.Action) {
		if send, ok := a.(control.Send); ok {
			if q, ok := send.Message.(wire.OriginQuery); ok {
				queries <- q
			}
		}
	}
	x.ts.control.Do(func(st *control.State, now boottime.Instant) {
		st.SeedReplied(now, []mesh.Member{peer})
		st.Receive(now, peer.ID, 1, wire.Status{})
	})
	go func() {
		q := <-queries
		x.publish()
		x.ts.control.Do(func(st *control.State, now boottime.Instant) {
			st.Receive(now, peer.ID, 1, wire.OriginReply{Query: q.Query, Recorded: true, Version: uint32(origin.VersionOf("v1"))})
		})
	}()
	return x.ts.send("POST", x.standing.route, "body", "X-After", "2")
}
