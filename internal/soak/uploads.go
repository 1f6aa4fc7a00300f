package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
)

// Uploads are requests with large bodies, which are still being sent when an endpoint answers early.
const (
	minUploadBytes = 64 << 10
	maxUploadBytes = 640 << 10
	uploadInterval = 100 * time.Millisecond // mean interval between the requests of a caller
	lateUploads    = 4                      // requests, on average, between two whose body follows up to maxUploadPause later
	maxUploadPause = 2 * time.Second
)

// runUploadCaller sends uploads to random gateways over kept connections until ctx is done.
func (r *run) runUploadCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(4000+n)))
	p := newPool(r)
	defer p.close()
	for ctx.Err() == nil {
		q := outgoing{
			gateway: r.fleet.gateways[rng.IntN(len(r.fleet.gateways))],
			kind:    routeKinds[rng.IntN(len(routeKinds))],
			key:     r.currentKey(),
			upload:  minUploadBytes + rng.IntN(maxUploadBytes-minUploadBytes),
		}
		if rng.IntN(lateUploads) == 0 {
			q.bodyPause = time.Duration(rng.Int64N(int64(maxUploadPause)))
		}
		pause := time.Duration(rng.Int64N(int64(2 * uploadInterval)))
		if o := r.send(ctx, p, q); o.status != http.StatusOK {
			pause += delayAfterFailure
		}
		ctxtime.Sleep(ctx, pause)
	}
}
