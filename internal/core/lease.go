package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// leaseState is the lease that a request holds or has requested.
type leaseState struct {
	id          uint64 // 0: none
	owner       fleet.InstanceID
	endpoint    *fleet.Endpoint
	askedAt     time.Time // the lease's TTL counts from here
	resends     int
	granted     bool
	dispatched  bool // an attempt was sent under the lease and did not end with CauseLeaseExpired
	referred    bool // another router named this owner
	notAfter    time.Time
	incarnation fleet.Incarnation // of the endpoint, as reported by the owner
	loads       []wire.EndpointLoad
	wait        time.Duration // how long the owner may queue the request; 0: not at all
}

// acquireLease requests a lease for the next endpoint in the order of placement.Plan.Next. After
// maxOwnersAsked refusals, or if no endpoint is left, it asks for queuing instead.
func (c *Core) acquireLease(r *request) {
	r.phase = phaseLease
	for r.ownersAsked < maxOwnersAsked {
		e := r.placement.Next(r.alternatives)
		if e == nil {
			break
		}
		if slices.Contains(r.unresponsiveDCs, e.DataCentre) {
			continue
		}
		owner := c.endpointOwner(e)
		if owner == "" {
			c.addTraceStep(r, "no owner", string(e.ID))
			continue
		}
		r.ownersAsked++
		c.requestLease(r, e, owner, 0)
		return
	}
	c.requestQueuing(r)
}

// requestQueuing asks the owner of the preferred endpoint to queue the request, at most once.
func (c *Core) requestQueuing(r *request) {
	e := c.queueTarget(r)
	if e == nil || r.askedToQueue || c.opts.MaxQueueWait <= 0 {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfterFor(r))
		return
	}
	r.askedToQueue = true
	c.requestLease(r, e, c.endpointOwner(e), min(c.opts.MaxQueueWait, r.deadline.Sub(c.now)))
}

// queueTarget returns the endpoint whose queue the request should join: the first alternative that
// an owner named, otherwise the first in rank order. Endpoints that are out of service or have no
// known owner, and those of a data centre in which an owner did not reply, are excluded.
func (c *Core) queueTarget(r *request) *fleet.Endpoint {
	for _, id := range r.alternatives {
		if e := c.view.Endpoint(id); e != nil && c.canQueueAt(r, e) {
			return e
		}
	}
	for _, e := range r.placement.Candidates() {
		if x := c.view.Endpoint(e.ID); x != nil && c.canQueueAt(r, x) {
			return x
		}
	}
	return nil
}

func (c *Core) canQueueAt(r *request, e *fleet.Endpoint) bool {
	return c.view.InService(e) && !slices.Contains(r.unresponsiveDCs, e.DataCentre) && c.endpointOwner(e) != ""
}

func (c *Core) requestLease(r *request, e *fleet.Endpoint, owner fleet.InstanceID, wait time.Duration) {
	c.leaseSeq++
	loads := r.lease.loads
	r.lease = leaseState{id: c.leaseSeq, owner: owner, endpoint: e, askedAt: c.now, loads: loads, wait: wait}
	c.byLease[c.leaseSeq] = r
	c.addTraceStep(r, "ask", fmt.Sprintf("endpoint %s, owner %s, wait %s", e.ID, owner, wait))
	c.sendLeaseRequest(r)
}

func (c *Core) sendLeaseRequest(r *request) {
	l := &r.lease
	r.wakeAt = c.now.Add(c.leaseTimeout(l.endpoint))
	c.stats.LeaseRequests++
	c.outbox.Send(l.owner, wire.LeaseRequest{
		ID:         l.id,
		Endpoint:   l.endpoint.ID,
		Priority:   r.plan.Priority,
		WaitMS:     millis(l.wait),
		DeadlineMS: millis(r.deadline.Sub(c.now)),
		Loads:      l.loads,
	})
}

// leaseTimeout returns the reply timeout for an owner in the endpoint's region.
func (c *Core) leaseTimeout(e *fleet.Endpoint) time.Duration {
	if c.view.Region(e.DataCentre) == c.view.Region(c.opts.DataCentre) {
		return sameRegionLeaseTimeout
	}
	return otherRegionLeaseTimeout
}

