package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// eligibleLoadFactor and eligibleLoadSlack define the load bound over the eligible endpoints:
	// the fraction of LoadMultiple that is applied to their mean load, and the number of requests
	// that are allowed beyond the product.
	eligibleLoadFactor = 0.75
	eligibleLoadSlack  = 2
	// listedLoadSlack and listedLoadFactor define the load bound over all listed endpoints: the
	// number of requests that are allowed beyond LoadMultiple times their mean load, and the
	// fraction of the sum that is used. This bound is the lower one if the ineligible endpoints hold
	// clearly fewer requests than the eligible ones, for example because they are down.
	listedLoadSlack  = 3
	listedLoadFactor = 0.85
	// cacheWarmupTime is how long after its start an endpoint may lack the cached prefixes of
	// the prompts that hash to it.
	cacheWarmupTime = 15 * time.Second
	// localityWeight is how many times as often an endpoint in the gateway's own data centre is
	// chosen as an endpoint with the same load in another data centre.
	localityWeight = 3
)

// rule is how an endpoint is chosen.
type rule uint8

const (
	ruleNone     rule = iota // no endpoint is eligible
	ruleAffinity             // the best endpoint of the rendezvous order within the load bound
	ruleRandom               // at random, by shares
	ruleTrial                // apart from other requests
)

// String returns the rule's stable name in JSON documents.
func (r rule) String() string { return [...]string{"none", "affinity", "random", "trial"}[r] }

// weighing is the result of weigh: what there is to choose from, and the choice as far as it is not random.
type weighing struct {
	endpointClasses
	backlog *backlog.Tracker
	cost    cost.Estimate // of the request at an endpoint of usual speed
	rule    rule
	bound   float64   // maximum load of an endpoint with this request; 0 unless the request has an affinity
	chosen  *endpoint // nil if the rule is ruleNone or ruleRandom
}

// weigh weighs the endpoints of a service for one request. It has no effects: it sends nothing, draws no random number and
// counts nothing. The caller applies the result.
//
// A request with an affinity goes to the endpoint with the highest rendezvous weight for it among those whose load is within
// the bound (rendezvous hashing with bounded loads). Other requests, and those for which no endpoint is within the bound, are
// distributed by load.
//
// Down endpoints that might have been chosen are to be probed: those with a higher rendezvous weight, or all of them for a
// request without an affinity.
func (s *State) weigh(now boottime.Instant, req PlacementRequest, in placementInputs) weighing {
	w := weighing{endpointClasses: s.classify(now, req, in), backlog: in.backlog, cost: s.costs.Estimate(req.Cost)}
	switch {
	case w.eligibleCount == 0:
		w.markProbes(0)
	case req.onTrial:
		w.rule, w.chosen = ruleTrial, s.chooseForTrial(now, req.Request, &w.endpointClasses)
	case req.Affinity == 0:
		w.markProbes(0)
		s.weighRandom(now, req.Service, &w)
	default:
		s.weighByAffinity(now, req, &w)
	}
	return w
}

// markProbes marks the down endpoints whose weight is at least atLeast.
func (w *weighing) markProbes(atLeast uint64) {
	for i := range w.candidates {
		if x := &w.candidates[i]; x.excluded == ExcludedDown && x.weight >= atLeast {
			x.probe = true
		}
	}
}

// requestProbes requests the probes of the marked endpoints.
func (w *weighing) requestProbes() {
	for i := range w.candidates {
		if x := &w.candidates[i]; x.probe {
			x.probeRequested = true
		}
	}
}

// weighByAffinity chooses by rendezvous hashing with bounded loads, or prepares a random choice if no endpoint is within the
// bound.
func (s *State) weighByAffinity(now boottime.Instant, req PlacementRequest, w *weighing) {
	w.bound = s.loadBound(&w.endpointClasses)
	var bestWeight uint64
	for i := range w.candidates {
		x := &w.candidates[i]
		x.weight = fleet.Weight(req.Affinity, x.hash)
		if x.excluded != NotExcluded {
			continue
		}
		x.unreported = s.unreportedLoad(now, x.endpoint)
		if float64(x.load+x.unreported+1) > w.bound {
			x.excluded = ExcludedBound
			continue
		}
		if w.chosen == nil || x.weight > bestWeight {
			w.chosen, bestWeight = x.endpoint, x.weight
		}
	}
	w.markProbes(bestWeight + 1)
	if w.chosen != nil && s.uneven(now, req.Service) {
		if x := s.chooseByTime(now, &req, w); x != nil {
			w.chosen = x.endpoint
		}
	}
	if w.chosen == nil {
		s.weighRandom(now, req.Service, w)
		return
	}
	w.rule = ruleAffinity
}

