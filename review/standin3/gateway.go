package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gateway is one entry instance with its process, which is started again when it ends.
type gateway struct {
	w        *world
	name     string
	settings string // path
	front    string // address for clients
	ready    string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// ports are those of all machines, as the settings name them. The metrics port is that of the deploy file.
type ports struct{ front, ready, control, peers int }

const metricsPort = 9464

// freePorts returns ports that are free at an address at the time of the call.
func freePorts(ip string) (ports, error) {
	var found [4]int
	for i := range found {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		found[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{found[0], found[1], found[2], found[3]}, nil
}

// settingsText has the fields of the users' pages, with the figures of their small deployments.
const settingsText = `node_name=%[1]s
role=gateway
machine_class=front
serves=front,control
ip=%[2]s
zone=%[3]s
region=region
zones.zone-a=region
zones.zone-b=region
listen.front=%[2]s:%[8]d
listen.ready=%[2]s:%[9]d
listen.control=%[2]s:%[10]d
port_range=%[11]d,%[11]d
seed_nodes=%[4]s
bootstrap=%[7]t
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
bounds.grace_s=%[6]d
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
platform.address=%[5]s
platform.form=read
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// startGateways starts a number of gateways, in two zones by turns, and waits until all are ready. The first ones are the
// seeds.
func (w *world) startGateways(n int) ([]*gateway, error) {
	for i := range n {
		w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", w.gatewayIP(i), w.ports.control))
	}
	w.seeds = w.seeds[:min(len(w.seeds), maxSeeds)]
	for i := range n {
		if _, err := w.startGateway(i, true); err != nil {
			return nil, err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	return w.gateways, nil
}

// maxSeeds is the number of seeds in the settings.
const maxSeeds = 3

func (w *world) gatewayIP(i int) string { return w.ip(i%2, 10+i) }

// startGateway starts the gateway with a number. bootstrap says that the whole system starts for the first time.
func (w *world) startGateway(i int, bootstrap bool) (*gateway, error) {
	ip, zone := w.gatewayIP(i), []string{"zone-a", "zone-b"}[i%2]
	g := &gateway{
		w: w, name: fmt.Sprintf("front-%s-%d", zone, i+1), settings: filepath.Join(w.dir, fmt.Sprintf("node-%d.conf", i+1)),
		front: fmt.Sprintf("%s:%d", ip, w.ports.front), ready: fmt.Sprintf("%s:%d", ip, w.ports.ready),
	}
	text := fmt.Sprintf(settingsText, g.name, ip, zone, strings.Join(w.seeds, ","), w.storeAddr, w.graceSeconds, bootstrap,
		w.ports.front, w.ports.ready, w.ports.control, w.ports.peers)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateways = append(w.gateways, g)
	return g, nil
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	out, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(g.w.gatewayPath, "gateway", "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.w.dir, "DANDELIONVANE_CONFIG=" + g.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	g.cmd = cmd
	g.mu.Unlock()
	g.w.note("%s starts", g.name)
	return nil
}

func (g *gateway) process() *exec.Cmd {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd
}

// kill ends the process with SIGKILL.
func (g *gateway) kill() {
	cmd := g.process()
	if cmd == nil || cmd.Process == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
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

func (g *gateway) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			g.w.note("%s is ready", g.name)
			return nil
		}
	}
	log, _ := os.ReadFile(g.settings + ".log")
	return errors.New(g.name + " does not become ready: " + string(log[max(0, len(log)-2000):]))
}

func (g *gateway) dial() (net.Conn, error) { return net.DialTimeout("tcp", g.front, time.Second) }
