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
	endpointsPerKind = 3
	streamEvents     = 6
	eventInterval    = 15 * time.Millisecond
	hangDuration     = 2 * time.Second
)

var routeKinds = platformtest.RouteNames

// mode is the failure mode of an endpoint.
type mode int

const (
	modeHealthy    mode = iota
	modeFailing         // answers 500
	modeClosing         // executes the request and closes the connection without a response
	modeHanging         // executes the request for hangDuration
	modeTruncating      // closes the connection in the middle of the response body
	modeCount
)

func (m mode) String() string {
	return [...]string{"sound", "failing", "closing", "hanging", "truncating the response"}[m]
}

// endpoint is an endpoint of one route kind behind its own link. It records each execution in the ledger.
type endpoint struct {
	id, kind  string
	ledger    *ledger
	server    *http.Server
	link      *link.Link
	serveDone chan struct{}

	mu              sync.Mutex
	mode            mode
	lastDisturbance time.Time // last change of its mode or of the faults of its link
}

func startEndpoint(id, kind string, l *ledger) (*endpoint, error) {
	e := &endpoint{id: id, kind: kind, ledger: l, serveDone: make(chan struct{})}
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

func (e *endpoint) item(leaving bool) published.Item {
	return platformtest.Endpoint(e.id, e.kind, e.link.Addr(), "a", leaving)
}

// setMode changes the failure mode and records the time of the change.
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

// currentMode returns the failure mode, and whether the endpoint is failing or its mode or link faults
// have changed within the last requestTimeout.
func (e *endpoint) currentMode() (mode, bool) {
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
	m, duringFault := e.currentMode()
	e.ledger.recordExecution(f.ID, duringFault, violation)
	platformtest.StampResponse(w.Header(), f.ID)
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
	for n := f.LastEvent + 1; n <= streamEvents; n++ {
		if m == modeTruncating && n == streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, streamEvent(f.ID, n))
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

// streamEvent returns the n-th event of the response to a streaming request, from 1.
func streamEvent(id string, n uint64) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }
