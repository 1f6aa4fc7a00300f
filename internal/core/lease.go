package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// leaseState is the lease that a request asks for or holds.
type leaseState struct {
	id          uint64 // 0: none
	owner       fleet.InstanceID
	endpoint    *fleet.Endpoint
	askedAt     time.Time
	resends     int
	granted     bool
	used        bool // an attempt was made under it
	referred    bool // the owner was named by another router
	notAfter    time.Time
	incarnation fleet.Incarnation // of the endpoint as the owner knows it
	loads       []wire.EndpointLoad
	maxWait     time.Duration // for which the owner may queue
}

// acquireLease asks the owner of the next endpoint for a lease.
func (c *Core) acquireLease(r *request) {
	r.phase = phaseLease
	for r.ownersAsked < maxOwnersAsked {
		e := r.placement.Next(r.suggested)
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

// requestQueuing asks the owner of the preferred endpoint to queue the request, once.
func (c *Core) requestQueuing(r *request) {
	e := c.queueTarget(r)
	if e == nil || r.askedToQueue || c.opts.MaxQueueWait <= 0 {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfterFor(r))
		return
	}
	r.askedToQueue = true
	c.requestLease(r, e, c.endpointOwner(e), min(c.opts.MaxQueueWait, r.deadline.Sub(c.now)))
}

// queueTarget prefers an endpoint that an owner named as the least loaded, then the
// rank. An endpoint whose owner is not known or did not reply cannot be waited for.
func (c *Core) queueTarget(r *request) *fleet.Endpoint {
	for _, id := range r.suggested {
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
	r.lease = leaseState{id: c.leaseSeq, owner: owner, endpoint: e, askedAt: c.now, loads: loads, maxWait: wait}
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
		WaitMS:     millis(l.maxWait),
		DeadlineMS: millis(r.deadline.Sub(c.now)),
		Loads:      l.loads,
	})
}

// leaseTimeout returns how long an owner of the endpoint's region may take to reply.
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
		r.wakeAt = c.now.Add(r.lease.maxWait + queuedReplyMargin)
	default:
		c.onLeaseRefused(r, m)
	}
}

// returnUnusedLease releases a lease that arrived when nobody waited for it any more.
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
	if after := time.Duration(m.RetryAfterMS) * time.Millisecond; after > 0 && (r.retryAfter == 0 || after < r.retryAfter) {
		r.retryAfter = after
	}
	if len(m.Suggest) > 0 {
		r.suggested = m.Suggest
	}
	l.id = 0
	l.loads = m.Loads
	if r.askedToQueue {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfterFor(r))
		return
	}
	c.acquireLease(r)
}

// followReferral asks the owner that another router named for the same endpoint, once
// for each endpoint.
func (c *Core) followReferral(r *request, owner fleet.InstanceID) bool {
	l := r.lease
	if owner == "" || owner == l.owner || l.referred {
		return false
	}
	c.requestLease(r, l.endpoint, owner, l.maxWait)
	r.lease.referred = true
	return true
}

// onLeaseTimeout asks a silent owner again, then goes on to another endpoint.
func (c *Core) onLeaseTimeout(r *request) {
	l := &r.lease
	if l.resends < maxLeaseResends {
		l.resends++
		c.sendLeaseRequest(r)
		return
	}
	c.members.Missed(c.now, l.owner)
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

// releaseLease releases what the request asked for or holds.
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
	case l.used:
		u.Released = append(u.Released, l.id)
	default:
		u.Unused = append(u.Unused, l.id)
	}
	if now := c.endpointOwner(l.endpoint); l.granted && now != "" && now != l.owner {
		u := c.leaseUpdateFor(now)
		u.Former = append(u.Former, wire.FormerLease{ID: l.id, Endpoint: l.endpoint.ID})
	}
	l.id = 0
	l.granted = false
}
