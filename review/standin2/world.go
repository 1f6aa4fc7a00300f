package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// world is a small deployment on loopback addresses: a store, engines and machines of the system.
type world struct {
	log      *record
	dir      string
	subnet   string // the first three numbers of all addresses
	store    *store
	engines  []*engine
	machines []*machine

	processes []*engineProcess
}

// newWorld returns a world whose store has reached a revision. The addresses differ between processes.
func newWorld(log *record, revision uint64) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{log: log, dir: dir, subnet: fmt.Sprintf("127.%d.%d", 10+pid/250%200, 1+pid%250)}
	w.store, err = startStore(w.subnet+".250", revision)
	present.Store(w)
	return w, err
}

// present is the world of this process.
var present atomic.Pointer[world]

// addEngine starts an engine.
func (w *world) addEngine(e *engine) (*engine, error) {
	e.store, e.log = w.store, w.log
	if e.id == "" {
		e.id = fmt.Sprintf("i-%02x%06x", len(w.engines)+1, time.Now().UnixMicro()&0xffffff)
	}
	if e.slots == 0 {
		e.slots = 64
	}
	if e.zone == "" {
		e.zone = zones[len(w.engines)%len(zones)]
	}
	w.engines = append(w.engines, e)
	return e, e.start(fmt.Sprintf("%s.%d", w.subnet, 100+len(w.engines)))
}

// addMachines starts n machines for the first time; up to three of them are seeds.
func (w *world) addMachines(n, memoryMB int) error {
	p, err := freePorts(w.subnet + ".1")
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d", w.subnet, i+1))
	}
	for i := range n {
		zone := zones[i%len(zones)]
		m := &machine{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s.%d", w.subnet, i+1), seeds: seeds, ports: p,
			storeAddr: w.store.addr, dir: w.dir, log: w.log, memoryMB: memoryMB,
		}
		w.machines = append(w.machines, m)
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range w.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.log.write("all machines are ready")
	return nil
}

// close ends all processes. The logs of the gateways are kept beside the record if KEEP is set.
func (w *world) close() {
	var ends sync.WaitGroup
	for _, m := range w.machines {
		ends.Go(m.kill)
	}
	ends.Wait()
	for _, e := range w.processes {
		if e.cmd.ProcessState == nil {
			e.kill()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, m := range w.machines {
			b, _ := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), b, 0o600)
		}
	}
	_ = os.RemoveAll(w.dir)
}

// route is a route of the configuration, as on the platform's pages.
type route map[string]any

// config is a configuration of the operator.
type config struct {
	Version  int64            `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants,omitempty"`
}

// Names of the services and of the host of all days here.
const (
	llm  = "kaba98a"
	desk = "lehu44b"
	host = "lopu30.example"
)

// newConfig returns a configuration with a route of each kind of the small deployment.
func newConfig() *config {
	return &config{
		Version: 12,
		Routes: []route{
			{"name": "hire-draft", "host": host, "prefix": "/stream/hire/", "route_kind": "streaming", "resumable": true, "timeout_ms": 12000, "goal_latency_ms": 600, "gap_aim_ms": 250, "priority": 1, "service": llm, "max_attempts": 2, "sticky": true},
			{"name": "gate-chat", "host": host, "prefix": "/stream/gate/", "route_kind": "streaming", "resumable": false, "timeout_ms": 10000, "goal_latency_ms": 250, "gap_aim_ms": 250, "priority": 0, "service": llm, "max_attempts": 1, "sticky": true},
			{"name": "photo-tag", "host": host, "prefix": "/stream/photo/", "route_kind": "streaming", "resumable": true, "timeout_ms": 2500, "goal_latency_ms": 300, "gap_aim_ms": 250, "priority": 2, "service": llm, "max_attempts": 2, "sticky": true},
			{"name": "slot-book", "host": host, "prefix": "/book/", "route_kind": "non_idempotent", "timeout_ms": 1200, "goal_latency_ms": 150, "priority": 2, "service": desk, "max_attempts": 1},
			{"name": "yard-look", "host": host, "prefix": "/look/", "route_kind": "idempotent", "timeout_ms": 1200, "goal_latency_ms": 150, "priority": 2, "service": desk, "max_attempts": 2},
		},
		Services: []map[string]any{
			{"name": llm, "health_path": "/health", "max_conns": 370, "cold_start_s": 3.0, "cold_per_s": 18.0, "engine": map[string]any{"slot_count": 64, "kv_tokens": 641197}},
			{"name": desk, "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		Limits:  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
		Tenants: []map[string]any{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}}, {"name": "nato112", "api_keys": []string{"k7dmvqe2wh40rjy5tz8x"}}},
	}
}

// key is one of the keys of newConfig.
const key = "n2ctnfzs989anu6wsjnb"

// publish writes a configuration.
func (w *world) publish(c *config) {
	b, _ := json.Marshal(c)
	rev := w.store.put("op/config", b)
	w.log.write("the store acknowledges configuration %d at revision %d, %d bytes", c.Version, rev, len(b))
}
