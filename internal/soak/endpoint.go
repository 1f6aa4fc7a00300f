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
	eventPause       = 15 * time.Millisecond
	hang             = 2 * time.Second
)

var kinds = platformtest.RouteNames

// mode is how an endpoint treats requests.
type mode int

const (
	sound mode = iota
	failing
	closing // it reads the request, works on it and closes the connection
	hanging // it works on the request for long
	breaking
	modes
)

func (m mode) String() string {
	return [...]string{"sound", "failing", "closing", "hanging", "breaking in the answer"}[m]
}

// endpoint is an engine or replica behind a link of its own.
type endpoint struct {
	id, kind string
	ledger   *ledger
	server   *http.Server
	link     *link.Link
	ended    chan struct{}

	mu        sync.Mutex
	mode      mode
	disturbed time.Time // when its link or mode last was at fault
}

func startEndpoint(id, kind string, l *ledger) (*endpoint, error) {
	e := &endpoint{id: id, kind: kind, ledger: l, ended: make(chan struct{})}
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
		_ = e.server.Serve(ln) // ends with close
		close(e.ended)
	}()
	return e, nil
}

func (e *endpoint) entry(leaving bool) published.Item {
	return platformtest.Endpoint(e.id, e.kind, e.link.Addr(), "a", leaving)
}

// set changes the mode and notes until when requests may be touched by it.
func (e *endpoint) set(m mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.disturbed = m, time.Now()
}

func (e *endpoint) inject(f link.Faults) {
	e.mu.Lock()
	e.disturbed = time.Now()
	e.mu.Unlock()
	e.link.Inject(f)
}

// now returns the mode, and whether a fault is on or was a moment ago.
func (e *endpoint) now() (mode, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.mode != sound || time.Since(e.disturbed) < callTimeout
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := platformtest.ReadForwarded(r.Header)
	if f.Endpoint != e.id {
		platformtest.RespondMisdirected(w, e.id)
		return
	}
	wrong := ""
	if f.Workspace != "w" || f.Key != "" {
		wrong = fmt.Sprintf("reached the endpoint for workspace %q, with its key: %t", f.Workspace, f.Key != "")
	}
	m, disturbed := e.now()
	e.ledger.run(f.ID, disturbed, wrong)
	platformtest.StampResponse(w.Header(), f.ID)
	switch m {
	case failing:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case closing:
		panic(http.ErrAbortHandler)
	case hanging:
		select {
		case <-r.Context().Done():
			return
		case <-time.After(hang):
		}
	}
	if e.kind == "streaming" || e.kind == "resumable" {
		e.stream(w, f, m)
		return
	}
	text := answerOf(f.ID)
	if m == breaking {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write([]byte(text[:len(text)/2])) // the gateway may be gone
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(text))
}

func (e *endpoint) stream(w http.ResponseWriter, f platformtest.Forwarded, m mode) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := f.LastEvent + 1; n <= streamEvents; n++ {
		if m == breaking && n == streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, eventOf(f.ID, n))
		_ = flush.Flush() // the gateway may be gone
		time.Sleep(eventPause)
	}
}

func (e *endpoint) close() {
	_ = e.link.Close()
	_ = e.server.Close()
	<-e.ended
}

// answerOf is the whole answer to a request.
func answerOf(id string) string { return fmt.Sprintf("this is the answer to %s and to no other", id) }

// eventOf is the n-th event of the answer to a streaming request.
func eventOf(id string, n uint64) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }
