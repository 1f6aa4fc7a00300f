package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Prefixes of the routes.
const (
	streamPrefix = "/lohu930/" // streaming, resumable
	bookPrefix   = "/puxa403/" // non_idempotent
	lookPrefix   = "/cufi504/" // idempotent
	host         = "ficu95.example"
)

// moreRoutes is the number of routes beside these. The operator may add hundreds.
const moreRoutes = 50

// run is a request that an engine has run.
type run struct {
	id, engine, version, tenant, target string
	after                               int
	at                                  time.Time
}

// world is a small deployment: the store, engines, gateways and what was run.
type world struct {
	record   *record
	program  string
	store    *store
	engines  []*engine
	gateways []*gateway
	dir      string // for settings and logs

	mu   sync.Mutex
	runs []run
}

func (w *world) ran(r run) {
	r.at = time.Now()
	w.record.printf("engine %s (version %s) runs %s, %s, tenant %q, after event %d", r.engine, r.version, r.id, r.target, r.tenant, r.after)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

// runsOf returns the runs of a request.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

// tenant is an entry of the configuration.
type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
}

// config returns a configuration with the three routes, like that of the pages.
func config(version int, tenants []tenant) map[string]any {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "prefix": prefix, "route_kind": kind, "timeout_ms": 12000, "goal_latency_ms": 600,
			"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
	}
	routes := []any{
		route("r-stream", streamPrefix, "streaming", "vane-llm", map[string]any{"sticky": true, "resumable": true, "gap_aim_ms": 250}),
		route("r-book", bookPrefix, "non_idempotent", "yard-desk", map[string]any{"max_attempts": 1}),
		route("r-look", lookPrefix, "idempotent", "yard-desk", nil),
	}
	for n := range moreRoutes {
		routes = append(routes, route(fmt.Sprintf("r-more-%d", n), fmt.Sprintf("/more%d/", n), "idempotent", "yard-desk", nil))
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{service("vane-llm"), service("yard-desk")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

// gateway is one entry machine.
type gateway struct {
	world        *world
	name, ip     string
	settingsFile string
	front, ready string // IP:port
	cmd          *exec.Cmd
	exited       chan struct{}
}

const settingsFormat = `node_name=%[1]s
role=gateway
machine_class=front
serves=front,control
ip=%[2]s
zone=%[3]s
region=prairie
zones.regina-a=prairie
zones.saskatoon-b=prairie
zones.brandon-c=prairie
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
listen.control=%[2]s:%[6]d
port_range=%[7]d,%[7]d
seed_nodes=%[8]s
bootstrap=%[10]t
fault_counted=false
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
beat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.stretch_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=58
bounds.cold_multiplier=1.5
bounds.cold_extra=5
bounds.evac_ms=5000
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=10
bounds.cap_x=2
platform.address=%[9]s
platform.form=read
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

var zones = []string{"regina-a", "saskatoon-b", "brandon-c"}

// freePorts returns ports that are free at all addresses, for TCP and UDP.
func freePorts(ips []string, n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n && tries < 1000; tries++ {
		port := 20000 + rand.IntN(30000)
		free := true
		for _, ip := range ips {
			addr := net.JoinHostPort(ip, fmt.Sprint(port))
			tcp, err := net.Listen("tcp", addr)
			if err != nil {
				free = false
				break
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp", addr)
			if err != nil {
				free = false
				break
			}
			_ = udp.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

// setUp starts the store and the gateways' settings. The operator has written the first configuration.
func (w *world) setUp(gateways int, first map[string]any) error {
	var err error
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if w.store, err = startStore(); err != nil {
		return err
	}
	w.store.put("op/config", first, 0)
	subnet := 1 + rand.IntN(250)
	var ips []string
	for i := range gateways {
		ips = append(ips, fmt.Sprintf("127.77.%d.%d", subnet, i+1))
	}
	ports, err := freePorts(ips, 4)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips[:min(len(ips), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	for i, ip := range ips {
		g := &gateway{world: w, name: fmt.Sprintf("front-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		g.settingsFile = filepath.Join(w.dir, g.name+".conf")
		w.gateways = append(w.gateways, g)
		if err := g.writeSettings(zones[i%len(zones)], ports, seeds, true); err != nil {
			return err
		}
	}
	return nil
}

func (g *gateway) writeSettings(zone string, ports []int, seeds []string, bootstrap bool) error {
	text := fmt.Sprintf(settingsFormat, g.name, g.ip, zone, ports[0], ports[1], ports[2], ports[3], strings.Join(seeds, ","), g.world.store.addr(), bootstrap)
	return os.WriteFile(g.settingsFile, []byte(text), 0o600)
}

// endBootstrap rewrites the settings as they are after the first start of the whole system.
func (w *world) endBootstrap() error {
	for _, g := range w.gateways {
		text, err := os.ReadFile(g.settingsFile)
		if err != nil {
			return err
		}
		if err := os.WriteFile(g.settingsFile, []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// addEngines starts engines of a service, which have run for an hour.
func (w *world) addEngines(service string, n int) ([]*engine, error) {
	var out []*engine
	for i := range n {
		e, err := newEngine(w, fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		if err := e.start("v1", time.Now().Add(-time.Hour)); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	w.engines = append(w.engines, out...)
	return out, nil
}

func (w *world) startGateways() error {
	for _, g := range w.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return w.endBootstrap()
}

func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(g.world.program, "gateway")
	cmd.Env = append(os.Environ(), "DANDELIONVANE_CONFIG="+g.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	g.world.record.printf("gateway %s starts", g.name)
	g.cmd, g.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(g.exited)
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.world.record.printf("gateway %s gets %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.exited
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			g.world.record.printf("gateway %s is ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("gateway %s isn't ready after %v", g.name, limit)
}

// close ends all processes that were started.
func (w *world) close() {
	for _, g := range w.gateways {
		if g.cmd != nil {
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	for _, e := range w.engines {
		e.crash()
	}
	if w.store != nil {
		_ = w.store.server.Close()
	}
	switch {
	case w.dir == "":
	case os.Getenv("KEEP") != "":
		fmt.Println("kept", w.dir) // settings and logs of the gateways
	default:
		_ = os.RemoveAll(w.dir)
	}
}
