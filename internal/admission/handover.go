package admission

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// earlyHandoverTTL is how long a handover is kept that arrives before this router owns the endpoint.
const earlyHandoverTTL = 500 * time.Millisecond

// fullShareGrace is how long after an owner last held all votes its lease count is still taken to cover
// all admitted requests. A recovering router counts as a voter shortly before it takes over ownership,
// so the former owner no longer holds all votes at the handover.
const fullShareGrace = 400 * time.Millisecond

// maxHandoverLoads is the maximum number of pool loads in a handover.
const maxHandoverLoads = 32

// receivedHandover is a handover that was not applied yet.
type receivedHandover struct {
	m  wire.LeaseHandover
	at time.Time
}

// BeforeOwnershipChange records for which endpoints this router holds the votes of all routers, so
// that no other one can have admitted requests. It must be called right before the ownership state
// changes.
func (s *State) BeforeOwnershipChange(now time.Time) {
	for _, id := range s.order {
		s.recordFullShare(now, s.endpoints[id])
	}
}

// recordFullShare sets fullShareAt if this router holds the votes of all routers.
func (s *State) recordFullShare(now time.Time, e *endpoint) {
	if s.voteShare(now, e) >= 1 {
		e.fullShareAt = now
	}
}

// sendHandover sends the admitted load to the next owner, unless another router can have admitted
// requests. The next owner then need not wait for a load report.
func (s *State) sendHandover(now time.Time, e *endpoint, next fleet.InstanceID, out *wire.Outbox) {
	ep := s.view.Endpoint(e.id)
	if now.Sub(e.fullShareAt) > fullShareGrace || next == "" || ep == nil || e.restartSuspected {
		return
	}
	m := wire.LeaseHandover{
		Endpoint:    e.id,
		Load:        uint32(len(e.leases) + e.foreignMax),
		Incarnation: e.inc,
		Loads:       s.pool.Newest(now, s.view.PoolOf(ep), maxHandoverLoads),
	}
	if limit := min(s.coldStartLimit(now, ep, e), s.capacity(ep, e)); limit < ep.Capacity {
		m.Limit = uint32(limit)
	}
	out.Send(next, m)
}

// OnHandover records the load that the former owner of an endpoint admitted. The handover is
// applied as soon as this router owns the endpoint.
func (s *State) OnHandover(now time.Time, m wire.LeaseHandover) {
	s.pool.Merge(now, m.Loads)
	s.handovers[m.Endpoint] = receivedHandover{m, now}
	if e := s.endpoints[m.Endpoint]; e != nil {
		s.applyHandover(now, e)
		s.publish(now, e)
	}
	for id, h := range s.handovers {
		if now.Sub(h.at) > earlyHandoverTTL {
			delete(s.handovers, id)
		}
	}
}

// applyHandover applies a handover to an endpoint without leases of this router. A handover takes
// precedence over an earlier report, unless the endpoint is known at a later incarnation.
func (s *State) applyHandover(now time.Time, e *endpoint) {
	h, ok := s.handovers[e.id]
	delete(s.handovers, e.id)
	if !ok || now.Sub(h.at) > earlyHandoverTTL || len(e.leases) > 0 || e.inc > h.m.Incarnation {
		return
	}
	e.handedOverAt = now
	e.inc = h.m.Incarnation
	e.foreignMax = int(min(h.m.Load, math.MaxInt32))
	e.foreignMin = e.foreignMax
	if h.m.Limit > 0 {
		e.rampStartedAt = now
		e.rampBase = int(h.m.Limit)
	}
}
