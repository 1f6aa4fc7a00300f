package soak

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/platform"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	seedGateways = 2               // number of gateways that the settings list as seeds
	gracePeriod  = 8 * time.Second // of a planned stop, as in the settings
	stopTimeout  = 9 * time.Second // limit for a planned stop: the grace period plus 1 s
	// rotationDelay is the time after the begin of a planned stop in which the load balancer may send new connections: it
	// asks once a second, and two negative answers in a row end it.
	rotationDelay = 2 * time.Second
	// startDelay is the time after the start of a process within which it need not accept connections.
	startDelay = 3 * time.Second
	// settleTime is the time after a pause within which the pause may explain how a request ended.
	settleTime = time.Second
	// stopReserve is the time before the end of the grace period in which a process may end requests.
	stopReserve = time.Second
)

// fleet is the set of gateways and the store that they read.
type fleet struct {
	store    *platformtest.Store
	server   *httptest.Server
	timeline *timeline
	gateways []*gateway

	mu         sync.Mutex
	violations []Violation // unexpected exits, planned stops that timed out, and starts and signals that failed
}

// gateway is one instance. Its process may be stopped and started again. It reaches the store through a
// fault-injecting proxy (package link).
type gateway struct {
	fleet                       *fleet
	name, settingsFile, logFile string
	binary                      string
	callerAddr                  string // IP:port
	storeLink                   *link.Link
	environment                 []string
	settings                    platformtest.Instance
	oneSeed                     bool // the settings name only the first seed

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	stopRequested   bool      // the exit of the process was requested
	lastDisturbance time.Time // last start or end of a fault other than a planned stop or a reload
	stoppingSince   time.Time // last SIGTERM of the process, zero for none
	ended           []func()  // end the circumstances that last until the next start of the process
	continued       func()    // ends the circumstance of a pause, nil for none
	peakMemory      uint64    // of its processes, in bytes
}

func startFleet(o Options, t *timeline) (*fleet, error) {
	f := &fleet{store: platformtest.NewStore(), timeline: t}
	f.server = httptest.NewServer(f.store)
	ports, err := platformtest.FreePorts(fmt.Sprintf("127.0.%d.1", o.LoopbackSubnet), 4)
	if err != nil {
		return f, err
	}
	for i := range o.Gateways {
		if err := f.addGateway(o, i, ports); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) addGateway(o Options, i int, ports []int) error {
	ip := fmt.Sprintf("127.0.%d.%d", o.LoopbackSubnet, i+1)
	l, err := link.Start("tcp", "127.0.0.1:0", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		return err
	}
	in := platformtest.Instance{
		ID: fmt.Sprintf("g-%d", i+1), DataCentre: "a", IP: ip, Callers: ports[0], Balancer: ports[1], Control: ports[2], Peers: ports[3],
		Store: l.Addr(), KeyRevocationDelay: keyRevocationDelay,
	}
	for s := range seedGateways {
		in.Seeds = append(in.Seeds, fmt.Sprintf("127.0.%d.%d:%d", o.LoopbackSubnet, s+1, ports[2]))
	}
	g := &gateway{
		fleet: f, name: in.ID, binary: o.Binary, storeLink: l, settings: in, environment: mixes[o.Mix].environment,
		settingsFile: filepath.Join(o.Dir, in.ID+".conf"),
		logFile:      filepath.Join(o.Dir, in.ID+".log"),
		callerAddr:   net.JoinHostPort(ip, fmt.Sprint(ports[0])),
	}
	f.gateways = append(f.gateways, g)
	if err := os.WriteFile(g.settingsFile, []byte(in.Settings()), 0o600); err != nil {
		return err
	}
	return g.start()
}

// start starts the process unless it is running.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(g.binary, "gateway")
	cmd.Env = append(append(os.Environ(), g.environment...), platform.SettingsVariable+"="+g.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start a gateway")
	}
	g.cmd, g.stopRequested, g.exited, g.stoppingSince = cmd, false, make(chan struct{}), time.Time{}
	g.endCircumstances()
	g.fleet.timeline.mark(gatewayDown, g.name, startDelay)
	go g.wait(cmd, g.exited)
	go g.watchMemory(cmd.Process.Pid, g.exited)
	return nil
}

func (g *gateway) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = nil
	switch {
	case !g.stopRequested:
		g.fleet.addViolation("process", "%s exited unexpectedly: %v", g.name, err)
	case err == nil || strings.Contains(err.Error(), "killed"):
	case g.loggedStart(cmd.Process.Pid):
		g.fleet.addViolation("process", "%s exited with an error: %v", g.name, err)
	}
	close(exited)
}

// loggedStart reports whether a process has written its process_started line. A process that
// receives SIGTERM earlier has installed no handler and is killed by the signal without having
// served a request, which isn't a violation.
func (g *gateway) loggedStart(pid int) bool {
	log, err := os.ReadFile(g.logFile)
	if err != nil {
		return true
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, fmt.Sprintf(" %d ", pid)) && strings.Contains(line, `"process_started"`) {
			return true
		}
	}
	return false
}

// signal sends a signal to the process if it is running.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	g.stopRequested = g.stopRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		g.lastDisturbance = time.Now()
	}
	g.noteSignal(s)
	if err := g.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		g.fleet.addViolation("process", "signal %v to %s: %v", s, g.name, err)
	}
}

// stop requests a planned stop and waits for the exit. After stopTimeout it kills the process, which is a
// violation if the gateway was undisturbed.
func (g *gateway) stop() {
	g.signal(syscall.SIGTERM)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		g.signal(syscall.SIGCONT) // the process may be paused
		g.signal(syscall.SIGKILL)
		<-exited
		if g.undisturbed() {
			g.fleet.addViolation("process", "%s did not stop within %v", g.name, stopTimeout)
		}
	}
}

// markDisturbed records that a fault which affects the gateway, other than a planned stop or a reload,
// starts or ends now.
func (g *gateway) markDisturbed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastDisturbance = time.Now()
}

// undisturbed reports whether undisturbedSince holds for the current time.
func (g *gateway) undisturbed() bool { return g.undisturbedSince(time.Now()) }

// undisturbedSince reports whether the last disturbance (see markDisturbed) was more than
// requestTimeout before start, or there was none.
func (g *gateway) undisturbedSince(start time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastDisturbance.IsZero() || start.Sub(g.lastDisturbance) > requestTimeout
}

func (f *fleet) addViolation(class, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, Violation{class, fmt.Sprintf(format, args...)})
}

// processViolations returns the violations found in the processes, as opposed to the ledger.
func (f *fleet) processViolations() []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		g.signal(syscall.SIGKILL)
		g.mu.Lock()
		exited := g.exited
		g.mu.Unlock()
		if exited != nil {
			<-exited
		}
		_ = g.storeLink.Close()
	}
	f.server.CloseClientConnections()
	f.server.Close()
}
