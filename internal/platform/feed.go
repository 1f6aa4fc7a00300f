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

// maxValueBytes bounds a value, which is at most about a megabyte before its encoding in JSON.
const maxValueBytes = 4 << 20

// feed reads and watches one feed.
type feed struct {
	client       *Client
	name         string
	decode       decoder
	lastRevision fleet.Revision // highest revision read, also of invalid values
	failures     int            // consecutive calls that failed or returned no higher revision
}

func (f *feed) run(ctx context.Context) {
	f.poll(ctx, ctx, 0)
	for f.client.gate.wait(ctx) == nil {
		start := time.Now()
		callCtx, cancel := f.client.gate.whileOpen(ctx)
		f.poll(ctx, callCtx, f.client.cfg.WatchWait)
		cancel()
		ctxtime.Sleep(ctx, max(f.backoff(), f.client.cfg.MinCallInterval-time.Since(start)))
	}
}

// poll makes one call. A call that is cancelled because watching was disabled does not count as a
// failure.
func (f *feed) poll(ctx, callCtx context.Context, wait time.Duration) {
	b, err := f.fetch(callCtx, wait)
	switch {
	case ctx.Err() != nil || callCtx.Err() != nil:
	case err != nil:
		f.failures++
		f.client.post(core.PlatformUnreadable{})
	case b == nil || f.handleValue(b):
		f.failures = 0
	default:
		f.failures++
	}
}

// fetch returns the body of the response, or nil if the value has not changed.
func (f *feed) fetch(ctx context.Context, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.client.cfg.CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(wait), nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform: create request")
	}
	req.Header.Set("X-Reader", string(f.client.cfg.Reader))
	resp, err := httpcall.Do(f.client.http, req, maxValueBytes)
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "platform: "+f.name)
	case resp.Status == http.StatusNotModified:
		return nil, nil
	case resp.Status != http.StatusOK:
		return nil, errors.Errorf("platform: %s: unexpected status %d", f.name, resp.Status)
	}
	return resp.Body, nil
}

func (f *feed) url(wait time.Duration) string {
	u := f.client.cfg.BaseURL + "/v1/feeds/" + f.name
	if wait == 0 {
		return u
	}
	q := url.Values{}
	q.Set("after", strconv.FormatUint(uint64(f.lastRevision), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return u + "?" + q.Encode()
}

// handleValue posts a value if its revision is higher than those of all values before, and returns
// whether it was. An invalid value with a readable revision is reported only once.
func (f *feed) handleValue(b []byte) bool {
	rev, err := decodeRevision(b)
	if err != nil {
		f.reportInvalid(0, err)
		return false
	}
	if rev <= f.lastRevision {
		return false
	}
	f.lastRevision = rev
	ev, err := f.decode(b)
	if err != nil {
		f.reportInvalid(rev, err)
		return true
	}
	f.client.post(ev)
	return true
}

func (f *feed) reportInvalid(rev fleet.Revision, err error) {
	f.client.post(core.PublishedInvalid{Revision: rev, Detail: f.name + ": " + err.Error()})
}

// backoff returns the exponential backoff after failures, with jitter over its upper half.
func (f *feed) backoff() time.Duration {
	if f.failures == 0 {
		return 0
	}
	d := f.client.cfg.MinBackoff << min(f.failures-1, 16)
	d = min(d, f.client.cfg.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}
