package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/metrics"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHeaderCodec is a HeaderCodec with headers for tests.
type testHeaderCodec struct{}

func (testHeaderCodec) ReadRequest(h http.Header) (RequestMetadata, error) {
	meta := RequestMetadata{ID: fleet.RequestID(h.Get("X-Id")), Key: h.Get("X-Key"), LastEventID: h.Get("X-After"), Resumes: fleet.RequestID(h.Get("X-Resumes"))}
	if meta.ID == "" {
		return meta, errors.New("X-Id is missing")
	}
	if ms, err := strconv.Atoi(h.Get("X-Wait-Ms")); err == nil {
		meta.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	return meta, nil
}

func (testHeaderCodec) WriteForward(h http.Header, f ForwardMetadata) {
	h.Del("X-Key")
	h.Set("X-Expect", string(f.ExpectedEndpoint))
	h.Set("X-Workspace", string(f.Workspace))
	h.Set("X-Left-Ms", strconv.FormatInt(f.TimeLeft.Milliseconds(), 10))
	if f.LastEventID != "" {
		h.Set("X-After", f.LastEventID)
	}
}

func (testHeaderCodec) ReadResponse(status int, h http.Header) ResponseMetadata {
	return ResponseMetadata{
		RequestID:   fleet.RequestID(h.Get("X-Id")),
		Endpoint:    fleet.EndpointID(h.Get("X-Endpoint")),
		NotRun:      h.Get("X-Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest,
		HasStamp:    h.Get("X-Stamp") != "",
		Leaving:     h.Get("X-Leaving") != "",
	}
}

func (testHeaderCodec) WriteRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

func (testHeaderCodec) ReadyPath() string { return "/ready" }

func (testHeaderCodec) IncarnationPath() string { return "/incarnation" }

func (testHeaderCodec) ReadIncarnation(body []byte) (fleet.Incarnation, bool) {
	n, err := strconv.ParseUint(string(body), 10, 64)
	return fleet.Incarnation(n), err == nil
}

// lockedControl guards a control state with a mutex. Of the state's actions it executes questions for incarnations, and probes unless onAction
// is set; every endpoint accepts connections.
type lockedControl struct {
	mu          sync.Mutex
	s           *control.State
	incarnation func(fleet.EndpointID) fleet.Incarnation // as endpoints report them
	onAction    func(control.Action)                     // called for each action of the state, and has to answer probes; may be nil
}

// Do implements Control.
func (c *lockedControl) Do(f func(*control.State, boottime.Instant)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.s, boottime.Now())
	for _, a := range c.s.Drain() {
		now := boottime.Now()
		switch action := a.(type) {
		case control.AskIncarnation:
			c.s.IncarnationReported(now, action.ID, c.incarnation(action.ID), now)
		case control.ProbeEndpoint:
			if c.onAction == nil { // otherwise the test answers it
				c.s.ProbeDone(now, action.ID, control.ProbeConnected)
			}
		}
		if c.onAction != nil {
			c.onAction(a)
		}
	}
}

// responder responds to one request on its connection. n is the number of requests that have
// reached endpoints, including this one.
type responder func(n int, conn net.Conn, r *http.Request)

// testServer is a Server with scripted endpoints.
type testServer struct {
	t                *testing.T
	url              string
	server           *Server
	control          *lockedControl
	store            *publishedtest.Store
	revision         fleet.Revision // that the control state has read; guarded by control
	mu               sync.Mutex
	requests         []*http.Request
	bodies           []string
	reachedEndpoints []string                         // endpoint that each of the requests reached
	versions         map[string]fleet.SoftwareVersion // of the endpoints
	report           func(id string, n int) string    // response to the n-th question of all for an incarnation; nil, "": as usual
	reports          int                              // such questions
	restarted        map[string]fleet.Incarnation     // present incarnations of endpoints that have another one than their entry, which has 1
	leaveBodies      atomic.Bool                      // responders read the bodies of requests themselves
}

// startTestServer runs a server with endpoints that share a responder: one of each of the software versions
// given, or three of one version.
func startTestServer(t *testing.T, respond responder, versions ...fleet.SoftwareVersion) *testServer {
	return startTestServerWith(t, control.Options{RetryRatio: 1, RetryExtra: 100}, respond, versions...)
}

// startTestServerWith is startTestServer with the retry budget of opts.
func startTestServerWith(t *testing.T, opts control.Options, respond responder, versions ...fleet.SoftwareVersion) *testServer {
	if len(versions) == 0 {
		versions = []fleet.SoftwareVersion{"v1", "v1", "v1"}
	}
	ts := &testServer{t: t, versions: map[string]fleet.SoftwareVersion{}}
	ts.store = publishedtest.NewStore()
	ts.store.Write(publishedtest.Config(testConfig()))
	for i, version := range versions {
		ts.addEndpoint(fmt.Sprintf("e%d", i), version, respond)
	}
	st := control.New(boottime.Now(), control.Options{
		Self: mesh.Member{ID: "a-1", DataCentre: "a"}, Protocol: publishedtest.Protocol{}, AuthStalenessBound: time.Hour, DenialStalenessBound: time.Hour,
		LoadMultiple: 2, RetryRatio: opts.RetryRatio, RetryExtra: opts.RetryExtra, RetryWindow: 10 * time.Second,
	})
	st.Tick(boottime.Now())
	ts.control = &lockedControl{s: st, incarnation: ts.incarnation}
	ts.readStore()
	stop := make(chan struct{})
	var confirming sync.WaitGroup
	confirming.Go(func() { ts.confirmPeriodically(stop) })
	t.Cleanup(func() {
		close(stop)
		confirming.Wait()
	})
	reg := metrics.New()
	t.Cleanup(func() { _ = reg.Close() })
	ts.server = New(ts.control, testHeaderCodec{}, exchange.NewClient(time.Second), NewMeter(reg.Scope()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- ts.server.Serve(l.(*net.TCPListener)) }()
	t.Cleanup(func() {
		ts.server.Close(EndProcess)
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	ts.url = "http://" + l.Addr().String()
	return ts
}

// readStore makes the control state read the store's content.
func (ts *testServer) readStore() {
	u := ts.store.Update(true, 0)
	u.Confirmed = boottime.Now()
	ts.control.Do(func(s *control.State, now boottime.Instant) {
		ts.revision = u.Revision
		s.ReadDone(now, u)
	})
}

// confirmPeriodically runs the timers of the control state and confirms what it has read of the store.
func (ts *testServer) confirmPeriodically(stop <-chan struct{}) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		ts.control.Do(func(s *control.State, now boottime.Instant) {
			s.ReadDone(now, published.Update{Revision: ts.revision, Confirmed: now})
			s.Tick(now)
		})
	}
}

// addEndpoint starts a scripted endpoint of service "s" and writes its entry, which it returns, to the store.
func (ts *testServer) addEndpoint(id string, version fleet.SoftwareVersion, respond responder) published.Item {
	addr := ts.startEndpoint(id, respond)
	ts.versions[id] = version
	entry := publishedtest.Endpoint(fleet.Endpoint{ID: fleet.EndpointID(id), Addr: addr, Service: "s", Version: version, Incarnation: 1}, 0)
	ts.store.Write(entry)
	return entry
}

func testConfig() *routing.Config {
	route := func(name string, kind routing.Kind, attempts int) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Timeout: time.Minute,
			Targets: []routing.Target{{Service: "s", Weight: 1}}, GoalLatency: time.Second, GoalEventGap: time.Second,
		}
	}
	resumable := route("resumable", routing.Streaming, 2)
	resumable.Resumable = true
	return &routing.Config{
		Routes: []routing.Route{
			route("non-idempotent", routing.NonIdempotent, 2), route("idempotent", routing.Idempotent, 2), route("stream", routing.Streaming, 2), resumable,
		},
		Services:   []routing.Service{{ID: "s"}},
		Workspaces: []routing.Workspace{{ID: "ws", Keys: []string{"key"}}},
		Limits:     routing.Limits{MaxBodyBytes: 1000, MaxHeaderBytes: 2000, IdleTimeout: time.Hour},
	}
}