func (c *Core) onLeaseReply(from fleet.InstanceID, m wire.LeaseReply) {
	r := c.byLease[m.ID]
	c.pool.Merge(c.now, m.Loads)
	if r == nil || r.lease.id != m.ID || r.lease.owner != from || r.lease.granted || r.phase != phaseLease {
		if m.Result == wire.LeaseGranted && (r == nil || !r.lease.granted || r.lease.id != m.ID) {
			c.returnUnusedLease(from, m.ID)
		}
		return
	}
	c.counts.leases.add(m.Result)
	switch m.Result {
	case wire.LeaseGranted:
		c.onLeaseGranted(r, m)
	case wire.LeaseQueued:
		r.wakeAt = c.now.Add(r.lease.wait + queuedReplyMargin)
	default:
		c.onLeaseRefused(r, m)
	}
}

// returnUnusedLease releases a lease that was granted after its request stopped waiting.
func (c *Core) returnUnusedLease(owner fleet.InstanceID, id uint64) {
	u := c.leaseUpdateFor(owner)
	u.Unused = append(u.Unused, id)
}

func (c *Core) onLeaseGranted(r *request, m wire.LeaseReply) {
	l := &r.lease
	l.granted = true
	l.incarnation = m.Incarnation
	l.notAfter = l.askedAt.Add(time.Duration(m.TTLMS) * time.Millisecond)
	c.addTraceStep(r, "lease", fmt.Sprintf("endpoint %s, load %d", l.endpoint.ID, m.Load))
	if !c.now.Before(l.notAfter) {
		c.releaseLease(r, false)
		c.acquireLease(r)
		return
	}
	c.dispatch(r)
}

func (c *Core) onLeaseRefused(r *request, m wire.LeaseReply) {
	l := &r.lease
	delete(c.byLease, l.id)
	if m.Result == wire.LeaseNotOwner && c.followReferral(r, m.Owner) {
		return
	}
	c.addTraceStep(r, "refused", fmt.Sprintf("endpoint %s, %s, load %d", l.endpoint.ID, m.Result, m.Load))
	c.stats.LeaseRefusals++
	if retryAfter := time.Duration(m.RetryAfterMS) * time.Millisecond; retryAfter > 0 && (r.retryAfter == 0 || retryAfter < r.retryAfter) {
		r.retryAfter = retryAfter
	}
	if len(m.Alternatives) > 0 {
		r.alternatives = m.Alternatives
	}
	l.id = 0
	l.loads = m.Loads
	if r.askedToQueue {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfterFor(r))
		return
	}
	c.acquireLease(r)
}

// followReferral requests the lease from the owner that another router named for the same
// endpoint. It follows at most one referral per endpoint.
func (c *Core) followReferral(r *request, owner fleet.InstanceID) bool {
	l := r.lease
	if owner == "" || owner == l.owner || l.referred {
		return false
	}
	c.requestLease(r, l.endpoint, owner, l.wait)
	r.lease.referred = true
	return true
}

// onLeaseTimeout resends the lease request, at most maxLeaseResends times, and then tries another
// endpoint. A request that asked for queuing is refused instead.
func (c *Core) onLeaseTimeout(r *request) {
	l := &r.lease
	if l.resends < maxLeaseResends {
		l.resends++
		c.sendLeaseRequest(r)
		return
	}
	c.members.OnTimeout(c.now, l.owner)
	c.addTraceStep(r, "silent owner", string(l.owner))
	if dc := l.endpoint.DataCentre; dc != c.opts.DataCentre {
		r.unresponsiveDCs = append(r.unresponsiveDCs, dc)
	}
	c.releaseLease(r, false)
	if r.askedToQueue {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfterFor(r))
		return
	}
	c.acquireLease(r)
}

// releaseLease releases the lease that the request holds or cancels its pending request. failed
// reports to the owner that the attempt under the lease failed.
func (c *Core) releaseLease(r *request, failed bool) {
	l := &r.lease
	if l.id == 0 {
		return
	}
	delete(c.byLease, l.id)
	u := c.leaseUpdateFor(l.owner)
	switch {
	case failed:
		u.Failed = append(u.Failed, l.id)
	case l.dispatched:
		u.Released = append(u.Released, l.id)
	default:
		u.Unused = append(u.Unused, l.id)
	}
	if current := c.endpointOwner(l.endpoint); l.granted && current != "" && current != l.owner {
		u := c.leaseUpdateFor(current)
		u.Former = append(u.Former, wire.FormerLease{ID: l.id, Endpoint: l.endpoint.ID})
	}
	l.id = 0
	l.granted = false
}
