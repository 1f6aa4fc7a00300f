package admission

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// arrivalTTL is how long a handover counts that comes before this router owns the endpoint.
const arrivalTTL = 500 * time.Millisecond

// wholeGrace is how long after it was wholly backed an owner can still vouch for all
// admitted work. A router that returns counts as a backer shortly before it takes duties over.
const wholeGrace = 400 * time.Millisecond

// handoverLoads is how many loads of the pool a handover carries.
const handoverLoads = 32

// arrival is a handover that came before this router owned the endpoint.
type arrival struct {
	m  wire.LeaseHandover
	at time.Time
}

// BeforeOwnershipChange notes for which endpoints this router is the only one that can have
// admitted work. It must be called right before the ownership state changes.
func (s *State) BeforeOwnershipChange(now time.Time) {
	for _, id := range s.order {
		s.noteWhole(now, s.endpoints[id])
	}
}

// noteWhole keeps when all routers last backed this one.
func (s *State) noteWhole(now time.Time, e *endpoint) {
	if s.share(now, e) >= 1 {
		e.wholeAt = now
	}
}

// handOver tells the next owner what this router admitted, if nobody else can have
// admitted anything. The next owner then need not wait for a load report.
func (s *State) handOver(now time.Time, e *endpoint, next fleet.InstanceID, out *wire.Outbox) {
	ep := s.view.Endpoint(e.id)
	if now.Sub(e.wholeAt) > wholeGrace || next == "" || ep == nil || e.doubt {
		return
	}
	m := wire.LeaseHandover{
		Endpoint:    e.id,
		Load:        uint32(len(e.leases) + e.foreign),
		Incarnation: e.inc,
		Loads:       s.pool.Newest(now, s.view.PoolOf(ep), handoverLoads),
	}
	if limit := min(s.ramp(now, ep, e), s.capacity(ep, e)); limit < ep.Capacity {
		m.Limit = uint32(limit)
	}
	out.Send(next, m)
}

// OnHandover takes in what the former owner of an endpoint admitted.
func (s *State) OnHandover(now time.Time, m wire.LeaseHandover) {
	s.pool.Merge(now, m.Loads)
	s.arrived[m.Endpoint] = arrival{m, now}
	if e := s.endpoints[m.Endpoint]; e != nil {
		s.takeOver(now, e)
		s.publish(now, e)
	}
	for id, a := range s.arrived {
		if now.Sub(a.at) > arrivalTTL {
			delete(s.arrived, id)
		}
	}
}

// takeOver applies the handover of an endpoint to which this router has admitted nothing
// yet. It knows more than a report that came before it, unless that is of a later run.
func (s *State) takeOver(now time.Time, e *endpoint) {
	a, ok := s.arrived[e.id]
	delete(s.arrived, e.id)
	if !ok || now.Sub(a.at) > arrivalTTL || len(e.leases) > 0 || e.inc > a.m.Incarnation {
		return
	}
	e.handed = now
	e.inc = a.m.Incarnation
	e.foreign = int(min(a.m.Load, math.MaxInt32))
	e.likely = e.foreign
	if a.m.Limit > 0 {
		e.coldSince = now
		e.rampBase = int(a.m.Limit)
	}
}
