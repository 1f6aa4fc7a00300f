package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/limits"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// seekLimit asks for the request's part of its workspace's limits.
func (c *Core) seekLimit(r *request) {
	r.phase = phaseLimit
	need := limits.Need{Tokens: r.in.PromptTokens + r.in.MaxTokens, Hold: r.deadline.Sub(c.now)}
	c.onResolution(c.borrower.Acquire(c.now, r.in.ID, r.ws.ID, r.plan.Limits, need, owners{c}, &c.out))
}

// onResolution goes on with a request whose limits were decided.
func (c *Core) onResolution(res limits.Resolution) {
	r := c.requests[res.Request]
	if r == nil || r.phase != phaseLimit {
		c.endStray(res)
		return
	}
	switch res.Decision {
	case limits.Granted:
		r.lent = true
		r.passedLimits = true
		c.stats.LimitsGranted++
		c.seekLease(r)
	case limits.Refused:
		c.stats.LimitsRefused++
		r.limited = true
		c.logf(event.LimitReached, "%s workspace %s", r.in.ID, r.ws.ID)
		c.finish(r, NotRun, ReasonRateLimited, max(res.RetryAfter, minLimitRetry))
	}
}

// minLimitRetry is the shortest time after which a caller over its limit is asked to come back.
const minLimitRetry = 100 * time.Millisecond

// endLoan gives back what the request holds of its workspace's limits, or stops waiting for it.
func (c *Core) endLoan(r *request) {
	switch {
	case r.lent:
		r.lent = false
		c.borrower.Release(c.now, r.in.ID, r.ws.ID)
	case r.phase == phaseLimit:
		c.strays[r.in.ID] = r.ws.ID
	}
}

// endStray gives back what was granted to a request that no longer waits for it.
func (c *Core) endStray(res limits.Resolution) {
	ws, ok := c.strays[res.Request]
	if !ok {
		return
	}
	delete(c.strays, res.Request)
	if res.Decision == limits.Granted {
		c.borrower.Release(c.now, res.Request, ws)
	}
}

func (c *Core) onBorrowReply(from fleet.InstanceID, m wire.BorrowReply) {
	c.resolve(c.borrower.OnReply(c.now, from, m, owners{c}, &c.out))
}

func (c *Core) resolve(rs []limits.Resolution) {
	for _, res := range rs {
		c.onResolution(res)
	}
}

func (c *Core) tickLimits() {
	c.resolve(c.borrower.Tick(c.now, owners{c}, &c.out))
	c.lender.Tick(c.now, owners{c}, &c.out)
	if c.now.Sub(c.selfHeld) >= time.Second {
		c.selfHeld = c.now
		c.reportOwnHolding()
	}
}

// reportOwnHolding tells this router, as owner of workspaces, what it holds itself.
func (c *Core) reportOwnHolding() {
	for _, res := range c.own.Owned() {
		if ws, ok := c.limited[res.ID]; ok && res.Kind == wire.ResourceWorkspace {
			held := c.borrower.HeldSlots(c.now, ws, c.opts.Self)
			c.lender.OnHeldSlots(c.now, c.opts.Self, ws, held, owners{c})
		}
	}
}

// heldFor lists what this router uses of the workspaces of a claim that it backs.
func (c *Core) heldFor(from fleet.InstanceID, ack wire.ClaimAck) []wire.HeldResource {
	var out []wire.HeldResource
	for i, res := range c.own.ClaimedBy(from) {
		if res.Kind != wire.ResourceWorkspace || i/8 >= len(ack.Granted) || ack.Granted[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		ws, ok := c.limited[res.ID]
		if !ok {
			continue
		}
		if leases := c.borrower.HeldSlots(c.now, ws, from); len(leases) > 0 {
			out = append(out, wire.HeldResource{Resource: res, Leases: leases})
		}
	}
	return out
}

// onBacked takes in what a backer of this router holds of the workspaces that it backs.
func (c *Core) onBacked(from fleet.InstanceID, backed []wire.Resource, held []wire.HeldResource) {
	for _, res := range backed {
		ws, ok := c.limited[res.ID]
		if !ok || res.Kind != wire.ResourceWorkspace {
			continue
		}
		var leases []wire.HeldLease
		for _, h := range held {
			if h.Resource == res {
				leases = h.Leases
			}
		}
		c.lender.OnHeldSlots(c.now, from, ws, leases, owners{c})
	}
}

// indexLimited keeps the workspaces whose plans limit them, by the ID of their resource.
func (c *Core) indexLimited() {
	clear(c.limited)
	for id, w := range c.view.Config.Workspaces {
		if c.view.Config.Plans[w.Plan].Limits != (fleet.Limits{}) {
			c.limited[ownership.WorkspaceResource(id).ID] = id
		}
	}
}

// owners tells package limits who owns workspaces.
type owners struct{ c *Core }

// Owner implements limits.Owners.
func (o owners) Owner(ws fleet.WorkspaceID) fleet.InstanceID {
	return o.c.own.Owner(ownership.WorkspaceResource(ws))
}

// RemoteOwner implements limits.Owners.
func (o owners) RemoteOwner(ws fleet.WorkspaceID, dc fleet.DataCentreID) fleet.InstanceID {
	return o.c.own.RemoteResourceOwner(ownership.WorkspaceResource(ws), dc, candidates(o))
}

// VoteShareSince implements limits.Owners.
func (o owners) VoteShareSince(ws fleet.WorkspaceID, from time.Time) float64 {
	return o.c.own.VoteShareSince(o.c.now, ownership.WorkspaceResource(ws), from)
}
