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

// pollers polls the load reports of the endpoints that the core selects with PollEndpoint.
type pollers struct {
	reader   loadReader
	post     func(core.Event)
	interval time.Duration
	ctx      context.Context
	wg       sync.WaitGroup

	mu      sync.Mutex
	running map[fleet.EndpointID]context.CancelFunc
}

func newPollers(ctx context.Context, r loadReader, post func(core.Event), interval time.Duration) *pollers {
	return &pollers{
		reader: r, post: post, interval: interval, ctx: ctx,
		running: map[fleet.EndpointID]context.CancelFunc{},
	}
}

// apply starts or stops the polling of an endpoint, or changes the polled address.
func (p *pollers) apply(a core.PollEndpoint) {
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
			// A status other than 200 and an invalid report are errors as well.
			p.post(core.EndpointPollFailed{Endpoint: id})
		default:
			p.post(core.EndpointReport{Report: rep})
		}
		if !ctxtime.Sleep(ctx, jitter(p.interval)) {
			return
		}
	}
}

// wait returns once all polling has ended, which follows the end of the context.
func (p *pollers) wait() { p.wg.Wait() }

// jitter returns a random duration in the last quarter of d, so that polls do not synchronize.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/4+1) }
