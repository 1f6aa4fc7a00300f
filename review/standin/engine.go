package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beat          = 1200 * time.Millisecond
	entryLife     = 3 * beat
	eventInterval = 40 * time.Millisecond // between two events of a stream
	streamEvents  = 48
	plainWork     = 30 * time.Millisecond
)

// engine is a server of a service. Its processes come one after the other under one id and address.
type engine struct {
	world             *world
	id, service, zone string
	addr              string

	mu      sync.Mutex
	process *engineProcess // nil while it is down
	cut     bool           // it doesn't reach the store
	lost    float64        // share of its answers that are lost after it has run their requests
	failing float64        // share of its requests that it fails
}

// engineProcess is one process of an engine.
type engineProcess struct {
	engine  *engine
	version string
	born    time.Time
	server  *http.Server
	ended   chan struct{}
	seq     int
}

func newEngine(w *world, id, service, zone string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{world: w, id: id, service: service, zone: zone, addr: l.Addr().String()}
	return e, l.Close()
}

// start starts a process of a version, which writes its entry at once if it reaches the store.
func (e *engine) start(version string, born time.Time) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", e.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	p := &engineProcess{engine: e, version: version, born: born, ended: make(chan struct{})}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	e.mu.Lock()
	e.process = p
	e.mu.Unlock()
	go func() { _ = p.server.Serve(l) }()
	go p.beats()
	e.world.record.printf("engine %s starts, version %s, born %d", e.id, version, born.UnixMilli())
	return nil
}

// crash ends the process and all its connections.
func (e *engine) crash() {
	e.mu.Lock()
	p := e.process
	e.process = nil
	e.mu.Unlock()
	if p == nil {
		return
	}
	close(p.ended)
	_ = p.server.Close()
	e.world.record.printf("engine %s crashes, version %s", e.id, p.version)
}

// loseAnswers makes the engine lose a share of its answers: it runs the request and closes the connection.
func (e *engine) loseAnswers(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = share
	e.world.record.printf("engine %s loses answers: %g", e.id, share)
}

func (e *engine) losesAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < e.lost
}

// fail makes the engine fail a share of its requests, while its health check is good.
func (e *engine) fail(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = share
	e.world.record.printf("engine %s fails requests: %g", e.id, share)
}

func (e *engine) failsRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < e.failing
}

// setCut parts the engine from the store, or ends that.
func (e *engine) setCut(cut bool) {
	e.mu.Lock()
	p := e.process
	e.cut = cut
	e.mu.Unlock()
	e.world.record.printf("engine %s cut off from the store: %t", e.id, cut)
	if !cut && p != nil {
		p.beat()
	}
}

func (p *engineProcess) beats() {
	p.beat()
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.beat()
		case <-p.ended:
			return
		}
	}
}

func (p *engineProcess) beat() {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if p.engine.cut || p.hasEnded() {
		return
	}
	p.seq++
	p.engine.world.store.put("servers/"+p.engine.id, map[string]any{
		"service": p.engine.service, "address": p.engine.addr, "zone": p.engine.zone, "version": p.version, "slot_count": 64,
		"state": "ready", "cold_left_ms": 0, "seq": p.seq, "born": p.born.UnixMilli(),
	}, entryLife)
}

func (p *engineProcess) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *engineProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.hasEnded() {
		panic(http.ErrAbortHandler)
	}
	e := p.engine
	switch r.URL.Path {
	case "/-/report":
		writeJSON(w, map[string]any{"stage": "prefill_decode", "busy": false, "seq": p.seq, "born": p.born.UnixMilli(), "num_waiting": 0, "num_running": 1})
		return
	case "/health":
		w.Header().Set("Instance-Id", e.id)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.world.ran(run{id: id, engine: e.id, version: p.version, tenant: r.Header.Get("Tenant"), target: r.RequestURI, after: after})
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", "3e1b.07.5a2.600.0."+id)
	if e.failsRequest() {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		p.stream(w, r, id, after)
		return
	}
	time.Sleep(plainWork)
	if e.losesAnswer() {
		e.world.record.printf("engine %s has run %s, and its answer is lost", e.id, id)
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "the answer to %s", id)
}

// stream sends the events after a number. Their data name the request and the version that made them.
func (p *engineProcess) stream(w http.ResponseWriter, r *http.Request, id string, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		case <-p.ended:
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s by version %s\n\n", n, id, p.version)
		_ = http.NewResponseController(w).Flush()
	}
}
