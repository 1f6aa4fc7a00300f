package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
)

const (
	burstConns = 32 // connections of a burst
	// A burst that meets a planned stop is sent within this time after the signal, around the end of the time in which the
	// load balancer may send new connections.
	minBurstAfterStop = 2400 * time.Millisecond
	maxBurstAfterStop = 2600 * time.Millisecond
	burstPollInterval = 10 * time.Millisecond
)

// runBurstCaller opens connections to a random gateway, keeps them idle, and sends a request on each of them at the same
// time, again and again until ctx is done. It waits for at most the usable part of the idle timeout, or until
// a planned stop of the gateway is about to close idle connections.
func (r *run) runBurstCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(2000+n)))
	for ctx.Err() == nil {
		g := r.fleet.gateways[rng.IntN(len(r.fleet.gateways))]
		pools := make([]*pool, burstConns)
		for i := range pools {
			pools[i] = newPool(r)
		}
		r.sendBurst(ctx, g, pools) // opens the connections
		r.awaitBurst(ctx, g, rng)
		r.sendBurst(ctx, g, pools)
		for _, p := range pools {
			p.close()
		}
	}
}

// sendBurst sends a request over each pool at the same time.
func (r *run) sendBurst(ctx context.Context, g *gateway, pools []*pool) {
	var wg sync.WaitGroup
	for i, p := range pools {
		q := outgoing{gateway: g, kind: routeKinds[i%len(routeKinds)], key: r.currentKey()}
		wg.Go(func() { r.send(ctx, p, q) })
	}
	wg.Wait()
}

// awaitBurst waits until the next burst is due.
func (r *run) awaitBurst(ctx context.Context, g *gateway, rng *rand.Rand) {
	began := time.Now()
	usable := idleTimeout * usableIdleNumerator / usableIdleDenominator
	pause := usable/4 + time.Duration(rng.Int64N(int64(usable*3/4)))
	afterStop := minBurstAfterStop + time.Duration(rng.Int64N(int64(maxBurstAfterStop-minBurstAfterStop)))
	for ctx.Err() == nil {
		stop := g.stopBegan()
		switch due := stop.Add(afterStop); {
		case stop.IsZero() && time.Since(began) >= pause:
			return
		case !stop.IsZero() && (time.Now().After(due) || due.Sub(began) > usable):
			return
		}
		ctxtime.Sleep(ctx, burstPollInterval)
	}
}
