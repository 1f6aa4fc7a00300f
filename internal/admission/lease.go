package admission

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OnRequest decides a lease request. One that was delayed past its release is ignored.
func (s *State) OnRequest(now time.Time, from fleet.InstanceID, inc fleet.Incarnation, r wire.LeaseRequest, out *wire.Outbox) {
	s.pool.Merge(now, r.Loads)
	key := leaseKey{from, inc, r.ID}
	if s.released.known[key] {
		return
	}
	e := s.endpoints[r.Endpoint]
	if e == nil {
		out.Send(from, wire.LeaseReply{ID: r.ID, Result: wire.LeaseNotOwner, Owner: s.ownerOf(r.Endpoint)})
		return
	}
	if _, ok := e.leases[key]; ok {
		out.Send(from, s.granted(e, key, 0))
		return
	}
	if e.waits(key) {
		out.Send(from, wire.LeaseReply{ID: r.ID, Result: wire.LeaseQueued})
		return
	}
	s.forgetOldRuns(now, e, from, inc)
	if res, ok := s.closed(now, e); !ok {
		s.refuse(now, e, key, res, out)
		return
	}
	if len(e.queue) == 0 && s.admissible(now, e) {
		s.grant(now, e, key, r.DeadlineMS)
		out.Send(from, s.granted(e, key, 0))
		return
	}
	s.pool.GossipSoon()
	if r.WaitMS > 0 {
		s.enqueue(now, e, key, r, out)
		return
	}
	s.refuse(now, e, key, s.why(now, e), out)
}

// ownerOf returns the owner of an endpoint of this data centre, "" when not known.
func (s *State) ownerOf(id fleet.EndpointID) fleet.InstanceID {
	return s.own.Owner(ownership.EndpointResource(id))
}

// closed tells why an endpoint takes no new work at all.
func (s *State) closed(now time.Time, e *endpoint) (wire.LeaseResult, bool) {
	ep := s.view.Endpoint(e.id)
	if ep == nil || !s.view.InService(ep) || e.misses >= silentPolls {
		return wire.LeaseOutOfService, false
	}
	if !e.breaker.allows(now) {
		return wire.LeaseFailing, false
	}
	if len(e.leases) >= maxLeases {
		return wire.LeaseAtLimit, false
	}
	return 0, true
}

// why names the bound that keeps the endpoint from admitting.
func (s *State) why(now time.Time, e *endpoint) wire.LeaseResult {
	ep := s.view.Endpoint(e.id)
	if s.ramp(now, ep, e) <= len(e.leases)+e.foreign {
		return wire.LeaseCold
	}
	if limit, share := s.limit(now, e); share < limit && len(e.leases) >= share {
		return wire.LeaseNoQuorum
	}
	return wire.LeaseAtLimit
}

func (s *State) grant(now time.Time, e *endpoint, key leaseKey, deadlineMS uint32) {
	hold := time.Duration(deadlineMS) * time.Millisecond
	e.leases[key] = lease{granted: now, expires: now.Add(hold + startTTL)}
	e.history.add(now, len(e.leases))
	e.breaker.admitted(now)
	s.stats.Granted++
	s.publish(now, e)
}

func (s *State) granted(e *endpoint, key leaseKey, waited time.Duration) wire.LeaseReply {
	return wire.LeaseReply{
		ID:          key.id,
		Result:      wire.LeaseGranted,
		TTLMS:       uint32((startTTL + waited) / time.Millisecond),
		Load:        uint32(len(e.leases) + e.foreign),
		Incarnation: e.inc,
	}
}

func (s *State) refuse(now time.Time, e *endpoint, key leaseKey, why wire.LeaseResult, out *wire.Outbox) {
	s.stats.Refused++
	reply := wire.LeaseReply{
		ID:           key.id,
		Result:       why,
		Load:         uint32(len(e.leases) + e.foreign),
		RetryAfterMS: uint32(s.retryAfter(e) / time.Millisecond),
	}
	if ep := s.view.Endpoint(e.id); ep != nil {
		p := s.view.PoolOf(ep)
		reply.Alternatives = s.pool.Suggest(now, p, e.id, suggestions)
		reply.Loads = s.pool.Newest(now, p, refusalLoads)
	}
	out.Send(key.holder, reply)
}

