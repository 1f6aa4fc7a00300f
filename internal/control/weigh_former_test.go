package control

import (
	"cmp"
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// formerEligible is an eligible endpoint of the former placement.
type formerEligible struct {
	*endpoint
	load int
}

// formerClasses is the classification of the former placement.
type formerClasses struct {
	endpointClasses
	eligible []formerEligible
	down     []*endpoint
}

// formerPlace is the placement before weigh: it classified and chose with effects in between. It returns the chosen endpoint,
// or the rejection.
func (s *State) formerPlace(now boottime.Instant, req PlacementRequest) (*endpoint, Placement) {
	c := s.formerClassify(now, req)
	if len(c.eligible) == 0 {
		p := Placement{Reason: ReasonNoEndpoint, RetryAfter: noneEligibleRetryAfter}
		if len(c.down) > 0 && c.triedCount == 0 {
			p.RetryAfter = downRetryAfter
		}
		if len(c.down) == 0 {
			p.RetryAfter = max(p.RetryAfter, c.pause*4/3)
		}
		if req.Version != 0 && !s.offersVersion(now, req.Service, req.Version) {
			p = Placement{Reason: ReasonVersionGone, RetryAfter: versionGoneRetryAfter}
		}
		p.RetryAfter = s.jitterRetryAfter(p.RetryAfter)
		for _, e := range c.down {
			e.probeRequested = true
		}
		return nil, p
	}
	return s.formerChoose(now, req, c), Placement{}
}

func (s *State) formerClassify(now boottime.Instant, req PlacementRequest) formerClasses {
	var c formerClasses
	var avoided []formerEligible
	oneVersion := req.Version != 0 && s.soleVersion(now, req.Service) == req.Version
	for _, e := range s.services[req.Service] {
		load := s.load(now, e)
		if e.listed {
			c.listedCount++
			c.listedLoad += load
		}
		switch {
		case !s.usable(now, e):
		case req.Version != 0 && (e.version != req.Version || e.replaced(now)):
		case len(req.Among) > 0 && !slices.Contains(req.Among, e.ID):
		case slices.Contains(req.avoid, e.software()):
		case now.Before(e.noRequestsUntil):
			c.pause = shorter(c.pause, e.noRequestsUntil.Sub(now))
		case slices.Contains(req.Tried, e.ID):
			c.triedCount++
		case e.health.down:
			c.down = append(c.down, e)
		case !s.formerAdmitsColdSend(now, e):
		case req.maxSilence != 0 && e.silentFor(now, req.maxSilence):
		case req.Version != 0 && e.Incarnation == 0 && !s.entryCertain(e):
			if oneVersion {
				avoided = append(avoided, formerEligible{e, load})
			}
		case now.Before(e.health.avoidUntil):
			avoided = append(avoided, formerEligible{e, load})
		default:
			c.eligible = append(c.eligible, formerEligible{e, load})
		}
	}
	if len(c.eligible) == 0 {
		c.eligible = avoided
	}
	for _, e := range c.eligible {
		c.eligibleLoad += e.load
	}
	c.eligibleCount = len(c.eligible)
	return c
}

func (s *State) formerAdmitsColdSend(now boottime.Instant, e *endpoint) bool {
	if !now.Before(e.coldStart.until) {
		return true
	}
	e.coldStart.dropOldSends(now)
	return len(e.coldStart.recentSends) < s.coldSendLimit(e)
}

func (s *State) formerChoose(now boottime.Instant, req PlacementRequest, c formerClasses) *endpoint {
	if req.onTrial {
		return s.formerChooseForTrial(now, req, c)
	}
	if req.Affinity == 0 {
		for _, e := range c.down {
			e.probeRequested = true
		}
		return s.formerChooseByWaterFilling(now, req.Service, c)
	}
	bound := s.loadBound(&c.endpointClasses)
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
		return s.formerChooseByWaterFilling(now, req.Service, c)
	}
	return best
}

func (s *State) formerChooseByWaterFilling(now boottime.Instant, service fleet.ServiceID, c formerClasses) *endpoint {
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

func (s *State) formerChooseForTrial(now boottime.Instant, req PlacementRequest, c formerClasses) *endpoint {
	rank, count, last := s.crashes.detector.TrialRank(now, req.Request)
	if count > 1 {
		key := fleet.Weight(uint64(last.Endpoint), uint64(last.Incarnation))
		slices.SortFunc(c.eligible, func(a, b formerEligible) int {
			return cmp.Compare(fleet.Weight(key, b.hash), fleet.Weight(key, a.hash))
		})
		return c.eligible[rank%len(c.eligible)].endpoint
	}
	onTrial := s.crashes.detector.TrialEndpoints(now)
	candidates := slices.DeleteFunc(slices.Clone(c.eligible), func(e formerEligible) bool { return onTrial[e.shortID()] })
	if len(candidates) == 0 {
		candidates = c.eligible
	}
	loads := make([]int, len(candidates))
	for i, e := range candidates {
		loads[i] = e.load
	}
	slices.Sort(loads)
	median := loads[len(loads)/2]
	var best *endpoint
	var bestWeight uint64
	for _, e := range candidates {
		weight := fleet.Weight(uint64(req.Request), e.hash)
		if e.load <= median && (best == nil || weight > bestWeight) {
			best, bestWeight = e.endpoint, weight
		}
	}
	return best
}
