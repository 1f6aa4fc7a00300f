package core

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/redeem"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// redemption tracks the execution right of a request: the right, granted by the issuer of
// its ticket or the owner of its idempotency key's slot, to run once with that ticket or
// key.
type redemption struct {
	needed        bool // the request may run only with an execution right
	message       wire.Redeem
	requested     bool // and not cancelled or settled yet
	granted       bool
	notRun        bool                 // no earlier request with the ticket or key has run
	runBefore     time.Time            // latest time to write the first byte of the request
	priorResponse *wire.StoredResponse // of an earlier request with the ticket or key, returned to the caller
	newResponse   *wire.StoredResponse // of this request, stored for repeated requests
}

// needsRedemption reports whether a request must run at most once across the retries of
// its caller. An idempotent request may run more than once.
func needsRedemption(in *CallerRequest) bool {
	return !in.Idempotent && (in.Ticket != "" || in.IdempotencyKey != "")
}

// prepareRedemption parses the ticket of a request that must run at most once and prepares the
// message that requests the execution right.
func (c *Core) prepareRedemption(r *request) Reason {
	d := &r.redeem
	if !d.needed {
		return ReasonNone
	}
	d.message = wire.Redeem{Workspace: r.workspace.ID, Request: r.in.ID, RequestHash: r.in.RequestHash}
	if r.in.Ticket == "" {
		d.message.Key = r.in.IdempotencyKey
		return ReasonNone
	}
	t, err := redeem.ParseTicket(r.in.Ticket)
	if err != nil {
		d.notRun = true
		return ReasonTicketInvalid
	}
	d.message.Ticket = t
	return ReasonNone
}

// acquireRedemption requests the execution right, if the request needs one. This precedes
// quota and lease: without the right, a refusal could not report NotRun, because an earlier
// request with the same ticket or key may have run.
func (c *Core) acquireRedemption(r *request) {
	d := &r.redeem
	if !d.needed {
		c.acquireQuota(r)
		return
	}
	r.phase = phaseRedeem
	r.wakeAt = time.Time{}
	d.requested = true
	res, ended := c.redeemClient.Redeem(c.now, d.message, r.deadline, redeemRoutes{c}, &c.outbox)
	if ended {
		c.onRedeemed(res)
	}
}

// onRedeemed continues a request whose execution right was granted or refused.
func (c *Core) onRedeemed(res redeem.Result) {
	r := c.requests[res.Request]
	if r == nil || r.phase != phaseRedeem {
		return
	}
	c.counts.redemptions.add(res.Code)
	c.addTraceStep(r, "redeem", res.Code.String())
	if res.Code == wire.RedeemGranted {
		r.redeem.granted = true
		r.redeem.notRun = true
		r.redeem.runBefore = res.RunBefore
		c.acquireQuota(r)
		return
	}
	if res.Code == wire.RedeemDone && res.Response != nil {
		r.redeem.priorResponse = res.Response
		c.finish(r, Answered, ReasonNone, 0)
		return
	}
	c.logf(event.TicketRefused, "%s %s", r.in.ID, res.Code)
	r.redeem.notRun = res.NotRun()
	c.finish(r, NotRun, redeemReason(r, res), res.RetryAfter)
}

func redeemReason(r *request, res redeem.Result) Reason {
	switch res.Code {
	case wire.RedeemDone:
		return ReasonAlreadyRun
	case wire.RedeemPending:
		return ReasonTicketPending
	case wire.RedeemMismatch:
		return ReasonTicketMismatch
	case wire.RedeemInvalid:
		return ReasonTicketInvalid
	case wire.RedeemFull:
		return ReasonOverloaded
	case wire.RedeemHistoryIncomplete:
		return ReasonKeyOwnerTooRecent
	default:
		if r.redeem.message.Key != "" {
			return ReasonKeyOwnerUnreachable
		}
		return ReasonIssuerGone
	}
}

// settleRedemption settles a granted execution right with the outcome of the request, or cancels
// a request for the right that is still pending.
func (c *Core) settleRedemption(r *request, o Outcome) {
	d := &r.redeem
	switch {
	case !d.requested:
	case !d.granted:
		c.redeemClient.Cancel(c.now, r.in.ID, redeemRoutes{c}, &c.outbox)
	case o == Answered:
		c.redeemClient.Settle(c.now, r.in.ID, wire.SettleAnswered, d.newResponse, redeemRoutes{c}, &c.outbox)
	case o == NotRun:
		c.redeemClient.Settle(c.now, r.in.ID, wire.SettleNotRun, nil, redeemRoutes{c}, &c.outbox)
	default:
		c.redeemClient.Settle(c.now, r.in.ID, wire.SettleUnknown, nil, redeemRoutes{c}, &c.outbox)
	}
	d.requested = false
}