// startEndpoint starts a scripted endpoint and returns its address.
func (ts *testServer) startEndpoint(id string, respond responder) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		ts.t.Fatal(err)
	}
	var wg sync.WaitGroup
	ts.t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { ts.serveConn(id, conn, respond) })
		}
	})
	return l.Addr().String()
}

func (ts *testServer) serveConn(id string, conn net.Conn, respond responder) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	r, err := http.ReadRequest(br)
	for err == nil && r.URL.Path == (testHeaderCodec{}).IncarnationPath() {
		if !ts.reportIncarnation(id, conn) {
			return
		}
		r, err = http.ReadRequest(br)
	}
	if err != nil {
		return
	}
	var body []byte
	if !ts.leaveBodies.Load() {
		body, _ = io.ReadAll(r.Body)
	}
	ts.mu.Lock()
	ts.requests = append(ts.requests, r)
	ts.bodies = append(ts.bodies, string(body))
	ts.reachedEndpoints = append(ts.reachedEndpoints, id)
	n := len(ts.requests)
	ts.mu.Unlock()
	respond(n, conn, r)
}

// reportIncarnation reports the incarnation of an endpoint: that of its entry unless it has restarted. It returns false if it has
// reported something else, after which the connection is closed.
func (ts *testServer) reportIncarnation(id string, conn net.Conn) bool {
	ts.mu.Lock()
	ts.reports++
	n, report := ts.reports, ts.report
	ts.mu.Unlock()
	if report != nil {
		if other := report(id, n); other != "" {
			_, _ = io.WriteString(conn, other)
			return false
		}
	}
	inc := fmt.Sprint(ts.incarnation(fleet.EndpointID(id)))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(inc), inc)
	return true
}

