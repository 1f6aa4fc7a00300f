package ingress

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// stalledConnectTimeout is the connect timeout of the gateway in tests with stallable endpoints.
const stalledConnectTimeout = 150 * time.Millisecond

// stallableEndpoint is a scripted endpoint to which connections time out while it is stalled.
type stallableEndpoint struct {
	t       *testing.T
	l       *net.TCPListener
	stalled sync.Mutex
	fillers []net.Conn
}

// addStallableEndpoint starts an endpoint and writes its entry to the store.
func (ts *testServer) addStallableEndpoint(id string, respond responder) *stallableEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		ts.t.Fatal(err)
	}
	e := &stallableEndpoint{t: ts.t, l: l.(*net.TCPListener)}
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
			e.awaitResume()
			wg.Go(func() { ts.serveConn(id, conn, respond) })
		}
	})
	ts.store.Write(publishedtest.Endpoint(fleet.Endpoint{ID: fleet.EndpointID(id), Addr: l.Addr().String(), Service: "s", Version: "v1"}, 0))
	return e
}

func (e *stallableEndpoint) awaitResume() {
	e.stalled.Lock()
	defer e.stalled.Unlock()
}

func (e *stallableEndpoint) setBacklog(n int) {
	raw, err := e.l.SyscallConn()
	if err != nil {
		e.t.Error(err)
		return
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) }); err != nil {
		e.t.Error(err)
	}
}

// stall fills the queue of connections that are not accepted.
func (e *stallableEndpoint) stall() {
	e.stalled.Lock()
	e.setBacklog(0)
	timeouts := 0
	for range 20 {
		conn, err := net.DialTimeout("tcp", e.l.Addr().String(), stalledConnectTimeout/3)
		if err == nil {
			e.fillers = append(e.fillers, conn)
			timeouts = 0
			continue
		}
		if timeouts++; timeouts == 2 { // the first one may be accepted after all
			return
		}
	}
	e.t.Error("the endpoint still accepts connections")
}

func (e *stallableEndpoint) resume() {
	for _, c := range e.fillers {
		_ = c.Close()
	}
	e.setBacklog(128)
	e.stalled.Unlock()
}

// TestStreamOutlastsAStallOfAllEndpoints guards against cutting a stream because no endpoint accepts connections for a
// second or so, neither the one that it was moved to nor the one that was only silent.
func TestStreamOutlastsAStallOfAllEndpoints(t *testing.T) {
	ts := startTestServer(t, nil, "v1")
	ts.removeEndpoints("e0")
	ts.server.client = exchange.NewClient(stalledConnectTimeout)
	endpoints := map[fleet.EndpointID]*stallableEndpoint{}
	respond := func(_ int, c net.Conn, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("X-After"))
		writeStreamHead(c)
		if after == 0 {
			writeEvents(c, 1, 1)
			time.Sleep(2500 * time.Millisecond)
		}
		writeEvents(c, after+1, 3)
		endChunkedBody(c)
	}
	for _, id := range []fleet.EndpointID{"s0", "s1"} {
		endpoints[id] = ts.addStallableEndpoint(string(id), respond)
	}
	ts.publishUrgentConfig()
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(200 * time.Millisecond)
		for _, e := range endpoints {
			e.stall()
		}
		time.Sleep(1500 * time.Millisecond)
		for id, e := range endpoints {
			e.resume()
			ts.control.Do(func(s *control.State, now boottime.Instant) { s.ProbeDone(now, id, control.ProbeConnected) })
		}
		time.Sleep(1200 * time.Millisecond) // until the endpoints' entries are known to be those of the same processes
		ts.readStore()
	})
	g := ts.send("POST", "resumable", "", "X-Wait-Ms", "8000")
	wg.Wait()
	if g.err != nil || g.body != eventsText(1, 3) {
		t.Errorf("got %d %q, %v", g.status, g.body, g.err)
	}
	if n := ts.arrivals(); n != 2 {
		t.Errorf("%d attempts, want 2: one before the stall and one after it", n)
	}
}