// retryAfter estimates when the endpoint will have served its queue.
func (s *State) retryAfter(e *endpoint) time.Duration {
	per := e.rate.interval()
	wait := time.Duration(len(e.queue)+1) * per
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// OnUpdate releases leases and learns which incarnations answered.
func (s *State) OnUpdate(now time.Time, from fleet.InstanceID, inc fleet.Incarnation, u wire.LeaseUpdate, out *wire.Outbox) {
	for _, id := range u.Released {
		s.release(now, leaseKey{from, inc, id}, endedWell, out)
	}
	for _, id := range u.Failed {
		s.release(now, leaseKey{from, inc, id}, endedBadly, out)
	}
	for _, id := range u.Unused {
		s.release(now, leaseKey{from, inc, id}, endedUnused, out)
	}
	for _, f := range u.Former {
		if e := s.endpoints[f.Endpoint]; e != nil {
			s.endFormer(now, e, leaseKey{from, inc, f.ID}, out)
		}
	}
	for _, v := range u.Observed {
		if e := s.endpoints[v.Endpoint]; e != nil {
			s.observe(now, e, v.Incarnation)
		}
	}
}

// verdict is how the attempt under a lease ended.
type verdict uint8

const (
	endedWell verdict = iota + 1
	endedBadly
	endedUnused // no attempt was made
)

// note draws conclusions about the endpoint from the end of an attempt.
func (e *endpoint) note(now time.Time, how verdict) {
	switch how {
	case endedWell:
		e.breaker.succeeded()
	case endedBadly:
		e.doubt = true
		e.breaker.failed(now)
	case endedUnused:
		e.breaker.unused()
	}
}

func (s *State) release(now time.Time, key leaseKey, how verdict, out *wire.Outbox) {
	s.released.add(key)
	for _, id := range s.order {
		e := s.endpoints[id]
		e.unqueue(key)
		l, ok := e.leases[key]
		if !ok {
			continue
		}
		if now.Sub(l.granted) >= lostAge {
			e.aged.add(now, key)
		}
		delete(e.leases, key)
		e.history.add(now, len(e.leases))
		e.rate.add(now)
		e.note(now, how)
		s.pump(now, e, out)
		s.publish(now, e)
		return
	}
}

// endFormer takes in that a lease ended that an earlier owner granted.
func (s *State) endFormer(now time.Time, e *endpoint, key leaseKey, out *wire.Outbox) {
	if e.foreign == 0 || !e.former.add(now, key) {
		return
	}
	e.foreign--
	e.likely = max(0, e.likely-1)
	s.pump(now, e, out)
	s.publish(now, e)
}

// forgetOldRuns drops the leases of earlier runs of a holder. What they still run at
// the endpoint counts as foreign load until the next report.
func (s *State) forgetOldRuns(now time.Time, e *endpoint, from fleet.InstanceID, inc fleet.Incarnation) {
	dropped := 0
	for k := range e.leases {
		if k.holder == from && k.inc < inc {
			delete(e.leases, k)
			dropped++
		}
	}
	if dropped > 0 {
		e.foreign += dropped
		e.likely += dropped
		e.orphaned = now
		e.history.add(now, len(e.leases))
	}
}

// Tick expires leases and waiting requests and admits those that now fit.
func (s *State) Tick(now time.Time, out *wire.Outbox) {
	for _, id := range s.order {
		e := s.endpoints[id]
		e.breaker.tick(now)
		s.noteWhole(now, e)
		s.expire(now, e)
		s.expireQueue(now, e, out)
		s.pump(now, e, out)
		s.publish(now, e)
	}
}

func (s *State) expire(now time.Time, e *endpoint) {
	for k, l := range e.leases {
		if !l.expires.After(now) {
			delete(e.leases, k)
			e.history.add(now, len(e.leases))
			s.stats.Expired++
		}
	}
}
