package contention

import (
	"cmp"
	"math"
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// workspaceLoad is a workspace's running requests in the fleet.
type workspaceLoad struct {
	workspace uint32
	running   int
}

// workspaceUse is what a workspace offers at the marginal level, the level that is partly admitted.
type workspaceUse struct {
	requests int     // of the sample, at all levels
	admitted int     // of them
	marginal int     // of the sample, at the marginal level
	offered  float64 // corrected estimate of marginal
	known    bool    // offered follows from the fleet's running requests
	within   float64 // part of it that is within the workspace's share
}

// shares holds the max-min fair shares of the workspaces.
type shares struct {
	fleet    []workspaceLoad // descending
	fleetAt  boottime.Instant
	uses     map[uint32]*workspaceUse // of the workspaces of the sample
	order    []uint32                 // keys of uses, in the order of the sample
	offered  []float64
	marginal uint32  // level
	limit    float64 // of what a workspace offers at that level: the max-min fair share, in requests of the sample
	most     float64 // that a workspace offers which is not among the largest of the fleet
}

func (s *shares) set(now boottime.Instant, loads map[uint32]int, opts *Options) {
	s.fleet, s.fleetAt = s.fleet[:0], now
	for w, n := range loads {
		if n > 0 {
			s.fleet = append(s.fleet, workspaceLoad{w, n})
		}
	}
	slices.SortFunc(s.fleet, func(a, b workspaceLoad) int {
		return cmp.Or(cmp.Compare(b.running, a.running), cmp.Compare(a.workspace, b.workspace))
	})
	s.fleet = s.fleet[:min(len(s.fleet), opts.MaxWorkspaces)]
}

// within returns the part of a workspace's requests at the marginal level that is within its share.
// A further request of a small workspace counts like those of the sample, or
// workspaces that are not in the sample would always be within their shares.
func (s *shares) within(workspace uint32) float64 {
	offered := 1.0
	if u := s.uses[workspace]; u != nil {
		if u.known {
			return u.within
		}
		offered += u.offered
	}
	return min(1, s.limit/min(offered, s.most))
}

// updateShares computes the workspaces' shares of what is admitted at the marginal level, and from them the keys of the
// sample.
func (c *Controller) updateShares(now boottime.Instant, load float64) {
	s := &c.shares
	var counts [levels]int
	s.uses, s.order = map[uint32]*workspaceUse{}, s.order[:0]
	for i := range c.sample.len {
		counts[c.sample.at(i).key>>levelShift]++
	}
	room := c.loop.share * float64(c.sample.len)
	s.marginal = 0
	for int(s.marginal) < levels-1 && room >= float64(counts[s.marginal]) {
		room -= float64(counts[s.marginal])
		s.marginal++
	}
	for i := range c.sample.len {
		o := c.sample.at(i)
		u := s.uses[o.workspace]
		if u == nil {
			u = &workspaceUse{within: 1}
			s.uses[o.workspace] = u
			s.order = append(s.order, o.workspace)
		}
		u.requests++
		if o.admitted {
			u.admitted++
		}
		if o.key>>levelShift == s.marginal {
			u.marginal++
		}
	}
	c.correctOffered(now, load)
	total := 0.0
	s.offered = s.offered[:0]
	for _, w := range s.order {
		if u := s.uses[w]; u.marginal > 0 {
			total += u.offered
			s.offered = append(s.offered, u.offered)
		}
	}
	s.limit = math.Inf(1)
	if n := counts[s.marginal]; n > 0 {
		s.limit = max(maxMin(s.offered, total*room/float64(n)*(1-c.opts.ShareMargin)), c.opts.MinLimit)
	}
	for _, w := range s.order {
		if u := s.uses[w]; u.offered > s.limit {
			u.within = s.limit / u.offered
		}
	}
	for i := range c.sample.len {
		o := c.sample.at(i)
		o.key = c.markShare(o.key, s.uses[o.workspace].within, o.variate)
	}
}

// correctOffered estimates what the workspaces offer at the marginal level, in requests of the sample. The sample of one
// gateway is small; the fleet's running requests, divided by the part that was admitted, correct the counts of the
// largest workspaces and bound those of the others.
func (c *Controller) correctOffered(now boottime.Instant, load float64) {
	s := &c.shares
	s.most = math.Inf(1)
	for _, w := range s.order {
		s.uses[w].offered = float64(s.uses[w].marginal)
	}
	if len(s.fleet) == 0 || load <= 0 || now.Sub(s.fleetAt) > c.opts.WorkspacesTTL {
		return
	}
	share := max(c.loop.share, c.opts.MinShare)
	perRunning := float64(c.sample.len) / load * share
	smallest := 0
	if len(s.fleet) == c.opts.MaxWorkspaces {
		smallest = s.fleet[len(s.fleet)-1].running
	}
	s.most = max(1, perRunning*float64(smallest)/share)
	for _, w := range s.order {
		u := s.uses[w]
		u.offered *= min(1, s.most/float64(u.requests))
	}
	const prior = 2 // requests of the admitted share, against divisions by small counts
	for _, w := range s.fleet {
		if u := s.uses[w.workspace]; u != nil {
			admitted := (float64(u.admitted) + prior*share) / float64(u.requests+prior)
			offered := perRunning * float64(w.running) / admitted
			u.offered, u.known = offered*float64(u.marginal)/float64(u.requests), true
		}
	}
}

// markShare returns the key of a request with its mark set if it is above its workspace's share, of which
// the given part of the workspace's requests is within.
func (c *Controller) markShare(key uint32, within float64, variate float32) uint32 {
	key &^= aboveBit
	if key>>levelShift == c.shares.marginal && float64(variate) >= within {
		key |= aboveBit
	}
	return key
}

// maxMin returns the limit at which the sum of min(offered, limit) is the amount, infinity if the amount
// covers everything. It sorts offered.
func maxMin(offered []float64, amount float64) float64 {
	slices.Sort(offered)
	for i, o := range offered {
		if rest := float64(len(offered) - i); o*rest >= amount {
			return amount / rest
		}
		amount -= o
	}
	return math.Inf(1)
}
