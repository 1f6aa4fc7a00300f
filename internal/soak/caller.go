package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// delayAfterFailure is the pause of a caller after a response other than 200, or none, before it sends its next request.
const delayAfterFailure = 50 * time.Millisecond

var requestCount atomic.Uint64 // requests sent by this process; part of their ids

// runCaller sends one request after the other to random gateways over persistent connections until ctx
// is done. It never repeats a request.
func (r *run) runCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)))
	t := &http.Transport{MaxIdleConnsPerHost: 2}
	defer t.CloseIdleConnections()
	for ctx.Err() == nil {
		g := r.fleet.gateways[rng.IntN(len(r.fleet.gateways))]
		key := r.currentKey()
		if rng.IntN(3) == 0 {
			key = r.randomRecentKey(rng) // callers may still use a key after its revocation
		}
		if o := r.send(ctx, t, g, routeKinds[rng.IntN(len(routeKinds))], key); o.status != http.StatusOK {
			ctxtime.Sleep(ctx, delayAfterFailure)
		}
	}
}

// probe sends one request over a new connection.
func (r *run) probe(ctx context.Context, g *gateway, kind, key string) response {
	t := &http.Transport{DisableKeepAlives: true}
	return r.send(ctx, t, g, kind, key)
}

func (r *run) send(ctx context.Context, t http.RoundTripper, g *gateway, kind, key string) response {
	id := r.nextID()
	rec := callerRecord{kind: kind, key: key, sentAt: time.Now()}
	reqCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	rec.response = roundTrip(reqCtx, t, g, kind, id, key)
	rec.gatewayUndisturbed = g.undisturbedSince(rec.sentAt)
	r.ledger.recordRequest(id, rec)
	return rec.response
}

// nextID returns a new request ID.
func (r *run) nextID() string {
	return fmt.Sprintf("%016x", uint64(r.opts.LoopbackSubnet)<<48|requestCount.Add(1))
}

func roundTrip(ctx context.Context, t http.RoundTripper, g *gateway, kind, id, key string) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callerAddr+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return response{violation: err.Error()}
	}
	req.GetBody = nil // keeps the transport from retrying the request
	platformtest.SetCallerHeaders(req, id, key, requestTimeout)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return response{} // no response
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o := response{status: resp.StatusCode, complete: err == nil}
	if resp.StatusCode == http.StatusOK {
		o.violation = checkBody(kind, id, string(body), o.complete)
	}
	return o
}

// checkBody returns the violation in the body of a 200 response, or "". A truncated body must be a
// prefix of the expected one.
func checkBody(kind, id, body string, complete bool) string {
	if kind == "streaming" || kind == "resumable" {
		return checkStream(parseStream(id, body, 0), complete)
	}
	want := fullBody(id)
	switch {
	case complete && body != want:
		return fmt.Sprintf("complete response has %d bytes, want %d: %.60q", len(body), len(want), body)
	case !strings.HasPrefix(want, body):
		return fmt.Sprintf("response of another request, or out of order: %.60q", body)
	default:
		return ""
	}
}