// incarnation returns the present incarnation of an endpoint.
func (ts *testServer) incarnation(id fleet.EndpointID) fleet.Incarnation {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return max(ts.restarted[string(id)], 1)
}

// received returns the requests that have reached endpoints, their bodies and the endpoints.
func (ts *testServer) received() (requests []*http.Request, bodies, endpoints []string) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return slices.Clone(ts.requests), slices.Clone(ts.bodies), slices.Clone(ts.reachedEndpoints)
}

// arrivals returns the number of requests that have reached endpoints.
func (ts *testServer) arrivals() int {
	requests, _, _ := ts.received()
	return len(requests)
}

// callerResult is the result of a caller's request.
type callerResult struct {
	status          int
	header          http.Header
	body            string
	connectionClose bool  // the server closes the connection
	err             error // of the request, or of reading the body
}

// send sends a request to a route; headers are pairs of name and value.
func (ts *testServer) send(method, route, body string, headers ...string) callerResult {
	r, err := http.NewRequest(method, ts.url+"/"+route+"/x?q=1", strings.NewReader(body))
	if err != nil {
		ts.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	r.Header.Set("X-Key", "key")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return callerResult{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return callerResult{status: resp.StatusCode, header: resp.Header, body: string(text), connectionClose: resp.Close, err: err}
}

// writeStampedHead writes the head of a response with the endpoint's stamp header.
func writeStampedHead(conn net.Conn, status int, lines ...string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Stamp: 1\r\nX-Id: id-1\r\n%s\r\n\r\n", status, strings.Join(lines, "\r\n"))
}

func writeCompleteResponse(conn net.Conn, body string) {
	writeStampedHead(conn, 200, "Content-Length: "+strconv.Itoa(len(body)))
	_, _ = io.WriteString(conn, body)
}

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", n, n) }

func writeStreamHead(conn net.Conn) {
	writeStampedHead(conn, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

func writeEvents(conn net.Conn, from, to int) {
	for n := from; n <= to; n++ {
		writeChunk(conn, eventText(n))
	}
}

func endChunkedBody(conn net.Conn) { _, _ = io.WriteString(conn, "0\r\n\r\n") }

func eventsText(from, to int) string {
	out := ""
	for n := from; n <= to; n++ {
		out += eventText(n)
	}
	return out
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
