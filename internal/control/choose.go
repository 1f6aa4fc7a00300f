package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// eligibleLoadFactor is the fraction of LoadMultiple that is applied to the mean load of the
	// eligible endpoints.
	eligibleLoadFactor = 0.75
	// eligibleLoadSlack is the number of requests that an endpoint may hold beyond that.
	eligibleLoadSlack = 2
	// listedLoadSlack is the number of requests that an endpoint may hold beyond LoadMultiple
	// times the mean of all listed endpoints.
	listedLoadSlack = 3
	// listedLoadFactor is the fraction of that limit that is used. It applies while some listed
	// endpoints are not eligible.
	listedLoadFactor = 0.85
	// cacheWarmupTime is how long after its start an endpoint may lack the cached prefixes of
	// the prompts that hash to it.
	cacheWarmupTime = 15 * time.Second
	// localityWeight is how many times as often an endpoint in the gateway's own data centre is
	// chosen as one with the same load in another data centre.
	localityWeight = 3
)

// choose picks one of the eligible endpoints. A request with an affinity goes to the endpoint
// with the highest rendezvous weight for it among those whose load is within the bound
// (rendezvous hashing with bounded loads). Other requests are distributed by load.
func (s *State) choose(now boottime.Instant, req PlacementRequest, c endpointClasses) *endpoint {
	if req.Affinity == 0 {
		for _, e := range c.down {
			e.probeRequested = true
		}
		return s.chooseByWaterFilling(now, req.Service, c)
	}
	bound := s.loadBound(&c)
	var best *endpoint
	var bestWeight uint64
	for _, e := range c.eligible {
		if float64(e.load+s.unreportedLoad(now, e.endpoint)+1) > bound {
			continue
		}
		if weight := fleet.Weight(req.Affinity, e.hash); best == nil || weight > bestWeight {
			best, bestWeight = e.endpoint, weight
		}
	}
	for _, e := range c.down {
		if fleet.Weight(req.Affinity, e.hash) > bestWeight {
			e.probeRequested = true
		}
	}
	if best == nil {
		return s.chooseByWaterFilling(now, req.Service, c)
	}
	return best
}

// loadBound returns the highest load that an endpoint may have with one more request. It stays
// below the allowed multiple of the mean of all listed endpoints, ineligible ones included, to
// leave room for requests of peers that are not reported yet.
func (s *State) loadBound(c *endpointClasses) float64 {
	eligibleMean := float64(c.eligibleLoad+1) / float64(len(c.eligible))
	listedMean := float64(c.listedLoad+1) / float64(max(c.listedCount, 1))
	return min(eligibleLoadFactor*s.opts.LoadMultiple*eligibleMean+eligibleLoadSlack, listedLoadFactor*(s.opts.LoadMultiple*listedMean+listedLoadSlack))
}

// chooseByWaterFilling picks an endpoint at random so that all gateways together even out the
// loads. Load reports are delayed: if every gateway chose the endpoint with the least reported
// load, all would choose the same one until the next report.
//
// The requests expected before the next reports are distributed over the reported loads by
// water-filling, and an endpoint is chosen with the probability of its share. Shares of
// endpoints in the own data centre are multiplied by localityWeight, which saves a network hop
// and evens out over the data centres.
func (s *State) chooseByWaterFilling(now boottime.Instant, service fleet.ServiceID, c endpointClasses) *endpoint {
	loads := make([]float64, len(c.eligible))
	for i, e := range c.eligible {
		loads[i] = float64(e.load + s.unreportedLoad(now, e.endpoint))
	}
	shares := waterFill(loads, 1+s.expectedArrivals(now, service))
	total := 0.0
	for i, e := range c.eligible {
		if e.DataCentre == s.opts.Self.DataCentre {
			shares[i] *= localityWeight
		}
		total += shares[i]
	}
	x := s.rng.Float64() * total
	for i, share := range shares {
		if x -= share; x < 0 {
			return c.eligible[i].endpoint
		}
	}
	return c.eligible[len(c.eligible)-1].endpoint
}

// cacheSource returns the address of an endpoint that is likely to hold cached prefixes of a
// prompt that the chosen one lacks: the endpoint with the highest rendezvous weight if another
// one was chosen, and the second if the chosen one has just started. It returns "" for none.
func (s *State) cacheSource(now boottime.Instant, affinity uint64, chosen *endpoint) string {
	svc := s.service(chosen)
	if affinity == 0 || svc == nil || svc.CacheTokens == 0 {
		return ""
	}
	var first, second *endpoint
	var firstWeight, secondWeight uint64
	for _, e := range s.services[chosen.Service] {
		if !e.listed || e.addrReused || e.health.down || s.evacuated[e.DataCentre] {
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
