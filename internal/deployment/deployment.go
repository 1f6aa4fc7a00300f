package deployment

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/standin/platform"
)

const (
	routerProgram   = "dandelionvane"
	standinProgram  = "standins"
	privateFileMode = 0o600
	pollInterval    = 20 * time.Millisecond
	callTimeout     = 5 * time.Second // timeout of one HTTP request to a child process
)

// Options sets the directories and the log of a deployment.
type Options struct {
	BinDir string    // directory of the programs dandelionvane and standins
	Dir    string    // directory in which keys and settings files are written
	Log    io.Writer // receives the standard error of all child processes

	// EngineProxy, if set, starts a proxy in front of the engine at addr and returns its address, which is published
	// instead of addr.
	EngineProxy func(addr string) (string, error)
}

// Router is one router process.
type Router struct {
	RouterSpec
	CallerAddr   string // IP:port
	PeerAddr     string // IP:port
	OperatorAddr string // IP:port

	settingsFile string // path
	process      *process
}

// DataCentreRequests returns the number of requests that the endpoints of a data centre have accepted since they
// started.
func (d *Deployment) DataCentreRequests(ctx context.Context, dc fleet.DataCentreID) (int, error) {
	sum := 0
	for _, e := range d.Endpoints {
		if e.DataCentre != dc {
			continue
		}
		n, err := d.endpointRequests(ctx, e)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// BookingRuns returns the number of executions of each booking, summed over all service replicas.
func (d *Deployment) BookingRuns(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, e := range d.Endpoints {
		if e.Kind != fleet.Service {
			continue
		}
		r, err := d.ServiceRuns(ctx, e)
		if err != nil {
			return nil, err
		}
		for booking, n := range r.ByBooking {
			sum[booking] += n
		}
	}
	return sum, nil
}

// Endpoint is an endpoint that a stand-in process implements. Its address is that of the process, not of a proxy.
type Endpoint struct{ fleet.Endpoint }

// Deployment is a running deployment.
type Deployment struct {
	Spec      Spec
	Endpoints []Endpoint // engines first, in the order of the spec

	opts         Options
	starter      *processStarter
	platformAddr string // IP:port
	client       *http.Client

	mu                    sync.Mutex
	children              []*process
	routers               []*Router
	outOfService          map[fleet.DataCentreID]bool
	configurationRevision uint64 // of the last published configuration
}

// Start starts a deployment and waits until all routers are ready. If it fails, it stops all processes.
func Start(ctx context.Context, spec Spec, opts Options) (*Deployment, error) {
	d := &Deployment{
		Spec: spec, opts: opts, starter: newProcessStarter(), outOfService: map[fleet.DataCentreID]bool{},
		client: &http.Client{Timeout: callTimeout},
	}
	for _, step := range []func(context.Context) error{
		d.startStandins, d.assignRouterAddrs, d.publishFeeds, d.issueCertificates, d.startRouters, d.WaitReady,
	} {
		if err := step(ctx); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close kills all child processes and waits until they have exited.
func (d *Deployment) Close() {
	d.mu.Lock()
	children := d.children
	d.mu.Unlock()
	for _, p := range children {
		p.kill()
	}
	d.starter.close()
	d.client.CloseIdleConnections()
}

func (d *Deployment) startStandin(name string, args ...string) (string, error) {
	p, addr, err := d.starter.start(name, d.opts.Log, true, filepath.Join(d.opts.BinDir, standinProgram), args...)
	if err != nil {
		return "", err
	}
	d.addChild(p)
	return addr, nil
}

func (d *Deployment) addChild(p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.children = append(d.children, p)
}

func (d *Deployment) startStandins(context.Context) (err error) {
	if d.platformAddr, err = d.startStandin("platform", "platform"); err != nil {
		return err
	}
	for _, e := range d.Spec.Engines {
		addr, err := d.startStandin(string(e.Config.ID), engineArgs(e.Config)...)
		if err != nil {
			return err
		}
		d.Endpoints = append(d.Endpoints, Endpoint{fleet.Endpoint{
			ID: e.Config.ID, DataCentre: e.DataCentre, Addr: addr, Kind: fleet.Engine, Model: e.Config.Model,
			Capacity: e.Config.Capacity, ChecksFence: e.Config.ChecksFence,
		}})
	}
	for _, s := range d.Spec.Services {
		addr, err := d.startStandin(s.Config.ID, serviceArgs(s.Config)...)
		if err != nil {
			return err
		}
		d.Endpoints = append(d.Endpoints, Endpoint{fleet.Endpoint{
			ID: fleet.EndpointID(s.Config.ID), DataCentre: s.DataCentre, Addr: addr, Kind: fleet.Service,
			Service: s.Service, Capacity: s.Config.Capacity,
		}})
	}
	return nil
}

const addrsPerRouter = 3 // for callers, peers and operators

func (d *Deployment) assignRouterAddrs(context.Context) error {
	addrs, err := FreeAddrs(addrsPerRouter * len(d.Spec.Routers))
	if err != nil {
		return err
	}
	for i, s := range d.Spec.Routers {
		a := addrs[addrsPerRouter*i:]
		d.routers = append(d.routers, &Router{
			RouterSpec: s, CallerAddr: a[0], PeerAddr: a[1], OperatorAddr: a[2],
			settingsFile: d.filePath(string(s.ID) + ".toml"),
		})
	}
	return nil
}

func (d *Deployment) publishFeeds(ctx context.Context) error {
	var instances platform.InstancesValue
	for _, r := range d.routers {
		instances.Instances = append(instances.Instances, fleet.Instance{ID: r.ID, DataCentre: r.DataCentre, PeerAddr: r.PeerAddr})
	}
	var endpoints platform.EndpointsValue
	for _, e := range d.Endpoints {
		if e.Kind == fleet.Engine && d.opts.EngineProxy != nil {
			var err error
			if e.Addr, err = d.opts.EngineProxy(e.Addr); err != nil {
				return err
			}
		}
		endpoints.Endpoints = append(endpoints.Endpoints, e.Endpoint)
	}
	if err := d.publish(ctx, platform.Instances, instances); err != nil {
		return err
	}
	if err := d.publish(ctx, platform.Endpoints, endpoints); err != nil {
		return err
	}
	return d.publishConfiguration(ctx)
}

func (d *Deployment) startRouters(context.Context) error {
	for _, r := range d.routers {
		if err := d.writeSettings(r); err != nil {
			return err
		}
		if err := d.StartRouter(r.ID); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) writeSettings(r *Router) error {
	return errors.Wrap(os.WriteFile(r.settingsFile, []byte(d.settings(r)), privateFileMode), "deployment: write settings")
}

// Routers returns all routers, whether running or not.
func (d *Deployment) Routers() []*Router { return d.routers }

// StartRouter starts a router, or restarts one that has exited.
func (d *Deployment) StartRouter(id fleet.InstanceID) error {
	r := d.router(id)
	program := filepath.Join(d.opts.BinDir, routerProgram)
	p, _, err := d.starter.start(string(id), d.opts.Log, false, program, "router", "--settings", r.settingsFile)
	if err != nil {
		return err
	}
	d.addChild(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	r.process = p
	return nil
}

// ReplaceRouter kills a router and starts it at new addresses, as the platform does when it replaces an instance. It
// doesn't publish the new addresses, because the platform may be unavailable.
func (d *Deployment) ReplaceRouter(id fleet.InstanceID) error {
	d.KillRouter(id)
	addrs, err := FreeAddrs(addrsPerRouter)
	if err != nil {
		return err
	}
	r := d.router(id)
	r.CallerAddr, r.PeerAddr, r.OperatorAddr = addrs[0], addrs[1], addrs[2]
	if err := d.writeSettings(r); err != nil {
		return err
	}
	return d.StartRouter(id)
}

// KillRouter kills a router with SIGKILL and waits until it has exited.
func (d *Deployment) KillRouter(id fleet.InstanceID) { d.routerProcess(id).kill() }

// SignalRouter sends a signal to a router.
func (d *Deployment) SignalRouter(id fleet.InstanceID, sig syscall.Signal) error {
	return d.routerProcess(id).signal(sig)
}

// WaitExit waits until a router has exited and returns its exit code.
func (d *Deployment) WaitExit(ctx context.Context, id fleet.InstanceID) (int, error) {
	p := d.routerProcess(id)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "deployment: wait for the exit of %s", id)
	}
}

// WaitReady waits until all routers are ready. It fails if one of them exits first.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, r := range d.routers {
		if err := d.WaitRouterReady(ctx, r.ID); err != nil {
			return err
		}
	}
	return nil
}

// WaitRouterReady waits until the readiness check of a router succeeds. It fails if the router exits first.
func (d *Deployment) WaitRouterReady(ctx context.Context, id fleet.InstanceID) error {
	r, p := d.router(id), d.routerProcess(id)
	for !d.ready(ctx, r) {
		select {
		case <-p.done:
			return errors.Errorf("deployment: %s exited: %v", id, p.err)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "deployment: %s is not ready", id)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (d *Deployment) ready(ctx context.Context, r *Router) bool {
	return d.call(ctx, http.MethodGet, r.OperatorAddr, "/readyz", nil, nil) == nil
}

func (d *Deployment) router(id fleet.InstanceID) *Router {
	for _, r := range d.routers {
		if r.ID == id {
			return r
		}
	}
	panic(errors.Errorf("deployment: no router %q", id))
}

func (d *Deployment) routerProcess(id fleet.InstanceID) *process {
	r := d.router(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.process
}
