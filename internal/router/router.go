package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

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

// refusalLogPeriod bounds what a peer that is refused can write to the log. The
// counter of refusals has them all.
const refusalLogPeriod = time.Second

// closeTimeout bounds the closing of the listeners after the core has stopped.
const closeTimeout = 5 * time.Second

// process is one running router.
type process struct {
	opts      Options
	core      *core.Core
	loop      *loop
	workers   *workers
	peers     *peering.Transport
	callers   *callers.Server
	upstream  *upstream.Client
	platform  *platform.Client
	listeners listeners
	operator  *http.Server
	failed    chan error // of a listener, the first one counts
}

// listeners are the sockets of a process.
type listeners struct {
	callers  net.Listener
	operator net.Listener
	peers    net.PacketConn
}

// listen opens all sockets or none.
func listen(o *Options) (listeners, error) {
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

// RunOptions runs a router until a planned stop, which the end of ctx begins, is
// complete, or until a listener fails.
func RunOptions(ctx context.Context, o Options) error {
	ls, err := listen(&o)
	if err != nil {
		return err
	}
	p, err := assemble(o, ls)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func assemble(o Options, ls listeners) (*process, error) {
	p := &process{opts: o, listeners: ls, failed: make(chan error, 2)}
	p.core = core.New(time.Now(), o.Core)
	p.workers = &workers{stopped: make(chan struct{})}
	p.loop = newLoop(p.core, p.workers, o.Core.TickInterval)
	p.upstream = upstream.New(o.Upstream)
	p.callers = callers.New(o.Callers, p.loop.post, p.upstream, resume.NewCodec(o.TokenSecret))
	p.platform = platform.New(o.Platform, o.ParseConfig, p.loop.post)
	peers, err := peering.Listen(p.peeringConfig())
	if err != nil {
		_ = ls.callers.Close()
		_ = ls.operator.Close()
		_ = ls.peers.Close()
		return nil, err
	}
	p.peers = peers
	p.workers.peers = peers
	p.workers.callers = p.callers
	p.workers.platform = p.platform
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
	refusals := &rate.Sometimes{First: 1, Interval: refusalLogPeriod}
	cfg.OnRefused = func(id fleet.InstanceID, addr net.Addr, err error) {
		refusals.Do(func() {
			event.Log(event.PeerRefused, string(id)+" "+addr.String()+": "+err.Error())
		})
	}
	return cfg
}

// run starts the goroutines of the process and waits for its end.
func (p *process) run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	p.workers.polls = newPollers(work, p.upstream, p.loop.post, p.opts.LoadPollInterval)
	event.Log(event.ProcessStarted, string(p.opts.Core.Self))
	wg.Go(func() { p.loop.run(work) })
	wg.Go(func() { p.platform.Run(work) })
	wg.Go(func() { p.report(work) })
	wg.Go(func() { p.fail(p.callers.Serve(p.listeners.callers)) })
	wg.Go(func() { p.fail(serveHTTP(p.operator, p.listeners.operator)) })

	err := p.wait(ctx)
	p.close()
	cancel()
	_ = p.peers.Close()
	wg.Wait()
	p.workers.polls.wait()
	p.upstream.Close()
	return err
}

func (p *process) fail(err error) {
	if err != nil {
		p.failed <- err
	}
}

// wait returns when a planned stop is complete or a listener failed.
func (p *process) wait(ctx context.Context) error {
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
	}
	p.loop.post(core.Stop{})
	t := time.NewTimer(p.opts.StopTimeout)
	defer t.Stop()
	select {
	case <-p.workers.stopped:
		return nil
	case err := <-p.failed:
		return err
	case <-t.C:
		return errors.New("router: requests were still in progress at the end of the stop timeout")
	}
}

// close ends the listeners. Requests that the core has answered are written out.
func (p *process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.callers.Shutdown(ctx)
	_ = p.operator.Shutdown(ctx)
}
