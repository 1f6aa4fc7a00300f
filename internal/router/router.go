package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
	"github.com/dandelionvane/dandelionvane/internal/callers"
	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/peering"
	"github.com/dandelionvane/dandelionvane/internal/platform"
	"github.com/dandelionvane/dandelionvane/internal/resume"
	"github.com/dandelionvane/dandelionvane/internal/upstream"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// refusalLogInterval limits how often refused peers are logged. The counter of refused
// peers includes all of them.
const refusalLogInterval = time.Second

// closeTimeout bounds the shutdown of the listeners after the core has stopped.
const closeTimeout = 5 * time.Second

// process is one running router.
type process struct {
	opts           Options
	core           *core.Core
	loop           *loop
	executor       *actionExecutor
	peers          *peering.Transport
	callers        *callers.Server
	upstream       *upstream.Client
	platform       *platform.Client
	listeners      listeners
	operator       *http.Server
	program        *buildinfo.Current
	listenerErrors chan error // errors of listeners; only the first is used
}

// listeners holds the listening sockets of a process.
type listeners struct {
	callers  net.Listener
	operator net.Listener
	peers    net.PacketConn
}

// openListeners opens all sockets, or none if one fails.
func openListeners(o *Options) (listeners, error) {
	var ls listeners
	var err error
	if ls.callers, err = net.Listen("tcp", o.CallersAddr); err != nil {
		return ls, errors.Wrap(err, "router: callers' listener")
	}
	if ls.operator, err = net.Listen("tcp", o.OperatorAddr); err != nil {
		_ = ls.callers.Close()
		return ls, errors.Wrap(err, "router: operator listener")
	}
	if ls.peers, err = net.ListenPacket("udp", o.PeersAddr); err != nil {
		_ = ls.callers.Close()
		_ = ls.operator.Close()
		return ls, errors.Wrap(err, "router: peers' listener")
	}
	return ls, nil
}

// RunOptions runs a router until a listener fails or a planned stop is complete. The end
// of ctx starts the planned stop.
func RunOptions(ctx context.Context, o Options) error {
	ls, err := openListeners(&o)
	if err != nil {
		return err
	}
	p, err := newProcess(o, ls)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func newProcess(o Options, ls listeners) (*process, error) {
	p := &process{opts: o, listeners: ls, program: buildinfo.NewCurrent(), listenerErrors: make(chan error, 2)}
	p.core = core.New(time.Now(), o.Core)
	p.executor = &actionExecutor{stopped: make(chan struct{})}
	p.loop = newLoop(p.core, p.executor, o.Core.TickInterval)
	p.upstream = upstream.New(o.Upstream)
	p.callers = callers.New(o.Callers, p.loop.post, p.upstream, resume.NewCodec(o.ResumeTokenSecret))
	p.platform = platform.New(o.Platform, o.ParseConfig, p.loop.post)
	peers, err := peering.Listen(p.peeringConfig())
	if err != nil {
		_ = ls.callers.Close()
		_ = ls.operator.Close()
		_ = ls.peers.Close()
		return nil, err
	}
	p.peers = peers
	p.executor.peers = peers
	p.executor.callers = p.callers
	p.executor.platform = p.platform
	p.operator = p.operatorServer()
	return p, nil
}

func (p *process) peeringConfig() peering.Config {
	cfg := p.opts.Peering
	cfg.Self = p.opts.Core.Self
	cfg.Conn = p.listeners.peers
	cfg.TLS = p.opts.TLS
	cfg.Identify = p.opts.Identify
	cfg.OnFrame = func(from fleet.InstanceID, f wire.Frame) {
		p.loop.post(core.PeerMessage{From: from, Frame: f})
	}
	cfg.OnUnreachable = func(id fleet.InstanceID) { p.loop.post(core.PeerUnreachable{Peer: id}) }
	refusals := &rate.Sometimes{First: 1, Interval: refusalLogInterval}
	cfg.OnRefused = func(id fleet.InstanceID, addr net.Addr, err error) {
		refusals.Do(func() {
			event.LogText(event.PeerRefused, string(id)+" "+addr.String()+": "+err.Error())
		})
	}
	return cfg
}

// run starts the goroutines of the process and waits until the process ends.
func (p *process) run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	p.executor.pollers = newPollers(workCtx, p.upstream, p.loop.post, p.opts.LoadPollInterval)
	event.LogText(event.ProcessStarted, string(p.opts.Core.Self))
	wg.Go(func() { p.program.Identify(workCtx) })
	wg.Go(func() { p.loop.run(workCtx) })
	wg.Go(func() { p.platform.Run(workCtx) })
	wg.Go(func() { p.reportSnapshots(workCtx) })
	wg.Go(func() { p.reportListenerError(p.callers.Serve(p.listeners.callers)) })
	wg.Go(func() { p.reportListenerError(serveOperator(p.operator, p.listeners.operator)) })

	err := p.waitForStop(ctx)
	p.close()
	cancel()
	_ = p.peers.Close()
	wg.Wait()
	p.executor.pollers.wait()
	p.upstream.Close()
	return err
}

func (p *process) reportListenerError(err error) {
	if err != nil {
		p.listenerErrors <- err
	}
}

// waitForStop returns once a planned stop is complete or timed out, or a listener failed.
func (p *process) waitForStop(ctx context.Context) error {
	select {
	case err := <-p.listenerErrors:
		return err
	case <-ctx.Done():
	}
	p.loop.post(core.Stop{})
	t := time.NewTimer(p.opts.StopTimeout)
	defer t.Stop()
	select {
	case <-p.executor.stopped:
		return nil
	case err := <-p.listenerErrors:
		return err
	case <-t.C:
		return errors.New("router: requests were still in progress at the end of the stop timeout")
	}
}

// close shuts down the listeners gracefully: responses that are complete are still written.
func (p *process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.callers.Shutdown(ctx)
	_ = p.operator.Shutdown(ctx)
}