// loadBound returns the maximum load of an endpoint, including the request to be placed. It is the
// lower of two bounds, each with this request counted in the mean:
//
//	eligibleLoadFactor * LoadMultiple * mean load of the eligible endpoints + eligibleLoadSlack
//	listedLoadFactor * (LoadMultiple * mean load of the listed endpoints + listedLoadSlack)
//
// The factors are below 1 to leave room for requests of peers that are not reported yet.
func (s *State) loadBound(c *endpointClasses) float64 {
	eligibleMean := float64(c.eligibleLoad+1) / float64(c.eligibleCount)
	listedMean := float64(c.listedLoad+1) / float64(max(c.listedCount, 1))
	return min(eligibleLoadFactor*s.opts.LoadMultiple*eligibleMean+eligibleLoadSlack, listedLoadFactor*(s.opts.LoadMultiple*listedMean+listedLoadSlack))
}

// weighRandom sets the shares of a random choice, by which all gateways together balance the loads.
// Load reports are delayed: if every gateway chose the endpoint with the least reported load, all
// would choose the same one until the next report.
//
// The requests expected before the next reports are distributed over the reported loads by
// water-filling, and an endpoint is chosen with a probability proportional to its share. The shares
// of endpoints in the gateway's own data centre are multiplied by localityWeight to save network
// hops. Gateways in all data centres do so, so that the total loads stay balanced.
func (s *State) weighRandom(now boottime.Instant, service fleet.ServiceID, w *weighing) {
	w.rule = ruleRandom
	uneven := s.uneven(now, service)
	loads := make([]float64, 0, w.eligibleCount)
	for i := range w.candidates {
		if x := &w.candidates[i]; x.eligible() {
			x.unreported = s.unreportedLoad(now, x.endpoint)
			load := float64(x.load + x.unreported)
			if uneven {
				load = w.workload(now, x)
			}
			loads = append(loads, load)
		}
	}
	shares := waterFill(loads, 1+s.expectedArrivals(now, service))
	for i := range w.candidates {
		x := &w.candidates[i]
		if !x.eligible() {
			continue
		}
		x.share, shares = shares[0], shares[1:]
		if x.DataCentre == s.opts.Self.DataCentre {
			x.share *= localityWeight
		}
	}
}

// totalShare returns the sum of the shares.
func (w *weighing) totalShare() float64 {
	total := 0.0
	for i := range w.candidates {
		if w.candidates[i].eligible() {
			total += w.candidates[i].share
		}
	}
	return total
}

// pick returns the endpoint of a random choice for a random number from 0 to 1.
func (w *weighing) pick(random float64) *endpoint {
	x := random * w.totalShare()
	var last *endpoint
	for i := range w.candidates {
		c := &w.candidates[i]
		if !c.eligible() {
			continue
		}
		if last = c.endpoint; x < c.share {
			return last
		}
		x -= c.share
	}
	return last
}

// cacheSource returns the address of an endpoint of the same version that is likely to hold cached prefixes of a
// prompt that the chosen endpoint lacks: the endpoint with the highest rendezvous weight if another
// one was chosen, or the endpoint with the second highest if the chosen one has just started. It
// returns "" if there is none.
func (s *State) cacheSource(now boottime.Instant, affinity uint64, chosen *endpoint) string {
	svc := s.service(chosen)
	if affinity == 0 || svc == nil || svc.CacheTokens == 0 {
		return ""
	}
	var first, second *endpoint
	var firstWeight, secondWeight uint64
	for _, e := range s.services[chosen.Service] {
		if !e.listed || e.version != chosen.version || e.addrReused || e.health.down || s.evacuated[e.DataCentre] {
			continue
		}
		switch w := fleet.Weight(affinity, e.hash); {
		case first == nil || w > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = e, w
		case second == nil || w > secondWeight:
			second, secondWeight = e, w
		}
	}
	switch {
	case first != nil && first != chosen:
		return first.Addr
	case second != nil && now.Sub(chosen.incarnationKnownSince) < cacheWarmupTime:
		return second.Addr
	default:
		return ""
	}
}
