package ingress

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/callerconn"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/metrics"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// startBudgeted starts a test server with budgets, 0 and nil for none.
func startBudgeted(t *testing.T, conns int, memory *callerconn.Budget, respond responder) *testServer {
	ts := startTestServer(t, respond)
	reg := metrics.New()
	t.Cleanup(func() { _ = reg.Close() })
	server := New(ts.control, testHeaderCodec{}, exchange.NewClient(time.Second), NewMeter(reg.Scope()))
	server.SetBudgets(conns, memory, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l.(*net.TCPListener)) }()
	t.Cleanup(func() {
		server.Close(EndProcess)
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	ts.url = "http://" + l.Addr().String()
	return ts
}

// publishLimits changes the published limits.
func (ts *testServer) publishLimits(limits routing.Limits) {
	config := testConfig()
	config.Version++
	config.Limits = limits
	ts.store.Write(publishedtest.Config(config))
	u := ts.store.Update(true, 0)
	u.Confirmed = boottime.Now()
	ts.control.Do(func(st *control.State, now boottime.Instant) { st.ReadDone(now, u) })
	ts.server.CloseIdle() // as it is called every second
}

// TestPublishedHeadLimits guards against published limits on heads that are not enforced before the head is complete.
func TestPublishedHeadLimits(t *testing.T) {
	ts := startTestServer(t, answerGood)
	late, large := ts.dial(), ts.dial()
	ts.publishLimits(routing.Limits{MaxHeaderBytes: 500, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Hour})
	large.send(t, "GET /idempotent/x HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 16<<10))
	large.answerIn(t, 2*time.Second, http.StatusRequestHeaderFieldsTooLarge)
	late.send(t, "GET /idempotent/x HTTP/1.1\r\n")
	late.answerIn(t, 2*time.Second, http.StatusRequestTimeout)
	c := ts.dial()
	for range 2 {
		time.Sleep(300 * time.Millisecond) // idle for longer than a head may take
		c.send(t, rawRequest("idempotent", "body"))
		c.answerIn(t, 5*time.Second, http.StatusOK)
	}
}

// TestIncompleteBodyIsRefusedForNewConnections guards against requests that occupy all connections with bodies that are not sent. Their
// refusal is truthful: nothing has run.
func TestIncompleteBodyIsRefusedForNewConnections(t *testing.T) {
	ts := startBudgeted(t, 1, nil, answerGood)
	incomplete := ts.dial()
	incomplete.send(t, rawHead("idempotent", 100)+"part")
	time.Sleep(50 * time.Millisecond)
	c := ts.dial()
	h := incomplete.answerIn(t, 5*time.Second, http.StatusServiceUnavailable)
	if h.Get("Retry-After") == "" || !incomplete.closes {
		t.Errorf("header %v, close %t", h, incomplete.closes)
	}
	_ = c.Close()
	if n := ts.arrivals(); n != 0 {
		t.Errorf("%d attempts of a request that was refused as not run", n)
	}
}

// TestUnreadAnswersRefuseNewRequests guards against answers that exhaust the memory because callers do not read them. Requests are
// refused before they run; one that has run gets its answer.
func TestUnreadAnswersRefuseNewRequests(t *testing.T) {
	memory := &callerconn.Budget{Bytes: 3 * freeBodyBytes / 2}
	text := strings.Repeat("x", 5<<20) // more than the buffers of a connection hold
	ts := startBudgeted(t, 0, memory, func(_ int, c net.Conn, _ *http.Request) { writeCompleteResponse(c, text) })
	unread := make([]*callerConn, 2)
	for i := range unread {
		unread[i] = ts.dial()
		_ = unread[i].Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		unread[i].send(t, rawRequest("idempotent", ""))
	}
	for end := time.Now().Add(4 * time.Second); memory.Used() <= memory.Bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of unread answers are charged", memory.Used())
		}
	}
	ran := ts.arrivals()
	if g := ts.send(http.MethodPost, "idempotent", ""); g.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v, want 503", g.status, g.err)
	}
	if n := ts.arrivals(); n > ran {
		t.Errorf("%d attempts while the memory is exhausted", n-ran)
	}
	for _, c := range unread {
		_ = c.Close()
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if g := ts.send(http.MethodPost, "idempotent", ""); g.status == http.StatusOK {
			break
		} else if time.Now().After(end) {
			t.Fatalf("status %d, %v after the callers have left", g.status, g.err)
		}
	}
}