func (c *Core) onTicketRequest(ev TicketRequest) {
	reply := TicketReply{ID: ev.ID}
	ws, _, ok := c.view.WorkspaceByKey(ev.APIKeyHash)
	switch {
	case !c.feed.Ready():
		reply.Reason = ReasonNotReady
	case !ok:
		reply.Reason = ReasonUnauthenticated
	case c.stopping:
		reply.Reason = ReasonStopping
	default:
		reply.Tickets, reply.RetryAfter = c.redeemServer.Issue(c.now, ws.ID, ev.Count)
		reply.TTL = c.opts.TicketTTL
		if len(reply.Tickets) == 0 {
			reply.Reason = ReasonOverloaded
		}
	}
	c.emit(reply)
}

func (c *Core) onRedeem(from fleet.InstanceID, m wire.Redeem) {
	if reply, ok := c.redeemServer.OnRedeem(c.now, from, m, c.keySlotOwnedSince); ok {
		c.outbox.Send(from, reply)
	}
}

func (c *Core) onRedeemReply(from fleet.InstanceID, m wire.RedeemReply) {
	if res, ended := c.redeemClient.OnReply(c.now, from, m, redeemRoutes{c}, &c.outbox); ended {
		c.onRedeemed(res)
	}
}

func (c *Core) onSettle(from fleet.InstanceID, m wire.Settle) {
	if ack, ok := c.redeemServer.OnSettle(c.now, from, m); ok {
		c.outbox.Send(from, ack)
	}
}

func (c *Core) tickRedemptions() {
	c.redeemServer.Tick(c.now, successors{c}, &c.outbox)
	for _, res := range c.redeemClient.Tick(c.now, redeemRoutes{c}, &c.outbox) {
		c.onRedeemed(res)
	}
}

func (c *Core) keySlotOwnedSince(slot int) (time.Time, bool) {
	return c.ownership.KeySlotOwnedSince(c.now, slot)
}

// redeemRoutes implements redeem.Routes with this router's view of the ownership.
type redeemRoutes struct{ c *Core }

// Candidates implements redeem.Routes.
func (x redeemRoutes) Candidates(m *wire.Redeem) []fleet.InstanceID {
	if m.Key == "" {
		return redeem.TicketCandidates(x.c.view, m.Ticket, x.c.members.Usable)
	}
	owner := x.c.keySlotOwner(redeem.KeySlot(m.Workspace, m.Key, ownership.KeySlots))
	if owner == "" {
		return nil
	}
	return []fleet.InstanceID{owner}
}

// keySlotOwner returns the router that owns a key slot in this router's view.
func (c *Core) keySlotOwner(slot int) fleet.InstanceID {
	dc := ownership.KeySlotDataCentre(c.view, slot)
	if dc == c.opts.DataCentre {
		return c.ownership.Owner(ownership.KeySlotResource(slot))
	}
	return c.ownership.KeySlotOwnerIn(slot, dc, eligibleOwners{c})
}

// successors implements redeem.Successors: it selects the peers to which a stopping router hands
// over its records.
type successors struct{ c *Core }

// TicketSuccessor implements redeem.Successors.
func (x successors) TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID {
	return redeem.TicketSuccessor(x.c.view, issuer, x.c.opts.DataCentre, x.usablePeer, excluded)
}

// SlotSuccessor implements redeem.Successors.
func (x successors) SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID {
	usable := func(id fleet.InstanceID) bool { return x.usablePeer(id) && !slices.Contains(excluded, id) }
	return x.c.ownership.KeySlotOwnerIn(slot, x.c.opts.DataCentre, eligibilityFunc(usable))
}

func (x successors) usablePeer(id fleet.InstanceID) bool {
	return id != x.c.opts.Self && x.c.members.Usable(id)
}

type eligibilityFunc func(fleet.InstanceID) bool

// Usable implements ownership.Eligibility.
func (f eligibilityFunc) Usable(id fleet.InstanceID) bool { return f(id) }
