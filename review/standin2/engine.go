package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in for a server of a service. It registers itself in the store.
type engine struct {
	id, service, zone, version string
	store                      *store
	log                        *record
	addr                       string
	slots                      int
	eventGap                   time.Duration // between the events of a stream
	events                     int           // of a stream
	work                       time.Duration // of a plain request

	mu      sync.Mutex
	born    int64
	seq     uint64
	state   string
	server  *http.Server
	stop    context.CancelFunc // of the heartbeats
	leaving atomic.Bool        // Server-Leaving in all responses
	running atomic.Int32
}

// start starts the engine's process at its address, or at a new one if it has none.
func (e *engine) start(ip string) error {
	addr := e.addr
	if addr == "" {
		addr = ip + ":0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.serveHealth)
	mux.HandleFunc("GET /-/report", e.serveReport)
	mux.HandleFunc("/", e.serve)
	e.mu.Lock()
	e.addr = l.Addr().String()
	e.born, e.seq, e.state = time.Now().UnixMilli(), 0, "ready"
	e.server = &http.Server{Handler: mux}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.log.write("engine %s starts, version %s, address %s", e.id, e.version, e.addr)
	e.beginBeats()
	return nil
}

// beginBeats writes the engine's entry, and then a heartbeat every 1.2 s until stop is called.
func (e *engine) beginBeats() {
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.beat()
	go e.beats(ctx)
}

func (e *engine) beats(ctx context.Context) {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.beat()
		case <-ctx.Done():
			return
		}
	}
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.store.put("servers/"+e.id, e.entry())
}

func (e *engine) entry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	b, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.version, "slot_count": e.slots,
		"state": e.state, "cold_left_ms": 0, "seq": e.seq, "born": e.born,
	})
	return b
}

func (e *engine) common(h http.Header) {
	h.Set("Instance-Id", e.id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	if e.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
}

func (e *engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.common(w.Header())
	w.WriteHeader(http.StatusOK)
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.common(w.Header())
	e.mu.Lock()
	born := e.born
	e.mu.Unlock()
	respond(w, map[string]any{
		"stage": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1, "lora_adapters": []string{}}}, "busy": false, "seq": 0,
		"num_waiting": 0, "num_running": e.running.Load(), "kv_used": 0, "kv_total": 640000, "handles": 0, "born": born,
	})
}

// serve runs a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.common(w.Header())
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		e.log.write("engine %s (%s) gets %s for %s: 421", e.id, e.service, id, want)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.log.run(run{Engine: e.id, Service: e.service, Version: e.version, ID: id, Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host, Tenant: r.Header.Get("Tenant")})
	w.Header().Set("Response-Stamp", "s."+e.id+"."+id)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		e.stream(w, r)
		return
	}
	time.Sleep(e.work)
	body := "answer of " + e.id + " to " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// stream sends the events after the one in Last-Event-Id. Each tells the version of the engine's software.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.eventGap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, e.version, e.id); err != nil || rc.Flush() != nil {
			return
		}
	}
}
