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
	admitted  float64 // part of its requests that was admitted when the running ones were
}

// workspaceUse is what a workspace offers. The marginal level is the one that is partly admitted.
type workspaceUse struct {
	requests int     // of the sample, at all levels
	sure     int     // of them, at levels that are completely admitted
	marginal int     // of them, at the marginal level
	weight   float64 // of each of them
	known    bool    // the weight follows from the fleet's running requests
	within   float64 // part of those at the marginal level that is within the workspace's share
}

func (u *workspaceUse) offered() float64 { return float64(u.marginal) * u.weight }

// shares holds the max-min fair shares of the workspaces.
type shares struct {
	fleet    []workspaceLoad // descending
	previous []workspaceLoad
	fleetAt  boottime.Instant
	uses     map[uint32]*workspaceUse // of the workspaces of the sample
	order    []uint32                 // keys of uses, in the order of the sample
	storage  [sampleSize]workspaceUse // of uses, so that a tick allocates nothing
	offered  []float64
	marginal uint32  // level
	limit    float64 // of what a workspace offers at that level, in requests of the sample
	others   float64 // weight of requests of workspaces that are not among the largest of the fleet

	fleetKnown bool // the fleet's largest workspaces are known
}

func (s *shares) set(now boottime.Instant, loads map[uint32]int, opts *Options) {
	s.previous = append(s.previous[:0], s.fleet...)
	s.fleet, s.fleetAt = s.fleet[:0], now
	for w, n := range loads {
		if n > 0 {
			s.fleet = append(s.fleet, workspaceLoad{w, n, 1})
		}
	}
	slices.SortFunc(s.fleet, func(a, b workspaceLoad) int {
		return cmp.Or(cmp.Compare(b.running, a.running), cmp.Compare(a.workspace, b.workspace))
	})
	s.fleet = s.fleet[:min(len(s.fleet), opts.MaxWorkspaces)]
	for i := range s.fleet {
		for _, p := range s.previous {
			if p.workspace == s.fleet[i].workspace {
				s.fleet[i].admitted = p.admitted
			}
		}
	}
}

// within returns the part of a workspace's requests at the marginal level that is within its share.
func (s *shares) within(workspace uint32) float64 {
	u := s.uses[workspace]
	switch {
	case u == nil:
		return 1 // the limit is more than one request
	case u.known || s.fleetKnown:
		return u.within
	default: // the further request counts like those of the sample
		return min(1, s.limit/(u.offered()+s.others))
	}
}

// weight returns the weight of a further request of a workspace.
func (s *shares) weight(workspace uint32) float32 {
	if u := s.uses[workspace]; u != nil {
		return float32(u.weight)
	}
	return float32(s.others)
}

// countUses counts the requests of the sample by workspace and weighs them.
func (c *Controller) countUses(now boottime.Instant, load float64) {
	s := &c.shares
	if s.uses == nil {
		s.uses = make(map[uint32]*workspaceUse, sampleSize)
	}
	clear(s.uses)
	s.order = s.order[:0]
	for i := range c.sample.len {
		w := c.sample.at(i).workspace
		u := s.uses[w]
		if u == nil {
			u = &s.storage[len(s.order)]
			*u = workspaceUse{weight: 1, within: 1}
			s.uses[w] = u
			s.order = append(s.order, w)
		}
		u.requests++
	}
	c.weigh(now, load)
}

