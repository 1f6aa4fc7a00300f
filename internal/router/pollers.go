package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// loadReader reads an endpoint's load report.
type loadReader interface {
	PollLoad(ctx context.Context, id fleet.EndpointID, addr string) (fleet.LoadReport, error)
}

// pollers polls the load reports of the endpoints that the core names.
type pollers struct {
	reader loadReader
	post   func(core.Event)
	period time.Duration
	ctx    context.Context
	wg     sync.WaitGroup

	mu      sync.Mutex
	running map[fleet.EndpointID]context.CancelFunc
}

func newPollers(ctx context.Context, r loadReader, post func(core.Event), period time.Duration) *pollers {
	return &pollers{
		reader: r, post: post, period: period, ctx: ctx,
		running: map[fleet.EndpointID]context.CancelFunc{},
	}
}

// set starts, moves or stops the polling of an endpoint.
func (p *pollers) set(a core.PollEndpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stop, ok := p.running[a.Endpoint]; ok {
		stop()
		delete(p.running, a.Endpoint)
	}
	if !a.Enable {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.running[a.Endpoint] = cancel
	p.wg.Go(func() { p.run(ctx, a.Endpoint, a.Addr) })
}

func (p *pollers) run(ctx context.Context, id fleet.EndpointID, addr string) {
	for {
		rep, err := p.reader.PollLoad(ctx, id, addr)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			p.post(core.EndpointSilent{Endpoint: id})
		default:
			p.post(core.EndpointReport{Report: rep})
		}
		if !ctxtime.Sleep(ctx, jitter(p.period)) {
			return
		}
	}
}

// wait returns when all polling has ended, which the end of the context brings about.
func (p *pollers) wait() { p.wg.Wait() }

// jitter spreads a period over its last quarter, so that pollers do not align.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/4+1) }
