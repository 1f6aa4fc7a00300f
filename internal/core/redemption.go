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

// redemption is the right of a request to run once.
type redemption struct {
	needed    bool
	message   wire.Redeem
	asked     bool
	have      bool
	unused    bool // known: nothing has run under the ticket or key
	runBefore time.Time
	response  *wire.StoredResponse // of an earlier run, to answer the caller with
	stored    *wire.StoredResponse // of this run, for repeats
}

// needsRedemption tells whether a request must not run twice over its caller's
// retries. An idempotent request may.
func needsRedemption(in *CallerRequest) bool {
	return !in.Idempotent && (in.Ticket != "" || in.Key != "")
}

// prepareRedemption reads the ticket or key of a request that must not run twice.
func (c *Core) prepareRedemption(r *request) Reason {
	d := &r.redeem
	if !d.needed {
		return ReasonNone
	}
	d.message = wire.Redeem{Workspace: r.ws.ID, Request: r.in.ID, Digest: r.in.Digest}
	if r.in.Ticket == "" {
		d.message.Key = r.in.Key
		return ReasonNone
	}
	t, err := redeem.ParseTicket(r.in.Ticket)
	if err != nil {
		d.unused = true
		return ReasonTicketInvalid
	}
	d.message.Ticket = t
	return ReasonNone
}

// seekRedemption asks for the right to run, if the request needs one. It comes before
// limits and leases: without the right, a refusal cannot say that the request did not
// run, because an earlier attempt under the same ticket or key may have run it.
func (c *Core) seekRedemption(r *request) {
	d := &r.redeem
	if !d.needed {
		c.seekLimit(r)
		return
	}
	r.phase = phaseRedeem
	r.wake = time.Time{}
	d.asked = true
	res, ended := c.redeemer.Ask(c.now, d.message, r.deadline, routes{c}, &c.out)
	if ended {
		c.onRedeemed(res)
	}
}

// onRedeemed goes on with a request whose redemption ended.
func (c *Core) onRedeemed(res redeem.Result) {
	r := c.requests[res.Request]
	if r == nil || r.phase != phaseRedeem {
		return
	}
	c.counts.redemptions.add(res.Result)
	c.note(r, "redeem", res.Result.String())
	if res.Result == wire.RedeemGranted {
		r.redeem.have = true
		r.redeem.unused = true
		r.redeem.runBefore = res.RunBefore
		c.seekLimit(r)
		return
	}
	if res.Result == wire.RedeemDone && res.Response != nil {
		r.redeem.response = res.Response
		c.finish(r, Answered, ReasonNone, 0)
		return
	}
	c.logf(event.TicketRefused, "%s %s", r.in.ID, res.Result)
	r.redeem.unused = res.NotRun()
	c.finish(r, NotRun, redeemReason(r, res), res.RetryAfter)
}

func redeemReason(r *request, res redeem.Result) Reason {
	switch res.Result {
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
		return ReasonKeyHomeYoung
	default:
		if r.redeem.message.Key != "" {
			return ReasonKeyHomeUnreachable
		}
		return ReasonIssuerGone
	}
}

// settle reports how a request that had, or asked for, the right to run ended.
func (c *Core) settle(r *request, o Outcome) {
	d := &r.redeem
	switch {
	case !d.asked:
	case !d.have:
		c.redeemer.Cancel(c.now, r.in.ID, routes{c}, &c.out)
	case o == Answered:
		c.redeemer.Settle(c.now, r.in.ID, wire.SettleAnswered, d.stored, routes{c}, &c.out)
	case o == NotRun:
		c.redeemer.Settle(c.now, r.in.ID, wire.SettleNotRun, nil, routes{c}, &c.out)
	default:
		c.redeemer.Settle(c.now, r.in.ID, wire.SettleUnknown, nil, routes{c}, &c.out)
	}
	d.asked = false
}

func (c *Core) onTicketRequest(ev TicketRequest) {
	reply := IssueTickets{ID: ev.ID}
	ws, _, ok := c.view.WorkspaceByKey(ev.KeyHash)
	switch {
	case !c.feed.Ready():
		reply.Reason = ReasonNotReady
	case !ok:
		reply.Reason = ReasonUnauthenticated
	case c.stopping:
		reply.Reason = ReasonStopping
	default:
		reply.Tickets, reply.RetryAfter = c.redeemHome.Issue(c.now, ws.ID, ev.Count)
		reply.TTL = c.opts.TicketTTL
		if len(reply.Tickets) == 0 {
			reply.Reason = ReasonOverloaded
		}
	}
	c.do(reply)
}

func (c *Core) onRedeem(from fleet.InstanceID, m wire.Redeem) {
	if reply, ok := c.redeemHome.OnRedeem(c.now, from, m, c.homeSince); ok {
		c.out.Send(from, reply)
	}
}

func (c *Core) onRedeemReply(from fleet.InstanceID, m wire.RedeemReply) {
	if res, ended := c.redeemer.OnReply(c.now, from, m, routes{c}, &c.out); ended {
		c.onRedeemed(res)
	}
}

func (c *Core) onSettle(from fleet.InstanceID, m wire.Settle) {
	if ack, ok := c.redeemHome.OnSettle(c.now, from, m); ok {
		c.out.Send(from, ack)
	}
}

func (c *Core) tickRedemptions() {
	c.redeemHome.Tick(c.now, heirs{c}, &c.out)
	for _, res := range c.redeemer.Tick(c.now, routes{c}, &c.out) {
		c.onRedeemed(res)
	}
}

func (c *Core) homeSince(slot int) (time.Time, bool) { return c.own.KeySlotOwnedSince(c.now, slot) }

// routes tells the redemption client whom to ask.
type routes struct{ c *Core }

// Candidates implements redeem.Routes.
func (x routes) Candidates(m *wire.Redeem) []fleet.InstanceID {
	if m.Key == "" {
		return redeem.TicketCandidates(x.c.view, m.Ticket, x.c.members.Usable)
	}
	home := x.c.keyHome(redeem.Slot(m.Workspace, m.Key, ownership.KeySlots))
	if home == "" {
		return nil
	}
	return []fleet.InstanceID{home}
}

// keyHome returns the router that is home to a key slot by this router's view.
func (c *Core) keyHome(slot int) fleet.InstanceID {
	dc := ownership.KeySlotDataCentre(c.view, slot)
	if dc == c.opts.DataCentre {
		return c.own.Owner(ownership.KeySlotResource(slot))
	}
	return c.own.RemoteKeySlotOwner(slot, dc, candidates{c})
}

// heirs names the peers to which a stopping router hands over.
type heirs struct{ c *Core }

// TicketSuccessor implements redeem.Heirs.
func (x heirs) TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID {
	return redeem.Successor(x.c.view, issuer, x.c.opts.DataCentre, x.usableOther, excluded)
}

// SlotSuccessor implements redeem.Heirs.
func (x heirs) SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID {
	usable := func(id fleet.InstanceID) bool { return x.usableOther(id) && !slices.Contains(excluded, id) }
	return x.c.own.RemoteKeySlotOwner(slot, x.c.opts.DataCentre, usableFunc(usable))
}

func (x heirs) usableOther(id fleet.InstanceID) bool {
	return id != x.c.opts.Self && x.c.members.Usable(id)
}

type usableFunc func(fleet.InstanceID) bool

// Usable implements ownership.Peers.
func (f usableFunc) Usable(id fleet.InstanceID) bool { return f(id) }
