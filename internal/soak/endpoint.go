package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	endpointsPerKind = 4
	streamEvents     = 6
	eventInterval    = 15 * time.Millisecond
	hangDuration     = 2 * time.Second
)

var routeKinds = platformtest.RouteNames

// mode is the failure mode of an endpoint.
type mode int

const (
	modeHealthy    mode = iota
	modeFailing         // executes the request and answers 500
	modeClosing         // executes the request and closes the connection without a response
	modeHanging         // executes the request for hangDuration before it responds
	modeTruncating      // executes the request and closes the connection in the middle of the response body
	modePausing         // refuses requests and wants none from the gateway for pauseLength
	modeLeaving         // executes the request and says that it leaves
	modeCount
)

// pauseLength is the time for which an endpoint in modePausing wants no requests from a gateway that it has refused
// one of.
const pauseLength = 2 * time.Second

func (m mode) String() string {
	return [...]string{"sound", "failing", "closing", "hanging", "truncating the response", "pausing", "leaving"}[m]
}

// endpoint is an endpoint of one route kind behind a fault-injecting proxy (package link). It records each
// execution in the ledger.
type endpoint struct {
	id, kind  string
	ledger    *ledger
	server    *http.Server
	link      *link.Link
	serveDone chan struct{}

	mu              sync.Mutex
	mode            mode
	version         string    // of its software
	startedAt       time.Time // of its process
	lastDisturbance time.Time // last change of its mode or of the faults of its proxy
}

func startEndpoint(id, kind, version string, l *ledger) (*endpoint, error) {
	e := &endpoint{id: id, kind: kind, ledger: l, serveDone: make(chan struct{}), version: version, startedAt: time.Now().Add(-time.Hour)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if e.link, err = link.Start("tcp", "127.0.0.1:0", ln.Addr().String()); err != nil {
		_ = ln.Close()
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go func() {
		_ = e.server.Serve(ln) // returns after close
		close(e.serveDone)
	}()
	return e, nil
}

func (e *endpoint) item(draining bool) published.Item {
	e.mu.Lock()
	defer e.mu.Unlock()
	return platformtest.EndpointEntry{ID: e.id, Service: e.kind, Addr: e.link.Addr(), DataCentre: "a", Version: e.version, StartedAt: e.startedAt, Draining: draining}.Item()
}

// restart gives the endpoint another software version and incarnation.
func (e *endpoint) restart(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.startedAt, e.mode, e.lastDisturbance = version, time.Now(), modeHealthy, time.Now()
}

// soundVersion returns the version of an endpoint without a fault, or "".
func (e *endpoint) soundVersion() string {
	if _, faulty := e.faultState(); faulty {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// setMode changes the failure mode and records the time of the change as a disturbance.
func (e *endpoint) setMode(m mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.lastDisturbance = m, time.Now()
}

func (e *endpoint) injectLinkFaults(f link.Faults) {
	e.mu.Lock()
	e.lastDisturbance = time.Now()
	e.mu.Unlock()
	e.link.Inject(f)
}

// faultState returns the failure mode, and whether a lost response may be due to the endpoint: its mode
// isn't modeHealthy, or its mode or the faults of its proxy changed within the last requestTimeout.
func (e *endpoint) faultState() (mode, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.mode != modeHealthy || time.Since(e.lastDisturbance) < requestTimeout
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := platformtest.ReadForwarded(r.Header)
	if f.Endpoint != e.id {
		platformtest.RespondMisdirected(w, e.id)
		return
	}
	violation := ""
	if f.Workspace != "w" || f.Key != "" {
		violation = fmt.Sprintf("forwarded with workspace %q, caller key present: %t", f.Workspace, f.Key != "")
	}
	m, duringFault := e.faultState()
	if m == modePausing {
		platformtest.Refuse(w, pauseLength)
		return
	}
	e.ledger.recordExecution(f.ID, duringFault, violation)
	platformtest.StampResponse(w.Header(), f.ID)
	if m == modeLeaving {
		platformtest.AnnounceLeaving(w.Header())
	}
	switch m {
	case modeFailing:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case modeClosing:
		panic(http.ErrAbortHandler)
	case modeHanging:
		select {
		case <-r.Context().Done():
			return
		case <-time.After(hangDuration):
		}
	}
	if e.kind == "streaming" || e.kind == "resumable" {
		e.stream(w, f, m)
		return
	}
	text := fullBody(f.ID)
	if m == modeTruncating {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write([]byte(text[:len(text)/2])) // the gateway may have closed the connection
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(text))
}

func (e *endpoint) stream(w http.ResponseWriter, f platformtest.Forwarded, m mode) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	for n := f.LastEvent + 1; n <= streamEvents; n++ {
		if m == modeTruncating && n == streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, streamEvent(f.ID, n, version))
		_ = rc.Flush() // the gateway may have closed the connection
		time.Sleep(eventInterval)
	}
}

func (e *endpoint) close() {
	_ = e.link.Close()
	_ = e.server.Close()
	<-e.serveDone
}

// fullBody returns the complete response body of a request that isn't streamed.
func fullBody(id string) string { return fmt.Sprintf("this is the answer to %s and to no other", id) }

// streamEvent returns the n-th event, from 1, of the response of an endpoint of a version to a streaming request.
func streamEvent(id string, n uint64, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, version)
}
