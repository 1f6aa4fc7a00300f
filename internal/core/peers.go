package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

func (c *Core) onPeerMessage(ev PeerMessage) {
	h := ev.Frame.Header
	if ev.From == c.opts.Self || h.Incarnation < c.members.Incarnation(ev.From) {
		return
	}
	c.stats.PeerMessages++
	c.trackStarting(ev.From, h.Incarnation, ev.Frame.Message)
	if c.isNewIncarnation(ev.From, h.Incarnation) {
		c.redeemServer.MarkHolderGone(ev.From) // before the new incarnation can be granted an execution right
	}
	c.members.OnMessage(c.now, ev.From, h.Incarnation)
	c.feed.OnHeader(c.now, ev.From, h, &c.outbox)
	if c.ownershipStale {
		c.applyChanges() // so that a claim is checked against the sender's view of the owners
	}
	c.handleMessage(ev.From, h.Incarnation, ev.Frame.Message)
}

// handleMessage passes a message to the component that handles its kind.
func (c *Core) handleMessage(from fleet.InstanceID, inc fleet.Incarnation, m wire.Message) {
	switch m := m.(type) {
	case wire.Claim:
		c.onClaim(from, inc, m)
	case wire.ClaimAck:
		if m.Leaving {
			c.members.OnLeaving(c.now, from)
		}
		c.onClaimAcked(from, c.ownership.OnAck(c.now, from, inc, m), m.Held)
	case wire.LeaseRequest:
		c.admission.OnRequest(c.now, from, inc, m, &c.outbox)
	case wire.LeaseReply:
		c.onLeaseReply(from, m)
	case wire.LeaseHandover:
		c.admission.OnHandover(c.now, m)
	case wire.LeaseUpdate:
		c.admission.OnUpdate(c.now, from, inc, m, &c.outbox)
	case wire.LoadGossip:
		c.pool.OnLoadGossip(c.now, from, m, &c.outbox)
	case wire.Borrow:
		c.quotaOwner.OnBorrow(c.now, from, m, quotaOwners{c}, &c.outbox)
	case wire.BorrowReply:
		c.onBorrowReply(from, m)
	case wire.Transfer:
		c.quotaOwner.OnTransfer(c.now, from, m, quotaOwners{c}, &c.outbox)
	case wire.Redeem:
		c.onRedeem(from, m)
	case wire.RedeemReply:
		c.onRedeemReply(from, m)
	case wire.Settle:
		c.onSettle(from, m)
	case wire.SettleAck:
		c.redeemClient.OnSettleAck(c.now, m, redeemRoutes{c}, &c.outbox)
	case wire.RedemptionHandover:
		c.redeemServer.OnHandover(c.now, from, m, c.keySlotOwnedSince, &c.outbox)
	case wire.FeedPull:
		c.feed.OnPull(c.now, from, m, &c.outbox)
	case wire.FeedPush:
		c.logConfigResult(c.feed.OnPush(c.now, from, m, &c.outbox))
	}
}

// trackStarting records which peers may not own resources yet: peers whose last claim or
// acknowledgement had StartingMS > 0, and peers with a new incarnation that have not sent either
// yet.
func (c *Core) trackStarting(from fleet.InstanceID, inc fleet.Incarnation, m wire.Message) {
	if in := c.view.Instance(from); in == nil || in.DataCentre != c.opts.DataCentre {
		return // claims and acknowledgements, which carry StartingMS, are sent only within a data centre
	}
	wasStarting := c.starting[from]
	starting := wasStarting
	if c.isNewIncarnation(from, inc) {
		starting = true
	}
	switch m := m.(type) {
	case wire.Claim:
		starting = m.StartingMS > 0
	case wire.ClaimAck:
		starting = m.StartingMS > 0
	}
	if starting == wasStarting {
		return
	}
	if starting {
		c.starting[from] = true
	} else {
		delete(c.starting, from)
	}
	c.ownershipStale = true
}

// isNewIncarnation reports whether inc is greater than the last known incarnation of a peer.
func (c *Core) isNewIncarnation(from fleet.InstanceID, inc fleet.Incarnation) bool {
	known := c.members.Incarnation(from)
	return known != 0 && inc > known
}

