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
	seeds     = 2               // gateways that the settings name
	stopLimit = 9 * time.Second // of a planned stop: the grace of the settings and a second
)

// fleet is the gateways with their store.
type fleet struct {
	store    *platformtest.Store
	server   *httptest.Server
	gateways []*gateway

	mu    sync.Mutex
	wrong []string // ends of processes that nobody asked for, or not so
}

// gateway is one instance, whose process comes and goes. Its way to the store is a link.
type gateway struct {
	fleet           *fleet
	name, file, log string
	binary          string
	callers         string // IP:port
	store           *link.Link
	mu              sync.Mutex
	cmd             *exec.Cmd
	ended           chan struct{}
	expected        bool      // the end of the process is asked for
	unplanned       time.Time // last disturbance that is no planned work
}

func startFleet(o Options) (*fleet, error) {
	f := &fleet{store: platformtest.NewStore()}
	f.server = httptest.NewServer(f.store)
	ports, err := platformtest.FreePorts(fmt.Sprintf("127.0.%d.1", o.LoopbackSubnet), 4)
	if err != nil {
		return f, err
	}
	for i := range o.Gateways {
		if err := f.add(o, i, ports); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) add(o Options, i int, ports []int) error {
	ip := fmt.Sprintf("127.0.%d.%d", o.LoopbackSubnet, i+1)
	l, err := link.Start("tcp", "127.0.0.1:0", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		return err
	}
	in := platformtest.Instance{
		ID: fmt.Sprintf("g-%d", i+1), DataCentre: "a", IP: ip, Callers: ports[0], Balancer: ports[1], Control: ports[2], Peers: ports[3],
		Store: l.Addr(), KeyRevocationDelay: revocation,
	}
	for s := range seeds {
		in.Seeds = append(in.Seeds, fmt.Sprintf("127.0.%d.%d:%d", o.LoopbackSubnet, s+1, ports[2]))
	}
	g := &gateway{
		fleet: f, name: in.ID, binary: o.Binary, store: l,
		file:    filepath.Join(o.Dir, in.ID+".conf"),
		log:     filepath.Join(o.Dir, in.ID+".log"),
		callers: net.JoinHostPort(ip, fmt.Sprint(ports[0])),
	}
	f.gateways = append(f.gateways, g)
	if err := os.WriteFile(g.file, []byte(in.Settings()), 0o600); err != nil {
		return err
	}
	return g.start()
}

// start starts a process, unless one runs.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(g.binary, "gateway")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+g.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start a gateway")
	}
	g.cmd, g.expected, g.ended = cmd, false, make(chan struct{})
	go g.wait(cmd, g.ended)
	return nil
}

func (g *gateway) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = nil
	switch {
	case !g.expected:
		g.fleet.note("%s ended by itself: %v", g.name, err)
	case err == nil || strings.Contains(err.Error(), "killed"):
	case g.begun(cmd.Process.Pid):
		g.fleet.note("%s ended with %v", g.name, err)
	}
	close(ended)
}

// begun tells whether a process got as far as its first line. One that is stopped before
// ends by the signal itself: it has served nobody (seed 5010).
func (g *gateway) begun(pid int) bool {
	log, err := os.ReadFile(g.log)
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

// signal sends a signal to the process, if there is one.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	g.expected = g.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		g.unplanned = time.Now()
	}
	if err := g.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		g.fleet.note("signal %v to %s: %v", s, g.name, err)
	}
}

// stop begins a planned stop and waits for its end.
func (g *gateway) stop() {
	g.signal(syscall.SIGTERM)
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(stopLimit):
		g.signal(syscall.SIGCONT) // it may be paused
		g.signal(syscall.SIGKILL)
		<-ended
		if g.calm() {
			g.fleet.note("%s did not stop in %v", g.name, stopLimit)
		}
	}
}

// trouble notes a disturbance of the gateway that is no planned work.
func (g *gateway) trouble() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unplanned = time.Now()
}

// calm tells whether there was no such disturbance of late.
func (g *gateway) calm() bool { return g.onlyPlanned(time.Now()) }

// onlyPlanned tells whether nothing but planned work disturbed the gateway from some
// seconds before a time.
func (g *gateway) onlyPlanned(since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unplanned.IsZero() || since.Sub(g.unplanned) > callTimeout
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrong = append(f.wrong, fmt.Sprintf(format, args...))
}

// exits returns what was wrong with the ends of processes.
func (f *fleet) exits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wrong
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		g.signal(syscall.SIGKILL)
		g.mu.Lock()
		ended := g.ended
		g.mu.Unlock()
		if ended != nil {
			<-ended
		}
		_ = g.store.Close()
	}
	f.server.CloseClientConnections()
	f.server.Close()
}
