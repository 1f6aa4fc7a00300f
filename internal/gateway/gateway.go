// Package gateway assembles one gateway process: the control state, which one goroutine
// owns, and around it the server for callers, the client of the platform's store and
// the exchange with peers.
package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/gossip"
	"github.com/dandelionvane/dandelionvane/internal/ingress"
	"github.com/dandelionvane/dandelionvane/internal/metrics"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// Options is what a process needs.
type Options struct {
	Load     func() (Settings, []error) // reads the settings; they are valid only without errors
	Reload   <-chan os.Signal           // asks to read them again; may be nil
	Protocol published.Protocol
	Dialect  ingress.Dialect
}

// process is one running gateway.
type process struct {
	opts     Options
	settings Settings // as of the start; what a reload changes is in the fields below
	loop     *loop
	ctx      context.Context // ends with the process
	wg       sync.WaitGroup
	metrics  *metrics.Registry
	client   *exchange.Client
	store    atomic.Pointer[published.Client]
	reads    chan control.ReadStore
	peers    *gossip.Transport
	seeds    atomic.Pointer[seedClient]
	server   *ingress.Server
	callers  *http.Server
	failed   chan error

	controlClient *http.Client // of the control addresses of peers
}

// Run runs a gateway until ctx ends and its planned stop is complete.
func Run(ctx context.Context, o Options) error {
	settings, err := firstSettings(o.Load)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &process{
		opts:     o,
		settings: settings,
		ctx:      work,
		metrics:  metrics.New(),
		client:   exchange.NewClient(connectTimeout),
		reads:    make(chan control.ReadStore, 1),
		failed:   make(chan error, 4),

		controlClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	defer p.metrics.Close()
	p.store.Store(published.NewClient(settings.Store.Addr, o.Protocol))
	p.seeds.Store(newSeedClient(settings))
	seed := randomSeed()
	p.loop = newLoop(control.New(boottime.Now(), settings.control(seed, o.Protocol)), p.execute)
	p.server = ingress.New(p.loop, o.Dialect, p.client, ingress.NewMeter(p.metrics.Scope()))
	if err := p.listenPeers(seed); err != nil {
		return err
	}
	err = p.run(ctx)
	cancel()
	p.finish()
	return err
}

// finishTimeout bounds the wait for goroutines at the end of the process: the platform
// kills it soon after.
const finishTimeout = 200 * time.Millisecond

// finish waits for what the process still does.
func (p *process) finish() {
	ended := make(chan struct{})
	go func() {
		p.wg.Wait()
		p.store.Load().Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(finishTimeout):
	}
}

// connectTimeout bounds the opening of a connection to an endpoint: many times the round
// trip between data centres of a region, and less than a late answer takes.
const connectTimeout = 150 * time.Millisecond

func (p *process) run(ctx context.Context) error {
	s := &p.settings
	event.Record(event.ProcessStarted, "instance", s.Instance, "data_centre", s.DataCentre, "callers", s.Listen.Callers, "peers", s.Peers.Addr)
	p.wg.Go(func() { p.loop.run(p.ctx) })
	p.wg.Go(func() { p.peers.Serve(p.ctx, p.receive, unreadable) })
	p.wg.Go(p.readStore)
	p.wg.Go(p.watchSettings)
	p.wg.Go(func() { p.every(idlePeriod, p.server.CloseIdle) })
	if s.Listen.Operator != "" {
		p.wg.Go(func() { p.every(reportPeriod, p.report) })
	}
	p.callers = &http.Server{Handler: p.server, ReadHeaderTimeout: headerTimeout, ConnState: p.server.TrackConn}
	for addr, srv := range map[string]*http.Server{
		s.Listen.Callers:  p.callers,
		s.Listen.Balancer: {Handler: p.balancerHandler(), ReadHeaderTimeout: headerTimeout},
		s.Listen.Control:  {Handler: p.controlHandler(), ReadHeaderTimeout: headerTimeout},
		s.Listen.Operator: {Handler: p.operatorHandler(), ReadHeaderTimeout: headerTimeout},
	} {
		if addr == "" {
			continue
		}
		if err := p.serve(srv, addr); err != nil {
			return err
		}
	}
	return p.wait(ctx)
}

// headerTimeout bounds the receipt of a request's header: some times what deployments
// allow their callers.
const headerTimeout = 10 * time.Second

// idlePeriod is the time between two looks for idle connections of callers.
const idlePeriod = time.Second

// every runs f again and again until the process ends.
func (p *process) every(period time.Duration, f func()) {
	for ctxtime.Sleep(p.ctx, period) {
		f()
	}
}

func (p *process) balancerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(p.opts.Dialect.ReadyPath(), p.server.ServeReady)
	return r
}

func (p *process) serve(s *http.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "gateway: listen")
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- err
		}
	}()
	return nil
}

// execute carries out an action of the control state. It does not block.
func (p *process) execute(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		p.send(a)
	case control.PullItems:
		p.wg.Go(func() { p.pull(a) })
	case control.ReadStore:
		p.reads <- a // the state asks for one read at a time
	case control.QuerySeeds:
		p.wg.Go(p.askSeeds)
	case control.ProbeEndpoint:
		p.wg.Go(func() { p.probe(a) })
	case control.Log:
		event.Record(a.Event, a.Fields...)
	}
}

// readStore makes the reads that the control state asks for.
func (p *process) readStore() {
	for {
		select {
		case r := <-p.reads:
			u, err := p.store.Load().Read(p.ctx, r.Whole, r.After)
			p.countRead(r, err)
			p.loop.Do(func(s *control.State, now boottime.Instant) {
				if err != nil {
					s.ReadFailed(now, err)
					return
				}
				s.ReadDone(now, u)
			})
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *process) probe(a control.ProbeEndpoint) {
	r := control.ProbeConnected
	if err := p.client.Probe(p.ctx, a.Addr); err != nil {
		r = control.ProbeRefused
		if err.Timeout() {
			r = control.ProbeTimedOut
		}
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.ProbeDone(now, a.ID, r) })
}
