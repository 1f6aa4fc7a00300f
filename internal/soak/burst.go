package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
)

const (
	burstConns        = 64 // connections of a burst
	burstGateways     = 8  // that get bursts at the same time, at most
	burstPollInterval = 10 * time.Millisecond
)

// burst is a set of kept connections to one gateway, each with its own pool, on which requests are sent together.
type burst struct {
	run     *run
	gateway *gateway
	kinds   []string // of the requests, in turn
	pools   [burstConns]*pool
}

// openBurst opens the connections with a request on each.
func (r *run) openBurst(g *gateway, kinds ...string) *burst {
	b := &burst{run: r, gateway: g, kinds: kinds}
	for i := range b.pools {
		b.pools[i] = newPool(r)
	}
	b.send(0)
	return b
}

// send sends a request on each connection, at times that are spread evenly over a duration.
func (b *burst) send(spread time.Duration) {
	var wg sync.WaitGroup
	for i, p := range b.pools {
		q := outgoing{gateway: b.gateway, kind: b.kinds[i%len(b.kinds)], key: b.run.currentKey()}
		wg.Go(func() {
			time.Sleep(spread * time.Duration(i) / burstConns)
			b.run.send(context.Background(), p, q)
		})
	}
	wg.Wait()
}

// pickBurstGateways returns up to burstGateways gateways.
func (r *run) pickBurstGateways() []*gateway {
	var out []*gateway
	for _, i := range r.rng.Perm(len(r.fleet.gateways))[:min(burstGateways, len(r.fleet.gateways))] {
		out = append(out, r.fleet.gateways[i])
	}
	return out
}

func (b *burst) close() {
	for _, p := range b.pools {
		p.close()
	}
}

// runBurstCaller sends bursts to random gateways, on connections that have been idle for up to the usable part of the idle
// timeout, until ctx is done.
func (r *run) runBurstCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(2000+n)))
	usable := idleTimeout * usableIdleNumerator / usableIdleDenominator
	for ctx.Err() == nil {
		g := r.fleet.gateways[rng.IntN(len(r.fleet.gateways))]
		if !g.inRotation() {
			ctxtime.Sleep(ctx, burstPollInterval)
			continue
		}
		b := r.openBurst(g, routeKinds...)
		ctxtime.Sleep(ctx, usable/4+time.Duration(rng.Int64N(int64(usable*3/4))))
		b.send(0)
		b.close()
	}
}
