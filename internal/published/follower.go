package published

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	connectTimeout = 300 * time.Millisecond // the store is in the same region
	callTimeout    = time.Second            // of a call beyond the wait that it asks for
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = time.Second
)

// Update is what one successful read brought.
type Update struct {
	Revision  fleet.Revision
	Confirmed boottime.Instant // when the call was sent: the records hold at least what was published by then
	Whole     bool             // Items hold everything there is
	Items     []Item
}

// Follower reads the store again and again.
type Follower struct {
	client   *Client
	period   time.Duration // between the starts of two reads
	revision fleet.Revision
	listed   bool
	failures int
}

// NewFollower returns a follower that reads once a period.
func NewFollower(c *Client, period time.Duration) *Follower {
	return &Follower{client: c, period: period}
}

// Run reads until ctx ends. It calls update after each successful read and failed
// after each other one.
func (f *Follower) Run(ctx context.Context, update func(Update), failed func(error)) {
	for ctx.Err() == nil {
		start := time.Now()
		u, err := f.read(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.failures = 0
			update(u)
		default:
			f.failures++
			failed(err)
		}
		sleep(ctx, max(f.period, f.backoff())-time.Since(start))
	}
}

func (f *Follower) read(ctx context.Context) (Update, error) {
	sent := boottime.Now()
	if !f.listed {
		p, err := f.client.List(ctx)
		if err != nil {
			return Update{}, err
		}
		f.listed, f.revision = true, p.Revision
		return Update{Revision: p.Revision, Confirmed: sent, Whole: true, Items: p.Items}, nil
	}
	p, err := f.client.Changes(ctx, f.revision, 0)
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
		return f.read(ctx)
	}
	if err != nil {
		return Update{}, err
	}
	f.revision = max(f.revision, p.Revision)
	return Update{Revision: f.revision, Confirmed: sent, Items: p.Items}, nil
}

// backoff is the time between the starts of two reads after failures.
func (f *Follower) backoff() time.Duration {
	if f.failures == 0 {
		return 0
	}
	d := min(minBackoff<<min(f.failures-1, 10), maxBackoff)
	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
