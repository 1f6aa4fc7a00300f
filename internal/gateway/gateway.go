// Package gateway assembles and runs one gateway process. A single goroutine, the event loop, owns the
// control state and makes all decisions, so the state needs no locks. The server for callers, the
// client of the platform's store and the messages to and from peers run on other goroutines and
// access the state through the event loop.
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
	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/exchange"
	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/gossip"
	"github.com/dandelionvane/dandelionvane/internal/ingress"
	"github.com/dandelionvane/dandelionvane/internal/metrics"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// Options configures a gateway process.
type Options struct {
	LoadSettings  func() (Settings, []error) // reads the settings; see loadInitialSettings and pollSettings for the effect of errors
	ReloadSignals <-chan os.Signal           // each signal triggers LoadSettings; may be nil
	Protocol      published.Protocol
	HeaderCodec   ingress.HeaderCodec
}

// process is one running gateway.
type process struct {
	opts         Options
	settings     Settings // as read at the start; after a reload, only store, seeds and the control state have the new values
	loop         *loop
	ctx          context.Context // cancelled when the process ends
	wg           sync.WaitGroup
	metrics      *metrics.Registry
	program      *buildinfo.Current
	client       *exchange.Client
	store        atomic.Pointer[published.Client]
	storeReads   chan control.ReadStore
	peers        *gossip.Transport
	seeds        atomic.Pointer[seedClient]
	items        itemsCache
	pulls        chan struct{} // holds an element for each pull in progress
	callers      *ingress.Server
	meter        *ingress.Meter
	budgets      budgets
	listenerErrs chan error

	peerHTTPClient *http.Client // for the control addresses of peers

	speedGauges map[fleet.EndpointID]bool // endpoints whose speed the gauges have shown; used by reportGauges only
}

// Run runs a gateway. When ctx is cancelled, it performs a planned stop and returns.
func Run(ctx context.Context, o Options) error {
	settings, err := loadInitialSettings(o.LoadSettings)
	if err != nil {
		return err
	}
	settings.limitMemory()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &process{
		opts:         o,
		settings:     settings,
		ctx:          work,
		metrics:      metrics.New(),
		program:      buildinfo.NewCurrent(),
		client:       exchange.NewClient(connectTimeout),
		storeReads:   make(chan control.ReadStore, 1),
		pulls:        make(chan struct{}, maxPulls),
		listenerErrs: make(chan error, 4),

		peerHTTPClient: newPeerHTTPClient(),
	}
	defer p.metrics.Close()
	p.store.Store(published.NewClient(settings.Store.Addr, o.Protocol))
	p.seeds.Store(newSeedClient(settings))
	randomSeed := newRandomSeed()
	options := settings.controlOptions(randomSeed, o.Protocol)
	options.Incarnation = fleet.Incarnation(uint32(randomSeed))
	options.FirstStart = settings.FirstStart
	p.loop = newLoop(control.New(boottime.Now(), options), p.execute)
	p.meter = ingress.NewMeter(p.metrics.Scope())
	p.callers = ingress.New(p.loop, o.HeaderCodec, p.client, p.meter)
	p.budgets = newBudgets(settings.MemoryMB, settings.MaxFDs)
	p.callers.SetBudgets(p.budgets.callers, p.budgets.memory, p.budgets.bodyShare)
	if err := p.listenPeers(options.Incarnation); err != nil {
		return err
	}
	err = p.run(ctx)
	cancel()
	p.awaitGoroutines()
	return err
}

// shutdownTimeout limits the wait for goroutines at the end of the process, since the platform
// kills the process soon after.
const shutdownTimeout = 200 * time.Millisecond

// awaitGoroutines waits up to shutdownTimeout for the goroutines of the process to return.
func (p *process) awaitGoroutines() {
	ended := make(chan struct{})
	go func() {
		p.wg.Wait()
		p.store.Load().Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(shutdownTimeout):
	}
}

// connectTimeout limits the time to connect to an endpoint. It is many times the round trip
// between the data centres of a region, and short enough that a retry can still meet the usual
// latency goal of a route.
const connectTimeout = 150 * time.Millisecond