// updateShares computes the workspaces' shares of what is admitted at the marginal level, and from them the keys of the
// sample.
func (c *Controller) updateShares(now boottime.Instant, load, elapsed float64) {
	c.countUses(now, load)
	s := &c.shares
	var counts [levels]float64
	total := 0.0
	for i := range c.sample.len {
		o := c.sample.at(i)
		o.weight = s.weight(o.workspace)
		counts[o.key>>levelShift] += float64(o.weight)
		total += float64(o.weight)
	}
	room := c.loop.share * total
	s.marginal = 0
	for int(s.marginal) < levels-1 && room >= counts[s.marginal] {
		room -= counts[s.marginal]
		s.marginal++
	}
	for i := range c.sample.len {
		o := c.sample.at(i)
		switch l := o.key >> levelShift; {
		case l < s.marginal:
			s.uses[o.workspace].sure++
		case l == s.marginal:
			s.uses[o.workspace].marginal++
		}
	}
	c.divide(room)
	within, above := 0.0, 0.0 // of the requests at the marginal level
	for i := range c.sample.len {
		o := c.sample.at(i)
		o.key = c.markShare(o.key, s.uses[o.workspace].within, o.variate)
		switch {
		case o.key>>levelShift != s.marginal:
		case o.key&aboveBit == 0:
			within += float64(o.weight)
		default:
			above += float64(o.weight)
		}
	}
	part := func(room, of float64) float64 { return min(max(room/max(of, 1e-9), c.opts.MinShare), 1) }
	c.followAdmitted(elapsed, part(room, within), part(room-within, above))
}

// divide sets the max-min fair shares of the room at the marginal level.
func (c *Controller) divide(room float64) {
	s := &c.shares
	s.offered = s.offered[:0]
	for _, w := range s.order {
		s.offered = append(s.offered, s.uses[w].offered())
	}
	s.limit = max(maxMin(s.offered, room*(1-c.opts.ShareMargin)), c.opts.MinLimit)
	for _, w := range s.order {
		// A workspace that is not among the fleet's largest is below its share, whatever the sample shows.
		if u := s.uses[w]; u.offered() > s.limit && (u.known || !s.fleetKnown) {
			u.within = s.limit / u.offered()
		}
	}
}

// weigh corrects the sample, which is small, by what the largest workspaces offer to the fleet: their running
// requests, divided by the part of their requests that was admitted. The requests of all other workspaces
// together make up the rest.
func (c *Controller) weigh(now boottime.Instant, load float64) {
	s := &c.shares
	s.others = 1
	s.fleetKnown = len(s.fleet) > 0 && load > 0 && now.Sub(s.fleetAt) <= c.opts.WorkspacesTTL
	if !s.fleetKnown {
		return
	}
	total := float64(c.sample.len)
	limit := c.opts.MaxWeight
	restOffered, restRequests := total, total
	for i := range s.fleet {
		w := &s.fleet[i]
		if u := s.uses[w.workspace]; u != nil {
			n := float64(u.requests)
			u.weight, u.known = c.offeredBy(w, load)/n, true
			u.weight = min(max(u.weight, 1/limit), limit)
			restOffered -= u.weight * n
			restRequests -= n
		}
	}
	if restRequests > 0 {
		s.others = min(max(restOffered/restRequests, 1/limit), limit)
	}
	for _, w := range s.order {
		if u := s.uses[w]; !u.known {
			u.weight = s.others
		}
	}
}

// offeredBy returns what one of the fleet's largest workspaces offers, in requests of the sample. Without contention,
// everything is admitted.
func (c *Controller) offeredBy(w *workspaceLoad, load float64) float64 {
	average, admitted := c.loop.average, w.admitted
	if !c.loop.contended {
		average, admitted = 1, 1
	}
	perRunning := float64(c.sample.len) / load * max(average, c.opts.MinShare)
	return perRunning * float64(w.running) / max(admitted, c.opts.MinShare)
}

// followAdmitted updates the parts of the largest workspaces' requests that are admitted, from the parts that are admitted of the
// requests within and above the shares at the marginal level. They follow with
// the time for which requests run, since they are compared with running requests.
func (c *Controller) followAdmitted(elapsed, within, above float64) {
	s := &c.shares
	follow := min(1, elapsed/(c.loop.hold+c.opts.LoadAge).Seconds())
	c.loop.average += (c.loop.share - c.loop.average) * follow
	for i := range s.fleet {
		w := &s.fleet[i]
		if u := s.uses[w.workspace]; u != nil {
			admitted := float64(u.sure) + float64(u.marginal)*(u.within*within+(1-u.within)*above)
			w.admitted += (max(admitted/float64(u.requests), c.opts.MinShare) - w.admitted) * follow
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
