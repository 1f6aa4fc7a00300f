package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ports are the ports that the machines of a fleet share.
type ports struct{ front, ready, control, peers, metrics int }

// freePorts returns ports that are free on an address.
func freePorts(ip string) (ports, error) {
	var n [5]int
	for i := range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		n[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{n[0], n[1], n[2], n[3], n[4]}, nil
}

// machine is one machine of the system, which runs a gateway.
type machine struct {
	name, zone, ip string
	seeds          []string // IP addresses
	ports          ports
	storeAddr      string
	dir            string // of its settings and its log
	log            *record
	memoryMB       int
	cmd            *exec.Cmd
	ended          chan struct{}
	startedAt      time.Time
}

// zones are the zones of the deployment.
var zones = []string{"regina-a", "saskatoon-b", "brandon-c", "lethbridge-d"}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.front) }

// settings returns the settings of the small deployment coulee-yards.
func (m *machine) settings(bootstrap bool) string {
	var seeds []string
	for _, ip := range m.seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, m.ports.control))
	}
	var b strings.Builder
	set := func(name string, v any) { fmt.Fprintf(&b, "%s=%v\n", name, v) }
	set("node_name", m.name)
	set("role", "gateway")
	set("machine_class", "front")
	set("serves", "front,control")
	set("ip", m.ip)
	set("zone", m.zone)
	set("region", "prairie")
	for _, z := range zones {
		set("zones."+z, "prairie")
	}
	set("listen.front", m.front())
	set("listen.ready", fmt.Sprintf("%s:%d", m.ip, m.ports.ready))
	set("listen.control", fmt.Sprintf("%s:%d", m.ip, m.ports.control))
	set("port_range", fmt.Sprintf("%d,%d", m.ports.peers, m.ports.peers))
	set("seed_nodes", strings.Join(seeds, ","))
	set("bootstrap", bootstrap)
	set("fault_counted", false)
	set("limits.cpu_quota", 0.4)
	set("limits.cpu_cores", 1)
	set("limits.memory_mb", m.memoryMB)
	set("limits.max_fds", 4100)
	set("limits.link_mbps", 1000.0)
	set("limits.disk_mb", 0)
	set("discovery", "platform")
	set("entry", "vip")
	set("beat_ms", 1200)
	set("contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform")
	set("fault_tolerance.machines", 1)
	set("fault_tolerance.zones", 1)
	set("fault_tolerance.regions", 0)
	for name, v := range map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
		"config_ms": 2000, "rollback_slack_ms": 250, "stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "budget_ratio": 0.2,
		"budget_window_s": 10, "budget_extra": 58, "cold_multiplier": 1.5, "cold_extra": 5, "evac_ms": 5000, "recovery_s": 12, "pass_ms": 120,
		"retry_after_s": 10, "cap_x": 2,
	} {
		set("bounds."+name, v)
	}
	set("platform.address", m.storeAddr)
	set("platform.form", "read")
	set("platform.writes_per_s", 400)
	set("platform.reads_per_s", 2000)
	set("platform.history_s", 20)
	set("platform.value_bytes", 1048576)
	set("platform.ttl_min_ms", 1000)
	return b.String()
}

// start starts the gateway with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	file := filepath.Join(m.dir, m.name+".conf")
	if err := os.WriteFile(file, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command("target/dandelionvane", "gateway", "--metrics-port", strconv.Itoa(m.ports.metrics))
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DANDELIONVANE_CONFIG=" + file}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.startedAt, m.ended = time.Now(), make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(m.cmd, m.ended)
	m.log.write("%s starts, process %d, bootstrap %v", m.name, m.cmd.Process.Pid, bootstrap)
	return nil
}

// signal sends a signal to the gateway, unless it has ended.
func (m *machine) signal(s syscall.Signal) {
	if m.running() {
		m.log.write("%s gets %v", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the gateway and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
}

func (m *machine) running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// ready reports whether the machine says that it is ready.
func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", m.ip, m.ports.ready), nil)
	if err != nil {
		return false
	}
	resp, err := oneCall.RoundTrip(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// oneCall opens a new connection for each call.
var oneCall = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
