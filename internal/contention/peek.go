package contention

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// Preview is what Admit would decide about a request.
type Preview struct {
	Contended   bool
	Probability float64       // of admission
	Rank        int           // as in Decision, of the likelier side of the workspace's share
	Reason      Reason        // of the likelier rejection; ReasonNone if admission is certain
	RetryAfter  time.Duration // mean of a rejection; 0 if admission is certain

	WithinShare  float64       // part of the workspace's requests that is within its share at the priority that is partly admitted
	Running      int           // requests of the workspace in the fleet
	RunningKnown bool          // the workspace is one of the fleet's largest
	RunningAge   time.Duration // of the fleet's counts by workspace; 0: there are none
}

// Peek returns what Admit would decide now. It has no effects: the request is not counted, and no random number is drawn.
//
// Admit draws twice: whether the request is within its workspace's share, and whether it is admitted. The
// probability covers both.
func (c *Controller) Peek(now boottime.Instant, r Request) Preview {
	if !c.contended(now) {
		return Preview{Probability: 1, WithinShare: 1}
	}
	sample := c.sample
	sample.expire(now, &c.opts)
	p := Preview{Contended: true, WithinShare: c.shares.within(r.Workspace)}
	const first, last = 0, 1 // variates of requests within and above the share
	within, above := c.assess(now, &sample, &r, first), c.assess(now, &sample, &r, last)
	likelier, rejected := &within, &within
	if p.WithinShare < 0.5 {
		likelier = &above
	}
	rejections := [2]float64{p.WithinShare * (1 - within.probability()), (1 - p.WithinShare) * (1 - above.probability())}
	if rejections[1] > rejections[0] {
		rejected = &above
	}
	p.Rank = likelier.rank
	p.Probability = 1 - rejections[0] - rejections[1]
	if rejections[0]+rejections[1] > 0 {
		low, high := c.retryAfterBounds(now, &r)
		p.Reason, p.RetryAfter = rejected.reason, time.Duration((low+high)/2)
	}
	for _, w := range c.shares.fleet {
		if w.workspace == r.Workspace {
			p.Running, p.RunningKnown = w.running, true
		}
	}
	if c.shares.fleetAt != 0 {
		p.RunningAge = now.Sub(c.shares.fleetAt)
	}
	return p
}

// probability returns the probability of admission.
func (a *assessment) probability() float64 { return min(a.chance, 1) }
