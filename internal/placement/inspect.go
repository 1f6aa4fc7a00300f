package placement

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// Ranked returns the first n endpoints of the ranking, regardless of the hint.
func (p *Plan) Ranked(n int) []fleet.EndpointID {
	var ids []fleet.EndpointID
	for _, e := range p.ranked[:min(n, len(p.ranked))] {
		ids = append(ids, e.ID)
	}
	return ids
}

// Hinted returns the endpoint that the hint named, or nil if there is no valid hint.
func (p *Plan) Hinted() *fleet.Endpoint { return p.hinted }
