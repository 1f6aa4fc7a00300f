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
	routerProgram  = "dandelionvane"
	standinProgram = "standins"
	privateMode    = 0o600
	pollPeriod     = 20 * time.Millisecond
	callTimeout    = 5 * time.Second // of one call to a child
)

// Options says where a deployment finds and leaves its files.
type Options struct {
	BinDir string    // holds the programs dandelionvane and standins
	Dir    string    // for keys and settings
	Log    io.Writer // what the children write to standard error

	// Relay, if set, returns the address at which routers reach an engine.
	Relay func(addr string) (string, error)
}

// Router is one router process.
type Router struct {
	RouterSpec
	CallerAddr   string // IP:port
	PeerAddr     string
	OperatorAddr string

	settings string // file
	process  *process
}

// DataCentreRequests returns how many requests the endpoints of a data centre have taken since their start.
func (d *Deployment) DataCentreRequests(ctx context.Context, dc fleet.DataCentreID) (int, error) {
	sum := 0
	for _, e := range d.Endpoints {
		if e.DataCentre != dc {
			continue
		}
		n, err := d.endpointWork(ctx, e)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// BookingRuns returns how often each booking ran, over all service replicas.
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

// Endpoint is one running stand-in of an endpoint.
type Endpoint struct{ fleet.Endpoint }

// Deployment is a running deployment.
type Deployment struct {
	Spec      Spec
	Endpoints []Endpoint // engines first, in the order of the spec

	opts     Options
	starter  *starter
	platform string // IP:port
	client   *http.Client

	mu       sync.Mutex
	children []*process
	routers  []*Router
	out      map[fleet.DataCentreID]bool
	revision uint64 // of the last published configuration
}

// Start runs a deployment. After an error nothing is left running.
func Start(ctx context.Context, spec Spec, opts Options) (*Deployment, error) {
	d := &Deployment{
		Spec: spec, opts: opts, starter: newStarter(), out: map[fleet.DataCentreID]bool{},
		client: &http.Client{Timeout: callTimeout},
	}
	for _, step := range []func(context.Context) error{
		d.startStandins, d.planRouters, d.publishAll, d.writeKeys, d.startRouters, d.WaitReady,
	} {
		if err := step(ctx); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close kills all children and waits for them.
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
	d.keep(p)
	return addr, nil
}

func (d *Deployment) keep(p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.children = append(d.children, p)
}

func (d *Deployment) startStandins(context.Context) (err error) {
	if d.platform, err = d.startStandin("platform", "platform"); err != nil {
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

const addrsPerRouter = 3

func (d *Deployment) planRouters(context.Context) error {
	addrs, err := freeAddrs(addrsPerRouter * len(d.Spec.Routers))
	if err != nil {
		return err
	}
	for i, s := range d.Spec.Routers {
		a := addrs[addrsPerRouter*i:]
		d.routers = append(d.routers, &Router{
			RouterSpec: s, CallerAddr: a[0], PeerAddr: a[1], OperatorAddr: a[2],
			settings: d.file(string(s.ID) + ".toml"),
		})
	}
	return nil
}

func (d *Deployment) publishAll(ctx context.Context) error {
	var ins platform.InstancesValue
	for _, r := range d.routers {
		ins.Instances = append(ins.Instances, fleet.Instance{ID: r.ID, DataCentre: r.DataCentre, PeerAddr: r.PeerAddr})
	}
	var ends platform.EndpointsValue
	for _, e := range d.Endpoints {
		if e.Kind == fleet.Engine && d.opts.Relay != nil {
			var err error
			if e.Addr, err = d.opts.Relay(e.Addr); err != nil {
				return err
			}
		}
		ends.Endpoints = append(ends.Endpoints, e.Endpoint)
	}
	if err := d.publish(ctx, platform.Instances, ins); err != nil {
		return err
	}
	if err := d.publish(ctx, platform.Endpoints, ends); err != nil {
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
	return errors.Wrap(os.WriteFile(r.settings, []byte(d.settings(r)), privateMode), "deployment: write settings")
}

// Routers returns all routers, running or not.
func (d *Deployment) Routers() []*Router { return d.routers }

// StartRouter starts a router, or starts it anew after it has exited.
func (d *Deployment) StartRouter(id fleet.InstanceID) error {
	r := d.router(id)
	program := filepath.Join(d.opts.BinDir, routerProgram)
	p, _, err := d.starter.start(string(id), d.opts.Log, false, program, "router", "--settings", r.settings)
	if err != nil {
		return err
	}
	d.keep(p)
	d.mu.Lock()
	defer d.mu.Unlock()
	r.process = p
	return nil
}

// ReplaceRouter ends a router without warning and starts it at other addresses, as the
// platform does with an instance. It is not published: the platform may be down.
func (d *Deployment) ReplaceRouter(id fleet.InstanceID) error {
	d.KillRouter(id)
	addrs, err := freeAddrs(addrsPerRouter)
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

// KillRouter ends a router without warning.
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
		return 0, errors.Wrapf(ctx.Err(), "deployment: exit of %s", id)
	}
}

// WaitReady waits until all routers take callers. It fails when one exits first.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, r := range d.routers {
		if err := d.WaitRouterReady(ctx, r.ID); err != nil {
			return err
		}
	}
	return nil
}

// WaitRouterReady waits until a router takes callers.
func (d *Deployment) WaitRouterReady(ctx context.Context, id fleet.InstanceID) error {
	r, p := d.router(id), d.routerProcess(id)
	for !d.ready(ctx, r) {
		select {
		case <-p.done:
			return errors.Errorf("deployment: %s exited: %v", id, p.err)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "deployment: %s is not ready", id)
		case <-time.After(pollPeriod):
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
