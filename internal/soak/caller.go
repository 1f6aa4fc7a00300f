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

// comeBack is how long a caller waits after a request that was not served.
const comeBack = 50 * time.Millisecond

var requests atomic.Uint64 // of this process, for their ids

// call sends one request after the other over connections that stay open as long as the
// gateways keep them.
func (r *run) call(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)))
	t := &http.Transport{MaxIdleConnsPerHost: 2}
	defer t.CloseIdleConnections()
	for ctx.Err() == nil {
		g := r.fleet.gateways[rng.IntN(len(r.fleet.gateways))]
		key := r.currentKey()
		if rng.IntN(3) == 0 {
			key = r.lateKey(rng) // many callers go on with a key that is taken away
		}
		if o := r.send(ctx, t, g, kinds[rng.IntN(len(kinds))], key); o.status != http.StatusOK {
			ctxtime.Sleep(ctx, comeBack)
		}
	}
}

// ask sends one request over a connection of its own.
func (r *run) ask(ctx context.Context, g *gateway, kind, key string) outcome {
	t := &http.Transport{DisableKeepAlives: true}
	return r.send(ctx, t, g, kind, key)
}

func (r *run) send(ctx context.Context, t http.RoundTripper, g *gateway, kind, key string) outcome {
	id := fmt.Sprintf("%016x", uint64(r.opts.LoopbackSubnet)<<48|requests.Add(1))
	s := sent{kind: kind, key: key, at: time.Now()}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s.outcome = exchange(limit, t, g, kind, id, key)
	s.planned = g.onlyPlanned(s.at)
	r.ledger.send(id, s)
	return s.outcome
}

func exchange(ctx context.Context, t http.RoundTripper, g *gateway, kind, id, key string) outcome {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return outcome{wrong: err.Error()}
	}
	rq.GetBody = nil // the transport must not send it once more by itself
	platformtest.SetCallerHeaders(rq, id, key, callTimeout)
	resp, err := t.RoundTrip(rq)
	if err != nil {
		return outcome{} // no answer came
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o := outcome{status: resp.StatusCode, whole: err == nil}
	if resp.StatusCode == http.StatusOK {
		o.wrong = wrongAnswer(kind, id, string(body), o.whole)
	}
	return o
}

// wrongAnswer returns what is wrong with the body of a success. One that was cut must be
// the beginning of the right one.
func wrongAnswer(kind, id, body string, whole bool) string {
	want := answerOf(id)
	if kind == "streaming" || kind == "resumable" {
		want = ""
		for n := uint64(1); n <= streamEvents; n++ {
			want += eventOf(id, n)
		}
	}
	switch {
	case whole && body != want:
		return fmt.Sprintf("a whole answer of %d bytes, not %d: %.60q", len(body), len(want), body)
	case !strings.HasPrefix(want, body):
		return fmt.Sprintf("the answer to another request, or out of order: %.60q", body)
	default:
		return ""
	}
}
