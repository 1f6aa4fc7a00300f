package admission

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OnRequest grants, queues or refuses a lease request. It is idempotent. A request that arrives after
// its release is ignored.
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
		out.Send(from, s.grantReply(e, key, 0))
		return
	}
	if e.isQueued(key) {
		out.Send(from, wire.LeaseReply{ID: r.ID, Result: wire.LeaseQueued})
		return
	}
	s.dropEarlierIncarnations(now, e, from, inc)
	if reason, ok := s.checkAvailable(now, e); !ok {
		s.refuse(now, e, key, reason, out)
		return
	}
	if len(e.queue) == 0 && s.admissible(now, e) {
		s.grant(now, e, key, r.DeadlineMS)
		out.Send(from, s.grantReply(e, key, 0))
		return
	}
	s.pool.GossipSoon()
	if r.WaitMS > 0 {
		s.enqueue(now, e, key, r, out)
		return
	}
	s.refuse(now, e, key, s.refusalReason(now, e), out)
}

// ownerOf returns the owner of an endpoint of this data centre, "" if unknown.
func (s *State) ownerOf(id fleet.EndpointID) fleet.InstanceID {
	return s.owners.Owner(ownership.EndpointResource(id))
}

// checkAvailable returns false and a reason if an endpoint must not admit any request, regardless of
// the limit.
func (s *State) checkAvailable(now time.Time, e *endpoint) (wire.LeaseResult, bool) {
	ep := s.view.Endpoint(e.id)
	if ep == nil || !s.view.InService(ep) || e.failedPolls >= maxFailedPolls {
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

// refusalReason returns which limit prevents admission at an available endpoint.
func (s *State) refusalReason(now time.Time, e *endpoint) wire.LeaseResult {
	ep := s.view.Endpoint(e.id)
	if s.coldStartLimit(now, ep, e) <= len(e.leases)+e.foreignMax {
		return wire.LeaseAtColdStartLimit
	}
	if limit, usable := s.limit(now, e); usable < limit && len(e.leases) >= usable {
		return wire.LeaseNoQuorum
	}
	return wire.LeaseAtLimit
}

func (s *State) grant(now time.Time, e *endpoint, key leaseKey, deadlineMS uint32) {
	hold := time.Duration(deadlineMS) * time.Millisecond
	e.leases[key] = lease{granted: now, expires: now.Add(hold + leaseStartTimeout)}
	e.history.add(now, len(e.leases))
	e.breaker.admitted(now)
	s.stats.Granted++
	s.publish(now, e)
}

func (s *State) grantReply(e *endpoint, key leaseKey, waited time.Duration) wire.LeaseReply {
	return wire.LeaseReply{
		ID:          key.id,
		Result:      wire.LeaseGranted,
		TTLMS:       uint32((leaseStartTimeout + waited) / time.Millisecond),
		Load:        uint32(len(e.leases) + e.foreignMax),
		Incarnation: e.inc,
	}
}

func (s *State) refuse(now time.Time, e *endpoint, key leaseKey, reason wire.LeaseResult, out *wire.Outbox) {
	s.stats.Refused++
	reply := wire.LeaseReply{
		ID:           key.id,
		Result:       reason,
		Load:         uint32(len(e.leases) + e.foreignMax),
		RetryAfterMS: uint32(s.retryAfter(e) / time.Millisecond),
	}
	if ep := s.view.Endpoint(e.id); ep != nil {
		p := s.view.PoolOf(ep)
		reply.Alternatives = s.pool.Suggest(now, p, e.id, maxSuggestions)
		reply.Loads = s.pool.Newest(now, p, maxRefusalLoads)
	}
	out.Send(key.holder, reply)
}

// retryAfter estimates how long the endpoint takes to serve its queue and one more request.
func (s *State) retryAfter(e *endpoint) time.Duration {
	interval := e.releaseInterval.interval()
	wait := time.Duration(len(e.queue)+1) * interval
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// OnUpdate releases leases and processes the endpoint incarnations seen in responses.
func (s *State) OnUpdate(now time.Time, from fleet.InstanceID, inc fleet.Incarnation, u wire.LeaseUpdate, out *wire.Outbox) {
	for _, id := range u.Released {
		s.release(now, leaseKey{from, inc, id}, attemptSucceeded, out)
	}
	for _, id := range u.Failed {
		s.release(now, leaseKey{from, inc, id}, attemptFailed, out)
	}
	for _, id := range u.Unused {
		s.release(now, leaseKey{from, inc, id}, leaseUnused, out)
	}
	for _, f := range u.Former {
		if e := s.endpoints[f.Endpoint]; e != nil {
			s.endFormerLease(now, e, leaseKey{from, inc, f.ID}, out)
		}
	}
	for _, v := range u.Observed {
		if e := s.endpoints[v.Endpoint]; e != nil {
			s.observeIncarnation(now, e, v.Incarnation)
		}
	}
}

// outcome is the result of the attempt under a lease.
type outcome uint8

const (
	attemptSucceeded outcome = iota + 1
	attemptFailed
	leaseUnused // no attempt was made
)

// recordOutcome updates the circuit breaker and restartSuspected.
func (e *endpoint) recordOutcome(now time.Time, result outcome) {
	switch result {
	case attemptSucceeded:
		e.breaker.succeeded()
	case attemptFailed:
		e.restartSuspected = true
		e.breaker.failed(now)
	case leaseUnused:
		e.breaker.cancelProbe()
	}
}

// release ends a lease or a queued request, and records its key so that a delayed request with it is
// ignored.
func (s *State) release(now time.Time, key leaseKey, result outcome, out *wire.Outbox) {
	s.released.add(key)
	for _, id := range s.order {
		e := s.endpoints[id]
		e.dequeue(key)
		l, ok := e.leases[key]
		if !ok {
			continue
		}
		if now.Sub(l.granted) >= minLostLeaseAge {
			e.agedEnded.add(now, key)
		}
		delete(e.leases, key)
		e.history.add(now, len(e.leases))
		e.releaseInterval.add(now)
		e.recordOutcome(now, result)
		s.admitQueued(now, e, out)
		s.publish(now, e)
		return
	}
}

// endFormerLease lowers the foreign load at the end of a lease of an earlier owner, once per lease.
func (s *State) endFormerLease(now time.Time, e *endpoint, key leaseKey, out *wire.Outbox) {
	if e.foreignMax == 0 || !e.formerEnded.add(now, key) {
		return
	}
	e.foreignMax--
	e.foreignMin = max(0, e.foreignMin-1)
	s.admitQueued(now, e, out)
	s.publish(now, e)
}

// dropEarlierIncarnations drops the leases of earlier incarnations of a holder. Their requests may
// still run at the endpoint, so they are added to the foreign load until later reports correct it.
func (s *State) dropEarlierIncarnations(now time.Time, e *endpoint, from fleet.InstanceID, inc fleet.Incarnation) {
	dropped := 0
	for k := range e.leases {
		if k.holder == from && k.inc < inc {
			delete(e.leases, k)
			dropped++
		}
	}
	if dropped > 0 {
		e.foreignMax += dropped
		e.foreignMin += dropped
		e.foreignAddedAt = now
		e.history.add(now, len(e.leases))
	}
}

// Tick expires leases and queued requests, and admits queued requests that have become admissible.
func (s *State) Tick(now time.Time, out *wire.Outbox) {
	for _, id := range s.order {
		e := s.endpoints[id]
		e.breaker.tick(now)
		s.recordFullShare(now, e)
		s.expire(now, e)
		s.expireQueue(now, e, out)
		s.admitQueued(now, e, out)
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
