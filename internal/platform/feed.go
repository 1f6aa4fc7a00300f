package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/httpcall"
)

// maxValueBytes bounds a value of up to a megabyte after its encoding in JSON.
const maxValueBytes = 4 << 20

// feed follows one feed.
type feed struct {
	c        *Client
	name     string
	decode   decoder
	last     fleet.Revision // highest revision read, valid or not
	failures int            // calls in a row that brought nothing new
}

func (f *feed) run(ctx context.Context) {
	f.step(ctx, ctx, 0)
	for f.c.gate.wait(ctx) == nil {
		start := time.Now()
		call, stop := f.c.gate.whileOpen(ctx)
		f.step(ctx, call, f.c.cfg.WatchWait)
		stop()
		ctxtime.Sleep(ctx, max(f.backoff(), f.c.cfg.MinCallInterval-time.Since(start)))
	}
}

// step makes one call. A call that ends because watching does is no failure.
func (f *feed) step(ctx, call context.Context, wait time.Duration) {
	b, err := f.read(call, wait)
	switch {
	case ctx.Err() != nil || call.Err() != nil:
	case err != nil:
		f.failures++
		f.c.post(core.PlatformDown{})
	case b == nil || f.take(b):
		f.failures = 0
	default:
		f.failures++
	}
}

// read returns the body of a new value, or nil when there is none.
func (f *feed) read(ctx context.Context, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.c.cfg.CallTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(wait), nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform: build request")
	}
	r.Header.Set("X-Reader", string(f.c.cfg.Reader))
	a, err := httpcall.Do(f.c.http, r, maxValueBytes)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "platform: "+f.name)
	case a.Status == http.StatusNotModified:
		return nil, nil
	case a.Status != http.StatusOK:
		return nil, errors.Errorf("platform: %s: status %d", f.name, a.Status)
	}
	return a.Body, nil
}

func (f *feed) url(wait time.Duration) string {
	u := f.c.cfg.BaseURL + "/v1/feeds/" + f.name
	if wait == 0 {
		return u
	}
	q := url.Values{}
	q.Set("after", strconv.FormatUint(uint64(f.last), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return u + "?" + q.Encode()
}

// take posts a value whose revision is higher than all before, and returns whether
// it was. A value that cannot be used is refused once, not with every call.
func (f *feed) take(b []byte) bool {
	rev, err := revisionOf(b)
	if err != nil {
		f.refuse(0, err)
		return false
	}
	if rev <= f.last {
		return false
	}
	f.last = rev
	ev, err := f.decode(b)
	if err != nil {
		f.refuse(rev, err)
		return true
	}
	f.c.post(ev)
	return true
}

func (f *feed) refuse(rev fleet.Revision, err error) {
	f.c.post(core.PublishedInvalid{Revision: rev, Detail: f.name + ": " + err.Error()})
}

// backoff returns the time to wait after failures, with full jitter over its upper half.
func (f *feed) backoff() time.Duration {
	if f.failures == 0 {
		return 0
	}
	d := f.c.cfg.MinBackoff << min(f.failures-1, 16)
	d = min(d, f.c.cfg.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}
