package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// loadMargin is the part of the allowed multiple of the mean that is used while all
	// endpoints can be.
	loadMargin = 0.75
	// loadSlack is what an endpoint may hold beyond that.
	loadSlack = 2
	// allowedSlack is what an endpoint may hold beyond the allowed multiple of the mean.
	allowedSlack = 3
	// allMargin is the part of both that is used while some endpoints take nothing.
	allMargin = 0.85
	// youngTime is for how long an endpoint may lack the parts of prompts that hash to it.
	youngTime = 15 * time.Second
	// nearFactor is how many times as often an endpoint of the own data centre is chosen as
	// another one with the same load.
	nearFactor = 3
)

// choose picks one of the able endpoints. A request with a prompt goes to the first
// endpoint of its prompt's own order that is not above the bound; others go where the
// level is low.
func (s *State) choose(now boottime.Instant, w PlacementRequest, c candidates) *endpoint {
	if w.Affinity == 0 {
		for _, e := range c.dead {
			e.wanted = true
		}
		return s.level(now, w.Service, c)
	}
	bound := s.loadBound(&c)
	var best *endpoint
	var bestWeight uint64
	for _, e := range c.able {
		if float64(e.load+s.unseen(now, e.endpoint)+1) > bound {
			continue
		}
		if weight := fleet.Weight(w.Affinity, e.hash); best == nil || weight > bestWeight {
			best, bestWeight = e.endpoint, weight
		}
	}
	for _, e := range c.dead {
		if fleet.Weight(w.Affinity, e.hash) > bestWeight {
			e.wanted = true
		}
	}
	if best == nil {
		return s.level(now, w.Service, c)
	}
	return best
}

// loadBound is what an endpoint may hold with one more request. It leaves room below the
// allowed multiple of the mean of all endpoints, those included that may not be used now,
// for requests of peers that are not counted yet.
func (s *State) loadBound(c *candidates) float64 {
	ableMean := float64(c.total+1) / float64(len(c.able))
	allMean := float64(c.onAll+1) / float64(max(c.all, 1))
	return min(loadMargin*s.opts.LoadMultiple*ableMean+loadSlack, allMargin*(s.opts.LoadMultiple*allMean+allowedSlack))
}

// level picks an endpoint so that all of them together fill up to the same level. It
// answers heavy load at few endpoints with counts that are late: if every gateway chose
// the endpoint with the least load, all would choose the same one until the next count.
//
// The requests that arrive before the counts are renewed are poured over the loads like
// water; an endpoint is chosen with the probability of its share. Endpoints of the own
// data centre count more often, which saves a way and evens out over the data centres.
func (s *State) level(now boottime.Instant, service fleet.ServiceID, c candidates) *endpoint {
	loads := make([]float64, len(c.able))
	for i, e := range c.able {
		loads[i] = float64(e.load + s.unseen(now, e.endpoint))
	}
	shares := pour(loads, 1+s.arrivals(now, service))
	total := 0.0
	for i, e := range c.able {
		if e.DataCentre == s.opts.Self.DataCentre {
			shares[i] *= nearFactor
		}
		total += shares[i]
	}
	x := s.rng.Float64() * total
	for i, share := range shares {
		if x -= share; x < 0 {
			return c.able[i].endpoint
		}
	}
	return c.able[len(c.able)-1].endpoint
}

// fetchAt names an endpoint that is likely to hold the shared parts of a prompt that the
// chosen one lacks: the first of the prompt's order, where the chosen one is another or
// has just started.
func (s *State) fetchAt(now boottime.Instant, affinity uint64, chosen *endpoint) string {
	svc := s.service(chosen)
	if affinity == 0 || svc == nil || svc.CacheTokens == 0 {
		return ""
	}
	var first, second *endpoint
	var firstWeight, secondWeight uint64
	for _, e := range s.services[chosen.Service] {
		if !e.listed || e.moved || e.health.down || s.evacuated[e.DataCentre] {
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
	case second != nil && now.Sub(chosen.since) < youngTime:
		return second.Addr
	default:
		return ""
	}
}
