package placement

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// maxRanked is the maximum number of endpoints in a ranking of one group (local or remote).
const maxRanked = 16

// minLocalEndpoints is the number of a data centre's endpoints from which on they are preferred for
// the callers of that data centre.
const minLocalEndpoints = 8

// Rank returns the endpoints of a pool that are in service, in descending order of their rendezvous
// weight for the affinity key. If data centre dc has at least minLocalEndpoints of them, these precede
// all others; otherwise all are ranked together. At most maxRanked of each group are returned.
func Rank(v *fleet.View, p fleet.Pool, affinity uint64, dc fleet.DataCentreID) []*fleet.Endpoint {
	var local, remote ranking
	members := v.PoolEndpoints(p)
	for i, h := range v.PoolEndpointHashes(p) {
		e := members[i]
		if !v.InService(e) {
			continue
		}
		w := fleet.Weight(affinity, h)
		if e.DataCentre == dc {
			local.add(e, w)
		} else {
			remote.add(e, w)
		}
	}
	if local.n >= minLocalEndpoints {
		return append(local.list(), remote.list()...)
	}
	for i := range local.n {
		remote.add(local.endpoints[i], local.weights[i])
	}
	return remote.list()
}

// ranking holds the maxRanked endpoints with the highest weights, highest first.
type ranking struct {
	endpoints [maxRanked + 1]*fleet.Endpoint
	weights   [maxRanked + 1]uint64
	n         int
}

func (r *ranking) add(e *fleet.Endpoint, w uint64) {
	if r.n == maxRanked && w <= r.weights[r.n-1] {
		return
	}
	i := r.n
	for ; i > 0 && r.weights[i-1] < w; i-- {
		r.endpoints[i], r.weights[i] = r.endpoints[i-1], r.weights[i-1]
	}
	r.endpoints[i], r.weights[i] = e, w
	r.n = min(r.n+1, maxRanked)
}

func (r *ranking) list() []*fleet.Endpoint { return r.endpoints[:r.n:r.n] }

// Plan is the order in which a request tries endpoints, and records which were tried.
type Plan struct {
	view   *fleet.View
	pools  []fleet.Pool
	hinted *fleet.Endpoint
	ranked []*fleet.Endpoint
	tried  []fleet.EndpointID
}

// NewPlan ranks the endpoints of each pool as Rank does, in the order of pools. The hinted endpoint
// precedes all others if it is in service and in one of the pools.
func NewPlan(v *fleet.View, pools []fleet.Pool, affinity uint64, dc fleet.DataCentreID, hint fleet.EndpointID) Plan {
	p := Plan{view: v, pools: pools}
	for _, pool := range pools {
		p.ranked = append(p.ranked, Rank(v, pool, affinity, dc)...)
	}
	if e := v.Endpoint(hint); e != nil && v.InService(e) && containsPool(pools, v.PoolOf(e)) {
		p.hinted = e
	}
	return p
}

func containsPool(pools []fleet.Pool, p fleet.Pool) bool {
	for _, q := range pools {
		if q == p {
			return true
		}
	}
	return false
}

// Empty reports whether no endpoint of the pools is in service.
func (p *Plan) Empty() bool { return len(p.ranked) == 0 && p.hinted == nil }

// First returns the most preferred endpoint, or nil if the plan is empty.
func (p *Plan) First() *fleet.Endpoint {
	if p.hinted != nil {
		return p.hinted
	}
	if len(p.ranked) == 0 {
		return nil
	}
	return p.ranked[0]
}

// Candidates returns the endpoints of the plan, including tried ones: the hinted one first,
// then the ranking, which may contain it again.
func (p *Plan) Candidates() []*fleet.Endpoint {
	if p.hinted == nil {
		return p.ranked
	}
	return append([]*fleet.Endpoint{p.hinted}, p.ranked...)
}

// Next returns the next endpoint to try, or nil if all were tried. The order is: the most preferred
// endpoint, then ranked endpoints in suggested (named by owners because they have capacity), then
// other endpoints of the pools in suggested, then the rest of the ranking.
func (p *Plan) Next(suggested []fleet.EndpointID) *fleet.Endpoint {
	if f := p.First(); f != nil && !p.wasTried(f.ID) {
		return p.take(f)
	}
	for _, e := range p.ranked {
		if !p.wasTried(e.ID) && containsID(suggested, e.ID) {
			return p.take(e)
		}
	}
	for _, id := range suggested {
		e := p.view.Endpoint(id)
		if e != nil && !p.wasTried(id) && p.view.InService(e) && containsPool(p.pools, p.view.PoolOf(e)) {
			return p.take(e)
		}
	}
	for _, e := range p.ranked {
		if !p.wasTried(e.ID) {
			return p.take(e)
		}
	}
	return nil
}

// take records an endpoint as tried.
func (p *Plan) take(e *fleet.Endpoint) *fleet.Endpoint {
	p.tried = append(p.tried, e.ID)
	return e
}

func (p *Plan) wasTried(id fleet.EndpointID) bool { return containsID(p.tried, id) }

func containsID(ids []fleet.EndpointID, id fleet.EndpointID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
