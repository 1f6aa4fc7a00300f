package contention

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// queueShares holds the workspaces' shares of a service's capacity while requests queue at its endpoints.
// They order the queues; nothing is rejected for them.
type queueShares struct {
	queueing bool
	last     boottime.Instant // when the utilization was last above the margin
	usual    usualRates
	claims   []claim
	demand   float64            // average of the offered requests, in multiples of the capacity
	median   float64            // of the usual rates, when queueing began
	limits   map[uint32]float64 // of what a workspace offers at all levels, in requests of the sample; no limit for the others
}

// claim is what a workspace offers, and the weight with which the capacity is divided.
type claim struct {
	workspace       uint32
	offered, weight float64
}

// Queueing reports whether requests queue at the endpoints of the service.
func (c *Controller) Queueing(now boottime.Instant) bool {
	return c.queue.queueing && now.Sub(c.loop.updated) <= c.opts.UpdateTimeout
}

func (c *Controller) updateQueue(now boottime.Instant, load float64, elapsed time.Duration) {
	q := &c.queue
	// While everything is admitted, what flows in is the demand. The loop's own estimate returns to 1 when it is not
	// corrected, which would make the shares too large.
	demand := c.loop.inflow
	if c.loop.contended {
		demand = c.loop.demand
	}
	q.demand += (demand - q.demand) * min(1, elapsed.Seconds()/c.opts.QueueDemandTime.Seconds())
	switch {
	case !c.loop.valid:
		q.queueing, q.demand = false, 0
		return
	case c.loop.utilization > 1+c.opts.QueueMargin:
		if !q.queueing {
			q.median = q.usual.median(&c.opts)
		}
		q.queueing, q.last = true, now
	case now.Sub(q.last) > c.opts.QueueEndAfter:
		q.queueing = false
	}
	if !q.queueing {
		q.usual.elapsed += elapsed
		return
	}
	if !c.loop.contended {
		c.sample.expire(now, &c.opts)
		c.countUses(now, load)
	}
	c.updateLimits(now, load)
}

// countUsual counts a request for its workspace's usual rate, except while requests queue or the load is not known.
func (c *Controller) countUsual(now boottime.Instant, workspace uint32) {
	if c.loop.valid && !c.queue.queueing && now.Sub(c.loop.updated) <= c.opts.UpdateTimeout {
		c.queue.usual.count(workspace, &c.opts)
	}
}

// updateLimits divides the requests that would be admitted at a utilization of 1 among the workspaces, max-min fair by their
// usual rates.
func (c *Controller) updateLimits(now boottime.Instant, load float64) {
	q, s := &c.queue, &c.shares
	if q.limits == nil {
		q.limits = make(map[uint32]float64, sampleSize)
	}
	clear(q.limits)
	if c.sample.len == 0 {
		return
	}
	q.claims = q.claims[:0]
	total := 0.0
	for _, w := range s.order {
		u := s.uses[w]
		n := float64(u.requests)
		offered := n * clampWeight(u.weight, n)
		if s.fleetKnown && !u.known {
			offered = min(offered, c.mostOfUnlisted(load))
		}
		weight := q.usual.rate(w, &c.opts)
		if weight < 0 {
			weight = q.median
		}
		// The weight is positive: a workspace without any use has a limit, too.
		q.claims = append(q.claims, claim{w, offered, max(weight, q.median/1000)})
		total += offered
	}
	slices.SortFunc(q.claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.offered*b.weight, b.offered*a.weight), cmp.Compare(a.workspace, b.workspace))
	})
	perWeight := maxMinWeighted(q.claims, total/max(q.demand, 1))
	if q.usual.known(&c.opts) {
		perWeight = max(perWeight, c.opts.UsualMargin*now.Sub(c.sample.at(0).at).Seconds())
	}
	for _, cl := range q.claims {
		if limit := max(cl.weight*perWeight, c.opts.MinLimit); cl.offered > limit {
			// The limit applies to the requests of the sample.
			q.limits[cl.workspace] = limit / cl.offered * float64(s.uses[cl.workspace].requests)
		}
	}
}

// clampWeight limits the correction of n requests of the sample by the fleet's running requests to two standard
// deviations of their number: requests above a share run and wait longer than others, which would make their
// workspace seem larger than it is.
func clampWeight(weight, n float64) float64 {
	limit := 1 + 2/math.Sqrt(n)
	return min(max(weight, 1/limit), limit)
}

// mostOfUnlisted returns the most that a workspace offers that is not among the fleet's largest: as much as the smallest of these.
func (c *Controller) mostOfUnlisted(load float64) float64 {
	s := &c.shares
	if len(s.fleet) < c.opts.MaxWorkspaces {
		return 0
	}
	return c.offeredBy(&s.fleet[len(s.fleet)-1], load)
}

// aboveQueueShare reports whether a request is above its workspace's share. The share is used by the workspace's
// requests in the order of their priorities: those of the least urgent ones wait the longest, so that the excess delays
// others there.
func (c *Controller) aboveQueueShare(now boottime.Instant, r *Request, variate float32) bool {
	if !c.Queueing(now) {
		return false
	}
	limit, limited := c.queue.limits[r.Workspace]
	if !limited {
		return false
	}
	own := level(r)
	before, same := 0, 0
	for i := range c.sample.len {
		switch e := c.sample.at(i); {
		case e.workspace != r.Workspace || e.key>>levelShift > own:
		case e.key>>levelShift < own:
			before++
		default:
			same++
		}
	}
	return float64(variate)*float64(max(same, 1)) >= limit-float64(before)
}

// maxMinWeighted returns the factor at which the sum of min(offered, factor x weight) is the amount, infinity if the amount
// covers everything. The claims are in ascending order of offered/weight.
func maxMinWeighted(claims []claim, amount float64) float64 {
	weights := 0.0
	for _, cl := range claims {
		weights += cl.weight
	}
	for _, cl := range claims {
		if cl.offered*weights >= amount*cl.weight {
			return max(amount, 0) / weights
		}
		amount -= cl.offered
		weights -= cl.weight
	}
	return math.Inf(1)
}