func (p *process) run(ctx context.Context) error {
	s := &p.settings
	p.logStart()
	p.start("identify_program", p.identifyProgram)
	p.wg.Go(func() { p.loop.run(p.ctx) })
	p.wg.Go(func() { p.peers.Serve(p.ctx, p.handleMessage, recordReceiveError) })
	p.wg.Go(p.readStore)
	p.wg.Go(p.pollSettings)
	p.wg.Go(func() { p.runPeriodically(idleCheckInterval, p.callers.CloseIdle) })
	if s.Listen.Operator != "" {
		p.wg.Go(func() { p.runPeriodically(gaugeReportInterval, p.reportGauges) })
	}
	if err := p.serveCallers(s.Listen.Callers); err != nil {
		return err
	}
	for _, internal := range []internalListener{
		{"ready", s.Listen.Balancer, p.balancerHandler(), p.budgets.ready},
		{"control", s.Listen.Control, p.controlHandler(), p.budgets.control},
		{"operator", s.Listen.Operator, p.operatorHandler(), p.budgets.operator},
	} {
		if internal.addr == "" {
			continue
		}
		if err := p.serve(internal); err != nil {
			return err
		}
	}
	return p.awaitStop(ctx)
}

// idleCheckInterval is the time between two checks for idle connections of callers.
const idleCheckInterval = time.Second

// runPeriodically runs f once per period until the process ends.
func (p *process) runPeriodically(period time.Duration, f func()) {
	for ctxtime.Sleep(p.ctx, period) {
		fault.Contain("periodic", f)
	}
}

func (p *process) balancerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(p.opts.HeaderCodec.ReadyPath(), p.callers.ServeReady)
	return r
}

// serveCallers listens for callers.
func (p *process) serveCallers(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "gateway: listen for callers")
	}
	go func() {
		if err := p.callers.Serve(l.(*net.TCPListener)); err != nil { // the type of a listener for "tcp"
			p.listenerErrs <- err
		}
	}()
	return nil
}

// execute performs an action of the control state. It must not block, since it runs on the
// goroutine of the loop.
func (p *process) execute(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		p.send(a)
	case control.PullItems:
		p.startPull(a)
	case control.PullRecords:
		p.start("pull_records", func() { p.pullRecords(a) }, "peer", a.From)
	case control.ReadStore:
		p.storeReads <- a // does not block: the state requests one read at a time
	case control.ReadHistory:
		p.start("read_history", p.readHistory)
	case control.QuerySeeds:
		p.start("query_seeds", func() { p.querySeeds(a.All) })
	case control.ProbeEndpoint:
		p.start("probe", func() { p.probe(a) }, "endpoint", a.ID)
	case control.AskIncarnation:
		p.start("ask_incarnation", func() { p.askIncarnation(a) }, "endpoint", a.ID)
	case control.EstimateError:
		p.recordEstimateError(a)
	case control.Log:
		event.LogFields(a.Event, a.Fields...)
		p.countEvent(a)
	}
}

// start runs f on a new goroutine of the process. A panic of f is contained and logged with the place and the fields.
func (p *process) start(place string, f func(), fields ...any) {
	p.wg.Go(func() { fault.Contain(place, f, fields...) })
}

// readStore performs the reads of the store that the control state requests.
func (p *process) readStore() {
	for {
		select {
		case read := <-p.storeReads:
			update, err := p.read(read)
			p.countRead(read, err)
			fault.Contain("store_read", func() { p.finishRead(update, err) }, "after", read.After, "revision", update.Revision)
		case <-p.ctx.Done():
			return
		}
	}
}

// read reads the store. A panic counts as a failed read: the state requests no other one before the end of this one.
func (p *process) read(r control.ReadStore) (update published.Update, err error) {
	contained := fault.Contain("store_response", func() { update, err = p.store.Load().Read(p.ctx, r.Snapshot, r.After) }, "after", r.After)
	if contained != nil {
		return published.Update{}, contained
	}
	return update, err
}

func (p *process) finishRead(update published.Update, err error) {
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		if err != nil {
			s.ReadFailed(now, err)
			return
		}
		s.ReadDone(now, update)
	})
}

// readHistory reads the history of the store and passes it to the control state.
func (p *process) readHistory() {
	wall := time.Now()
	h, err := p.store.Load().History(p.ctx)
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.HistoryRead(now, wall, h, err) })
}

// probe checks whether an endpoint accepts connections and reports the result to the control state.
func (p *process) probe(a control.ProbeEndpoint) {
	result := control.ProbeConnected
	if err := p.client.Probe(p.ctx, a.Addr); err != nil {
		result = control.ProbeConnectionRefused
		if err.Timeout() {
			result = control.ProbeTimedOut
		}
	}
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.ProbeDone(now, a.ID, result) })
}
