package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	// delayAfterFailure is the pause of a caller after a response other than 200, or none, before it sends its next request.
	delayAfterFailure = 50 * time.Millisecond
	// idlePauses is how many requests a caller sends, on average, between two pauses of up to maxIdlePause.
	idlePauses   = 100
	maxIdlePause = 3 * time.Second
	// slowBodies is how many requests a caller sends, on average, between two whose body follows up to maxBodyPause later.
	slowBodies   = 10
	maxBodyPause = 300 * time.Millisecond
)

var requestCount atomic.Uint64 // requests sent by this process; part of their ids

// runCaller sends one request after the other to random gateways over kept connections until ctx
// is done. It never repeats a request.
func (r *run) runCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)))
	p := newPool(r)
	defer p.close()
	for ctx.Err() == nil {
		g := r.fleet.gateways[rng.IntN(len(r.fleet.gateways))]
		key := r.currentKey()
		if rng.IntN(3) == 0 {
			key = r.randomRecentKey(rng) // callers may still use a key after its revocation
		}
		q := outgoing{gateway: g, kind: routeKinds[rng.IntN(len(routeKinds))], key: key}
		if rng.IntN(slowBodies) == 0 {
			q.bodyPause = time.Duration(rng.Int64N(int64(maxBodyPause)))
		}
		if o := r.send(ctx, p, q); o.status != http.StatusOK {
			ctxtime.Sleep(ctx, delayAfterFailure)
		}
		if rng.IntN(idlePauses) == 0 {
			ctxtime.Sleep(ctx, time.Duration(rng.Int64N(int64(maxIdlePause))))
		}
	}
}

// outgoing is a request to be sent.
type outgoing struct {
	gateway   *gateway
	kind, key string
	bodyPause time.Duration // between its head and its body
	upload    int           // bytes of its body besides its content, 0 for a small one
	limit     int64         // bytes of the response's body after which the caller leaves, 0: none
	origin    string        // ID of the request that began the stream to resume, "" for none
	lastEvent uint64        // of that stream
	shared    *content      // that other requests have too, nil for a content of its own
}

// probe sends one request over a new connection.
func (r *run) probe(ctx context.Context, g *gateway, kind, key string) response {
	p := newPool(r)
	defer p.close()
	return r.send(ctx, p, outgoing{gateway: g, kind: kind, key: key})
}

// send sends a request over a connection of a pool and records how it ended.
func (r *run) send(ctx context.Context, p *pool, q outgoing) response {
	c := q.contentFor("")
	rec := callerRecord{kind: q.kind, key: q.key, workspace: c.workspace, gateway: q.gateway.name, death: r.contents.of(c), sentAt: time.Now()}
	conn, err := p.get(context.WithoutCancel(ctx), q.gateway) // a request ends before its caller does
	if err == errOutOfRotation {
		return response{}
	}
	id := r.nextID()
	if err == nil {
		var reusable bool
		var body []byte
		rec.response, body, reusable = r.exchange(conn, id, q)
		if rec.response.status == http.StatusOK {
			rec.response.text = string(body)
			rec.response.violation = checkBody(q, id, string(body), rec.response.complete)
		}
		if reusable {
			p.put(conn)
		} else {
			conn.close()
		}
	}
	rec.endedAt = time.Now()
	r.ledger.recordRequest(id, rec)
	rec.response.id = id
	return rec.response
}

// nextID returns a new request ID.
func (r *run) nextID() string {
	return fmt.Sprintf("%016x", uint64(r.opts.LoopbackSubnet)<<48|requestCount.Add(1))
}

func (r *run) exchange(conn *clientConn, id string, q outgoing) (response, []byte, bool) {
	c := q.contentFor(id)
	target := url.URL{Scheme: "http", Host: q.gateway.callerAddr, Path: "/" + c.kind + "/x", RawQuery: c.query}
	req, err := http.NewRequest(http.MethodPost, target.String(), strings.NewReader(c.body))
	if err != nil {
		return response{violation: err.Error()}, nil, false
	}
	platformtest.SetCallerHeaders(req, id, q.key, requestTimeout)
	if c.prompt != "" {
		platformtest.SetPrompt(req, c.prompt)
	}
	if q.lastEvent > 0 {
		platformtest.SetResumeHeaders(req, q.origin, q.lastEvent)
	}
	return conn.roundTrip(sending{request: req, deadline: time.Now().Add(requestTimeout), pause: q.bodyPause, limit: q.limit})
}

// checkBody returns the violation in the body of a 200 response, or "". A truncated body must be a
// prefix of the expected one.
func checkBody(q outgoing, id, body string, complete bool) string {
	if isStream(q.kind) {
		return checkStream(parseStream(id, body, q.lastEvent), complete)
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

// isStream reports whether the responses of a kind of route are streams.
func isStream(kind string) bool { return kind == "streaming" || kind == "resumable" }
