package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	endpointsPerKind = 4
	streamEvents     = 6
	eventInterval    = 15 * time.Millisecond
)

var routeKinds = platformtest.RouteNames

// endpoint is an endpoint of one route kind. It records each execution in the ledger.
type endpoint struct {
	id, kind string // kind is the name of its service
	ledger   *ledger
	timeline *timeline
	store    *platformtest.Store
	ends     *endLedger
	contents *sharedContents
	workTime time.Duration // of a request that isn't streamed

	mu              sync.Mutex
	process         *process // the one that runs or ran last
	closed          bool
	starts          int      // of further processes
	formerIDs       []string // of instances
	mode            mode
	version         string    // of its software
	startedAt       time.Time // of its process
	lastDisturbance time.Time // last change of its mode or of the faults of its proxy
	silentUntil     time.Time // it is sound, but sends nothing before
	endMode         func()    // ends the circumstance of its mode
	endLinkFault    func()    // ends the circumstance of its link
	endOutage       func()    // ends the circumstance that its process has ended
}

func (r *run) startEndpoint(id, kind, version string) (*endpoint, error) {
	e := &endpoint{
		id: id, kind: kind, ledger: r.ledger, timeline: r.timeline, store: r.fleet.store, ends: &r.ends, contents: &r.contents, workTime: mixes[r.opts.Mix].workTime,
		version: version, startedAt: time.Now().Add(-time.Hour), endMode: func() {}, endLinkFault: func() {},
	}
	var err error
	if e.process, err = startProcess(e, id, "127.0.0.1:0"); err != nil {
		return nil, err
	}
	e.publish(false)
	return e, nil
}

// publish writes the endpoint's entry.
func (e *endpoint) publish(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.write(draining)
}

// withdraw deletes the endpoint's entry.
func (e *endpoint) withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Write(platformtest.EndpointGone(e.process.id))
}

// write writes the endpoint's entry; e.mu must be held.
func (e *endpoint) write(draining bool) {
	entry := platformtest.EndpointEntry{ID: e.process.id, Service: e.kind, Addr: e.process.link.Addr(), DataCentre: "a", Version: e.version, StartedAt: e.startedAt, Draining: draining}
	e.store.Write(entry.Item())
}

// restart gives the endpoint another software version and incarnation.
func (e *endpoint) restart(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.startedAt, e.mode, e.lastDisturbance = version, time.Now(), modeHealthy, time.Now()
	e.endMode()
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

// setMode changes the failure mode and records the change as a disturbance.
func (e *endpoint) setMode(m mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.lastDisturbance = m, time.Now()
	e.endMode()
	if c := m.cause(); c != 0 {
		e.endMode = e.timeline.begin(c, e.id)
	}
}

// setSilent makes the endpoint send nothing for d. It stays sound.
func (e *endpoint) setSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil, e.lastDisturbance = time.Now().Add(d), time.Now()
	e.timeline.mark(endpointSilent, e.id, d)
}

// awaitSilence returns when the endpoint is no longer silent, or the context of a request is done.
func (e *endpoint) awaitSilence(ctx context.Context) {
	e.mu.Lock()
	left := time.Until(e.silentUntil)
	e.mu.Unlock()
	if left > 0 {
		ctxtime.Sleep(ctx, left)
	}
}

func (e *endpoint) injectLinkFaults(f link.Faults) {
	e.mu.Lock()
	e.lastDisturbance = time.Now()
	e.endLinkFault()
	if f != (link.Faults{}) {
		e.endLinkFault = e.timeline.begin(endpointLink, e.id)
	}
	l := e.process.link
	e.mu.Unlock()
	l.Inject(f)
}

// faultState returns the failure mode, and whether a lost response may be due to the endpoint: its mode
// isn't modeHealthy, or its mode or the faults of its proxy changed within the last requestTimeout.
func (e *endpoint) faultState() (mode, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.mode != modeHealthy || time.Since(e.lastDisturbance) < requestTimeout
}

func (e *endpoint) softwareVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *endpoint) startTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedAt
}

// ServeHTTP implements http.Handler.
func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e, arrived := p.endpoint, time.Now()
	if platformtest.ServeReport(w, r, e.startTime()) {
		return
	}
	f := platformtest.ReadForwarded(r.Header)
	platformtest.EchoID(w.Header(), f.ID)
	if f.Endpoint != p.id {
		platformtest.RespondMisdirected(w, p.id)
		return
	}
	violation := ""
	if f.Key != "" {
		violation = "forwarded with the caller's key"
	}
	m, _ := e.faultState()
	if m == modePausing {
		platformtest.Refuse(w, pauseLength)
		return
	}
	e.ledger.recordExecution(f.ID, e.id, f.Workspace, violation)
	defer p.begin(f.ID)()
	if d := e.deathOf(r, f); d != nil {
		p.die(w, r, f, d, arrived)
		return
	}
	if respondEndlessly(w, m, f.ID) || e.respondBroken(w, m, routeOf(r), f.ID) {
		return
	}
	platformtest.StampResponse(w.Header(), f.ID)
	if m == modeLeaving {
		platformtest.AnnounceLeaving(w.Header())
	}
	e.awaitSilence(r.Context())
	e.respond(w, r, f, m)
}

// respond sends the response to a request that is executed.
func (e *endpoint) respond(w http.ResponseWriter, r *http.Request, f platformtest.Forwarded, m mode) {
	switch m {
	case modeFailing:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case modeClosing:
		panic(http.ErrAbortHandler)
	case modeHanging:
		ctxtime.Sleep(r.Context(), hangDuration)
	}
	if r.Context().Err() != nil {
		return
	}
	if isStream(routeOf(r)) {
		e.stream(r.Context(), w, f, m)
		return
	}
	ctxtime.Sleep(r.Context(), e.workTime)
	text := fullBody(f.ID)
	if m == modeTruncating {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write([]byte(text[:len(text)/2])) // the gateway may have closed the connection
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(text))
}

// routeOf returns the name of the route of a request.
func routeOf(r *http.Request) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return name
}

func (e *endpoint) stream(ctx context.Context, w http.ResponseWriter, f platformtest.Forwarded, m mode) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	version := e.softwareVersion()
	for n := f.LastEvent + 1; n <= streamEvents; n++ {
		if m == modeTruncating && n == streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		if e.awaitSilence(ctx); ctx.Err() != nil {
			return
		}
		_, _ = fmt.Fprint(w, streamEvent(f.ID, n, version))
		_ = rc.Flush() // the gateway may have closed the connection
		time.Sleep(eventInterval)
	}
}

func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	p := e.process
	e.mu.Unlock()
	p.close()
}

// fullBody returns the complete response body of a request that isn't streamed.
func fullBody(id string) string { return fmt.Sprintf("this is the answer to %s and to no other", id) }

// streamEvent returns the n-th event, from 1, of the response of an endpoint of a version to a streaming request.
func streamEvent(id string, n uint64, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, version)
}
