package placement

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// maxRanked bounds the endpoints of each group that one request considers.
const maxRanked = 16

// enoughLocal is the number of endpoints from which a data centre serves its own
// callers by itself while it has room.
const enoughLocal = 8

// Rank returns the endpoints of a pool that are in service, best first for the
// affinity key. Those of data centre dc go first, if there are enough of them to share
// load among themselves. At most 16 of each group are returned.
func Rank(v *fleet.View, p fleet.Pool, affinity uint64, dc fleet.DataCentreID) []*fleet.Endpoint {
	var near, far ranking
	members := v.PoolEndpoints(p)
	for i, h := range v.PoolEndpointHashes(p) {
		e := members[i]
		if !v.InService(e) {
			continue
		}
		w := fleet.Weight(affinity, h)
		if e.DataCentre == dc {
			near.add(e, w)
		} else {
			far.add(e, w)
		}
	}
	if near.n >= enoughLocal {
		return append(near.list(), far.list()...)
	}
	for i := range near.n {
		far.add(near.endpoints[i], near.weights[i])
	}
	return far.list()
}

// ranking keeps the endpoints with the highest weights, best first.
type ranking struct {
	endpoints [maxRanked + 1]*fleet.Endpoint
	weights   [maxRanked + 1]uint64
	n         int
}

func (r *ranking) add(e *fleet.Endpoint, w uint64) {
	if r.n == maxRanked && w <= r.weights[r.n-1] {
		return
	}
	at := r.n
	for ; at > 0 && r.weights[at-1] < w; at-- {
		r.endpoints[at], r.weights[at] = r.endpoints[at-1], r.weights[at-1]
	}
	r.endpoints[at], r.weights[at] = e, w
	r.n = min(r.n+1, maxRanked)
}

func (r *ranking) list() []*fleet.Endpoint { return r.endpoints[:r.n:r.n] }

// Plan is the order in which a request tries endpoints.
type Plan struct {
	view   *fleet.View
	pools  []fleet.Pool
	hinted *fleet.Endpoint
	ranked []*fleet.Endpoint
	tried  []fleet.EndpointID
}

// NewPlan ranks the endpoints of the pools in turn, those of data centre dc first where
// they are enough. The hinted endpoint, if it is in service, goes before all.
func NewPlan(v *fleet.View, pools []fleet.Pool, affinity uint64, dc fleet.DataCentreID, hint fleet.EndpointID) Plan {
	p := Plan{view: v, pools: pools}
	for _, pool := range pools {
		p.ranked = append(p.ranked, Rank(v, pool, affinity, dc)...)
	}
	if e := v.Endpoint(hint); e != nil && v.InService(e) && contains(pools, v.PoolOf(e)) {
		p.hinted = e
	}
	return p
}

func contains(pools []fleet.Pool, p fleet.Pool) bool {
	for _, q := range pools {
		if q == p {
			return true
		}
	}
	return false
}

// Empty tells whether no endpoint is in service.
func (p *Plan) Empty() bool { return len(p.ranked) == 0 && p.hinted == nil }

// First returns the endpoint that the request prefers over all others.
func (p *Plan) First() *fleet.Endpoint {
	if p.hinted != nil {
		return p.hinted
	}
	if len(p.ranked) == 0 {
		return nil
	}
	return p.ranked[0]
}

// Candidates returns the endpoints of the plan, tried or not, the preferred one first.
func (p *Plan) Candidates() []*fleet.Endpoint {
	if p.hinted == nil {
		return p.ranked
	}
	return append([]*fleet.Endpoint{p.hinted}, p.ranked...)
}

// Next returns the best endpoint that was not tried: the preferred one, then the
// best ranked of those that an owner named as having room, then one that has room
// beyond the ranked, then the rank. It returns nil when all were tried.
func (p *Plan) Next(room []fleet.EndpointID) *fleet.Endpoint {
	if f := p.First(); f != nil && !p.wasTried(f.ID) {
		return p.take(f)
	}
	for _, e := range p.ranked {
		if !p.wasTried(e.ID) && named(room, e.ID) {
			return p.take(e)
		}
	}
	for _, id := range room {
		e := p.view.Endpoint(id)
		if e != nil && !p.wasTried(id) && p.view.InService(e) && contains(p.pools, p.view.PoolOf(e)) {
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

func (p *Plan) take(e *fleet.Endpoint) *fleet.Endpoint {
	p.tried = append(p.tried, e.ID)
	return e
}

func (p *Plan) wasTried(id fleet.EndpointID) bool { return named(p.tried, id) }

func named(ids []fleet.EndpointID, id fleet.EndpointID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
