package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// holding is the lease that a request asks for or holds.
type holding struct {
	id       uint64 // 0: none
	owner    fleet.InstanceID
	endpoint *fleet.Endpoint
	asked    time.Time
	resends  int
	granted  bool
	used     bool // an attempt was made under it
	named    bool // the owner was named by another router
	notAfter time.Time
	inc      fleet.Incarnation // of the endpoint as the owner knows it
	loads    []wire.EndpointLoad
	wait     time.Duration // for which the owner may queue
}

// seekLease asks the owner of the next endpoint for a lease.
func (c *Core) seekLease(r *request) {
	r.phase = phaseLease
	for r.asks < maxAsks {
		e := r.place.Next(r.room)
		if e == nil {
			break
		}
		if slices.Contains(r.silent, e.DataCentre) {
			continue
		}
		owner := c.endpointOwner(e)
		if owner == "" {
			c.note(r, "no owner", string(e.ID))
			continue
		}
		r.asks++
		c.askLease(r, e, owner, 0)
		return
	}
	c.askToWait(r)
}

// askToWait asks the owner of the preferred endpoint to queue the request, once.
func (c *Core) askToWait(r *request) {
	e := c.bestToWait(r)
	if e == nil || r.waits || c.opts.MaxQueueWait <= 0 {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfter(r))
		return
	}
	r.waits = true
	c.askLease(r, e, c.endpointOwner(e), min(c.opts.MaxQueueWait, r.deadline.Sub(c.now)))
}

// bestToWait prefers an endpoint that an owner named as the least loaded, then the
// rank. An endpoint whose owner is not known or did not reply cannot be waited for.
func (c *Core) bestToWait(r *request) *fleet.Endpoint {
	for _, id := range r.room {
		if e := c.view.Endpoint(id); e != nil && c.mayWait(r, e) {
			return e
		}
	}
	for _, e := range r.place.Candidates() {
		if x := c.view.Endpoint(e.ID); x != nil && c.mayWait(r, x) {
			return x
		}
	}
	return nil
}

func (c *Core) mayWait(r *request, e *fleet.Endpoint) bool {
	return c.view.InService(e) && !slices.Contains(r.silent, e.DataCentre) && c.endpointOwner(e) != ""
}

func (c *Core) askLease(r *request, e *fleet.Endpoint, owner fleet.InstanceID, wait time.Duration) {
	c.leaseSeq++
	loads := r.lease.loads
	r.lease = holding{id: c.leaseSeq, owner: owner, endpoint: e, asked: c.now, loads: loads, wait: wait}
	c.byLease[c.leaseSeq] = r
	c.note(r, "ask", fmt.Sprintf("endpoint %s, owner %s, wait %s", e.ID, owner, wait))
	c.sendAsk(r)
}

func (c *Core) sendAsk(r *request) {
	l := &r.lease
	r.wake = c.now.Add(c.leaseTimeout(l.endpoint))
	c.stats.LeaseRequests++
	c.out.Send(l.owner, wire.LeaseRequest{
		ID:         l.id,
		Endpoint:   l.endpoint.ID,
		Priority:   r.plan.Priority,
		WaitMS:     millis(l.wait),
		DeadlineMS: millis(r.deadline.Sub(c.now)),
		Loads:      l.loads,
	})
}

// leaseTimeout returns how long an owner of the endpoint's region may take to reply.
func (c *Core) leaseTimeout(e *fleet.Endpoint) time.Duration {
	if c.view.Region(e.DataCentre) == c.view.Region(c.opts.DataCentre) {
		return nearTimeout
	}
	return farTimeout
}

