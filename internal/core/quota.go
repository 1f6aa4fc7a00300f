package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/limits"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// acquireQuota acquires what the request needs of its workspace's quota.
func (c *Core) acquireQuota(r *request) {
	r.phase = phaseLimit
	need := limits.Need{Tokens: r.in.PromptTokens + r.in.MaxTokens, Hold: r.deadline.Sub(c.now)}
	c.onQuotaResolution(c.quotaBorrower.Acquire(c.now, r.in.ID, r.workspace.ID, r.plan.Limits, need, quotaOwners{c}, &c.outbox))
}

// onQuotaResolution continues a request whose quota was granted or refused.
func (c *Core) onQuotaResolution(res limits.Resolution) {
	r := c.requests[res.Request]
	if r == nil || r.phase != phaseLimit {
		c.releaseAbandoned(res)
		return
	}
	switch res.Decision {
	case limits.Granted:
		r.holdsQuota = true
		r.limitsGranted = true
		c.stats.QuotaGranted++
		c.acquireLease(r)
	case limits.Refused:
		c.stats.QuotaRefused++
		r.limitsRefused = true
		c.logf(event.LimitReached, "%s workspace %s", r.in.ID, r.workspace.ID)
		c.finish(r, NotRun, ReasonRateLimited, max(res.RetryAfter, minLimitRetryAfter))
	}
}

// minLimitRetryAfter is the minimum retry-after of a request that is over its workspace's limits.
const minLimitRetryAfter = 100 * time.Millisecond

// releaseQuota releases the quota that a request holds, or abandons its pending acquire.
func (c *Core) releaseQuota(r *request) {
	switch {
	case r.holdsQuota:
		r.holdsQuota = false
		c.quotaBorrower.Release(c.now, r.in.ID, r.workspace.ID)
	case r.phase == phaseLimit:
		c.abandonedAcquires[r.in.ID] = r.workspace.ID
	}
}

// releaseAbandoned releases quota that was granted after its request stopped waiting.
func (c *Core) releaseAbandoned(res limits.Resolution) {
	ws, ok := c.abandonedAcquires[res.Request]
	if !ok {
		return
	}
	delete(c.abandonedAcquires, res.Request)
	if res.Decision == limits.Granted {
		c.quotaBorrower.Release(c.now, res.Request, ws)
	}
}

func (c *Core) onBorrowReply(from fleet.InstanceID, m wire.BorrowReply) {
	c.onQuotaResolutions(c.quotaBorrower.OnReply(c.now, from, m, quotaOwners{c}, &c.outbox))
}

func (c *Core) onQuotaResolutions(rs []limits.Resolution) {
	for _, res := range rs {
		c.onQuotaResolution(res)
	}
}

func (c *Core) tickQuota() {
	c.onQuotaResolutions(c.quotaBorrower.Tick(c.now, quotaOwners{c}, &c.outbox))
	c.quotaOwner.Tick(c.now, quotaOwners{c}, &c.outbox)
	if c.now.Sub(c.lastSelfReport) >= time.Second {
		c.lastSelfReport = c.now
		c.reportOwnUsage()
	}
}

// reportOwnUsage reports to the quota owner in this router what this router itself holds.
func (c *Core) reportOwnUsage() {
	for _, res := range c.ownership.Owned() {
		if ws, ok := c.limitedWorkspaces[res.ID]; ok && res.Kind == wire.ResourceWorkspace {
			held := c.quotaBorrower.ReportSlots(c.now, ws, c.opts.Self)
			c.quotaOwner.OnSlotReport(c.now, c.opts.Self, ws, held, quotaOwners{c})
		}
	}
}

// quotaHeldFrom lists the quota that this router holds of the workspaces in a claim, for
// those that it votes for in its acknowledgement.
func (c *Core) quotaHeldFrom(from fleet.InstanceID, ack wire.ClaimAck) []wire.HeldResource {
	var out []wire.HeldResource
	for i, res := range c.ownership.ClaimedBy(from) {
		if res.Kind != wire.ResourceWorkspace || i/8 >= len(ack.Granted) || ack.Granted[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		ws, ok := c.limitedWorkspaces[res.ID]
		if !ok {
			continue
		}
		if leases := c.quotaBorrower.ReportSlots(c.now, ws, from); len(leases) > 0 {
			out = append(out, wire.HeldResource{Resource: res, Leases: leases})
		}
	}
	return out
}

// onClaimAcked records the quota that a peer holds of the workspaces whose ownership by
// this router it voted for.
func (c *Core) onClaimAcked(from fleet.InstanceID, votedFor []wire.Resource, held []wire.HeldResource) {
	for _, res := range votedFor {
		ws, ok := c.limitedWorkspaces[res.ID]
		if !ok || res.Kind != wire.ResourceWorkspace {
			continue
		}
		var leases []wire.HeldLease
		for _, h := range held {
			if h.Resource == res {
				leases = h.Leases
			}
		}
		c.quotaOwner.OnSlotReport(c.now, from, ws, leases, quotaOwners{c})
	}
}

// indexLimitedWorkspaces indexes the workspaces whose plans have limits by resource ID.
func (c *Core) indexLimitedWorkspaces() {
	clear(c.limitedWorkspaces)
	for id, w := range c.view.Config.Workspaces {
		if c.view.Config.Plans[w.Plan].Limits != (fleet.Limits{}) {
			c.limitedWorkspaces[ownership.WorkspaceResource(id).ID] = id
		}
	}
}

// quotaOwners tells package limits which routers own the workspaces.
type quotaOwners struct{ c *Core }

// Owner implements limits.Owners.
func (o quotaOwners) Owner(ws fleet.WorkspaceID) fleet.InstanceID {
	return o.c.ownership.Owner(ownership.WorkspaceResource(ws))
}

// RemoteOwner implements limits.Owners.
func (o quotaOwners) RemoteOwner(ws fleet.WorkspaceID, dc fleet.DataCentreID) fleet.InstanceID {
	return o.c.ownership.ResourceOwnerIn(ownership.WorkspaceResource(ws), dc, eligibleOwners(o))
}

// VoteShareSince implements limits.Owners.
func (o quotaOwners) VoteShareSince(ws fleet.WorkspaceID, from time.Time) float64 {
	return o.c.ownership.VoteShareSince(o.c.now, ownership.WorkspaceResource(ws), from)
}