// TestCrowdedConnectionsAreNotKept guards against kept connections that occupy the whole budget: while it is nearly exhausted, answers
// announce that theirs closes.
func TestCrowdedConnectionsAreNotKept(t *testing.T) {
	ts := startBudgeted(t, 4, nil, answerGood)
	conns := ts.keptConns(4)
	for i, c := range conns {
		if want := i == 3; c.closes != want {
			t.Errorf("connection %d: close %t, want %t", i, c.closes, want)
		}
	}
	if _, err := io.ReadAll(conns[3]); err != nil {
		t.Errorf("the announced close: %v", err)
	}
}

// TestRefusalsAreCounted guards against a crowd that operators cannot see.
func TestRefusalsAreCounted(t *testing.T) {
	reg := metrics.New()
	defer reg.Close()
	meter := NewMeter(reg.Scope())
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := callerconn.NewListener(tcp.(*net.TCPListener))
	l.SetLimits(callerconn.Limits{HeadBytes: 500, HeadTimeout: 100 * time.Millisecond})
	srv := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: callerconn.ConnState, ConnContext: callerconn.ConnContext}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	for _, head := range []string{"GET /" + strings.Repeat("x", 16<<10), "GET / HT", "\r\n"} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, head)
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
	meter.RecordRefused(l, "callers")
	w := httptest.NewRecorder()
	for end := time.Now().Add(5 * time.Second); strings.Count(w.Body.String(), `listener="callers"} 1`) < 3 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w = httptest.NewRecorder()
		reg.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	}
	for _, cause := range []callerconn.Reason{callerconn.HeadTooLarge, callerconn.HeadLate, callerconn.HeadMalformed} {
		if want := `callers_refused{cause="` + cause.String() + `",listener="callers"} 1`; !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s in %s", want, w.Body)
		}
	}
}

// TestSentEventsAreNotCharged guards against a stream whose largest event stays charged until its end, although its caller has read it:
// other requests would be refused.
func TestSentEventsAreNotCharged(t *testing.T) {
	memory := &callerconn.Budget{Bytes: 64 << 10}
	release := make(chan struct{})
	ts := startBudgeted(t, 0, memory, func(n int, c net.Conn, r *http.Request) {
		if n > 1 {
			writeCompleteResponse(c, "ok")
			return
		}
		writeStreamHead(c)
		writeChunk(c, "id: 1\ndata: "+strings.Repeat("x", 100<<10)+"\n\n")
		<-release
		writeChunk(c, eventText(2))
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	c := ts.dial()
	c.send(t, rawRequest("idempotent", ""))
	if _, err := io.ReadFull(c, make([]byte, 100<<10)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); memory.Used() > memory.Bytes && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if g := ts.send(http.MethodPost, "idempotent", ""); g.status != http.StatusOK {
		t.Errorf("status %d, %v, with %d bytes charged after the event was read", g.status, g.err, memory.Used())
	}
	close(release)
}

// TestChunkedBodyIsChargedByItsLength guards against a body within the limit that is refused in calm because the framing of its small
// chunks, which is not kept, counts as memory.
func TestChunkedBodyIsChargedByItsLength(t *testing.T) {
	const length = 256 << 10
	memory := &callerconn.Budget{Bytes: length + 128<<10}
	ts := startBudgeted(t, 0, memory, answerGood)
	config := testConfig()
	config.Limits.MaxBodyBytes = length
	ts.publishLimits(config.Limits)
	c := ts.dial()
	c.send(t, strings.Replace(rawHead("idempotent", 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1))
	go func() { _, _ = io.WriteString(c, strings.Repeat("1\r\nx\r\n", length)+"0\r\n\r\n") }()
	c.answerIn(t, 5*time.Second, http.StatusOK)
}