// eligibleOwners implements ownership.Eligibility: it reports which instances may own resources.
type eligibleOwners struct{ c *Core }

// Usable implements ownership.Eligibility.
func (x eligibleOwners) Usable(id fleet.InstanceID) bool {
	if id == x.c.opts.Self {
		return !x.c.ownership.Starting(x.c.now) && x.c.members.Usable(id)
	}
	return !x.c.starting[id] && x.c.members.Usable(id)
}

func (c *Core) onClaim(from fleet.InstanceID, inc fleet.Incarnation, m wire.Claim) {
	for _, id := range m.Suspects {
		if id != c.opts.Self {
			c.members.OnPeerSuspicion(c.now, id)
		}
	}
	if m.Leaving {
		c.members.OnLeaving(c.now, from)
	}
	ack, ok := c.ownership.OnClaim(c.now, from, inc, m)
	if ok {
		ack.Held = c.heldSlotLeases(from, ack)
		c.outbox.Send(from, ack)
	}
}

// flushOutbox turns the messages of the outbox into actions. Messages to this process are
// handled directly.
func (c *Core) flushOutbox() {
	for {
		for ; c.delivered < len(c.outbox.Messages); c.delivered++ {
			c.deliver(c.outbox.Messages[c.delivered])
		}
		if !c.flushLeaseUpdates() {
			break
		}
	}
	c.outbox.Reset()
	c.delivered = 0
}

func (c *Core) deliver(o wire.Outgoing) {
	if o.To == c.opts.Self {
		c.handleMessage(c.opts.Self, c.opts.Incarnation, o.Message)
		return
	}
	addr := c.peerAddr(o.To)
	if addr == "" && !isFeedMessage(o.Message) {
		return
	}
	c.emit(Send{To: o.To, Addr: addr, Frame: wire.Frame{Header: c.header(), Message: o.Message}})
}

// isFeedMessage reports whether a message may be sent to a peer that is not in the current
// instance list. A process without a list, or with an older one than the peer, catches up
// over the connection that the peer opened.
func isFeedMessage(m wire.Message) bool {
	return m.Kind() == wire.KindFeedPull || m.Kind() == wire.KindFeedPush
}

func (c *Core) header() wire.Header {
	config, instances, endpoints := c.feed.Revisions()
	return wire.Header{Incarnation: c.opts.Incarnation, Config: config, Instances: instances, Endpoints: endpoints}
}

func (c *Core) peerAddr(id fleet.InstanceID) string {
	if in := c.feed.View().Instance(id); in != nil {
		return in.PeerAddr
	}
	for _, s := range c.opts.SeedPeers {
		if s.ID == id {
			return s.Addr
		}
	}
	return ""
}

// flushLeaseUpdates moves the lease updates collected in this step to the outbox and reports
// whether there were any.
func (c *Core) flushLeaseUpdates() bool {
	if len(c.leaseUpdateOwners) == 0 {
		return false
	}
	for _, to := range c.leaseUpdateOwners {
		c.outbox.Send(to, *c.leaseUpdates[to])
		delete(c.leaseUpdates, to)
	}
	c.leaseUpdateOwners = c.leaseUpdateOwners[:0]
	return true
}

// leaseUpdateFor returns the lease update that is sent to an owner at the end of the step.
func (c *Core) leaseUpdateFor(owner fleet.InstanceID) *wire.LeaseUpdate {
	u := c.leaseUpdates[owner]
	if u == nil {
		u = &wire.LeaseUpdate{}
		c.leaseUpdates[owner] = u
		c.leaseUpdateOwners = append(c.leaseUpdateOwners, owner)
	}
	return u
}

// endpointOwner returns the router that owns admission to an endpoint in this router's view.
func (c *Core) endpointOwner(e *fleet.Endpoint) fleet.InstanceID {
	if e.DataCentre != c.opts.DataCentre {
		return c.ownership.RemoteEndpointOwner(e, eligibleOwners{c})
	}
	return c.ownership.Owner(wire.Resource{Kind: wire.ResourceEndpoint, ID: c.view.EndpointHash(e.ID)})
}

// millis returns d in milliseconds, and 0 for a negative d.
func millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(d / time.Millisecond)
}