func (c *Core) onLeaseReply(from fleet.InstanceID, m wire.LeaseReply) {
	r := c.byLease[m.ID]
	c.pool.Merge(c.now, m.Loads)
	if r == nil || r.lease.id != m.ID || r.lease.owner != from || r.lease.granted || r.phase != phaseLease {
		if m.Result == wire.LeaseGranted && (r == nil || !r.lease.granted || r.lease.id != m.ID) {
			c.giveBack(from, m.ID)
		}
		return
	}
	c.counts.leases.add(m.Result)
	switch m.Result {
	case wire.LeaseGranted:
		c.onGranted(r, m)
	case wire.LeaseQueued:
		r.wake = c.now.Add(r.lease.wait + queuedExtension)
	default:
		c.onRefusedLease(r, m)
	}
}

// giveBack releases a lease that arrived when nobody waited for it any more.
func (c *Core) giveBack(owner fleet.InstanceID, id uint64) {
	u := c.updateFor(owner)
	u.Unused = append(u.Unused, id)
}

func (c *Core) onGranted(r *request, m wire.LeaseReply) {
	l := &r.lease
	l.granted = true
	l.inc = m.Incarnation
	l.notAfter = l.asked.Add(time.Duration(m.TTLMS) * time.Millisecond)
	c.note(r, "lease", fmt.Sprintf("endpoint %s, load %d", l.endpoint.ID, m.Load))
	if !c.now.Before(l.notAfter) {
		c.endLease(r, false)
		c.seekLease(r)
		return
	}
	c.dispatch(r)
}

func (c *Core) onRefusedLease(r *request, m wire.LeaseReply) {
	l := &r.lease
	delete(c.byLease, l.id)
	if m.Result == wire.LeaseNotOwner && c.askNamedOwner(r, m.Owner) {
		return
	}
	c.note(r, "refused", fmt.Sprintf("endpoint %s, %s, load %d", l.endpoint.ID, m.Result, m.Load))
	c.stats.LeaseRefusals++
	if after := time.Duration(m.RetryAfterMS) * time.Millisecond; after > 0 && (r.retry == 0 || after < r.retry) {
		r.retry = after
	}
	if len(m.Alternatives) > 0 {
		r.room = m.Alternatives
	}
	l.id = 0
	l.loads = m.Loads
	if r.waits {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfter(r))
		return
	}
	c.seekLease(r)
}

// askNamedOwner asks the owner that another router named for the same endpoint, once
// for each endpoint.
func (c *Core) askNamedOwner(r *request, owner fleet.InstanceID) bool {
	l := r.lease
	if owner == "" || owner == l.owner || l.named {
		return false
	}
	c.askLease(r, l.endpoint, owner, l.wait)
	r.lease.named = true
	return true
}

// onLeaseTimeout asks a silent owner again, then goes on to another endpoint.
func (c *Core) onLeaseTimeout(r *request) {
	l := &r.lease
	if l.resends < leaseResends {
		l.resends++
		c.sendAsk(r)
		return
	}
	c.members.OnTimeout(c.now, l.owner)
	c.note(r, "silent owner", string(l.owner))
	if dc := l.endpoint.DataCentre; dc != c.opts.DataCentre {
		r.silent = append(r.silent, dc)
	}
	c.endLease(r, false)
	if r.waits {
		c.finish(r, NotRun, ReasonOverloaded, c.retryAfter(r))
		return
	}
	c.seekLease(r)
}

// endLease releases what the request asked for or holds.
func (c *Core) endLease(r *request, failed bool) {
	l := &r.lease
	if l.id == 0 {
		return
	}
	delete(c.byLease, l.id)
	u := c.updateFor(l.owner)
	switch {
	case failed:
		u.Failed = append(u.Failed, l.id)
	case l.used:
		u.Released = append(u.Released, l.id)
	default:
		u.Unused = append(u.Unused, l.id)
	}
	if now := c.endpointOwner(l.endpoint); l.granted && now != "" && now != l.owner {
		u := c.updateFor(now)
		u.Former = append(u.Former, wire.FormerLease{ID: l.id, Endpoint: l.endpoint.ID})
	}
	l.id = 0
	l.granted = false
}
