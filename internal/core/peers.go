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
	c.noteStarting(ev.From, h.Incarnation, ev.Frame.Message)
	if c.isLaterRun(ev.From, h.Incarnation) {
		c.redeemHome.HolderGone(ev.From) // before the later run can have a right
	}
	c.members.OnMessage(c.now, ev.From, h.Incarnation)
	c.feed.OnHeader(c.now, ev.From, h, &c.out)
	if c.dutiesChanged {
		c.follow() // so that a claim is judged by the owners that its sender sees
	}
	c.receive(ev.From, h.Incarnation, ev.Frame.Message)
}

// receive hands a message to the slice that it is for.
func (c *Core) receive(from fleet.InstanceID, inc fleet.Incarnation, m wire.Message) {
	switch m := m.(type) {
	case wire.Claim:
		c.onClaim(from, inc, m)
	case wire.ClaimAck:
		if m.Leaving {
			c.members.OnLeaving(c.now, from)
		}
		c.onBacked(from, c.own.OnAck(c.now, from, inc, m), m.Held)
	case wire.LeaseRequest:
		c.admit.OnRequest(c.now, from, inc, m, &c.out)
	case wire.LeaseReply:
		c.onLeaseReply(from, m)
	case wire.LeaseHandover:
		c.admit.OnHandover(c.now, m)
	case wire.LeaseUpdate:
		c.admit.OnUpdate(c.now, from, inc, m, &c.out)
	case wire.Digest:
		c.pool.OnDigest(c.now, from, m, &c.out)
	case wire.Borrow:
		c.lender.OnBorrow(c.now, from, m, owners{c}, &c.out)
	case wire.BorrowReply:
		c.onBorrowReply(from, m)
	case wire.Transfer:
		c.lender.OnTransfer(c.now, from, m, owners{c}, &c.out)
	case wire.Redeem:
		c.onRedeem(from, m)
	case wire.RedeemReply:
		c.onRedeemReply(from, m)
	case wire.Settle:
		c.onSettle(from, m)
	case wire.SettleAck:
		c.redeemer.OnSettleAck(c.now, m, routes{c}, &c.out)
	case wire.Handover:
		c.redeemHome.OnHandover(c.now, from, m, c.homeSince, &c.out)
	case wire.FeedPull:
		c.feed.OnPull(c.now, from, m, &c.out)
	case wire.FeedPush:
		c.logFeed(c.feed.OnPush(c.now, from, m, &c.out))
	}
}

// noteStarting keeps which peers take no duties yet: those that say so, and those that
// were heard as a new run and did not say otherwise.
func (c *Core) noteStarting(from fleet.InstanceID, inc fleet.Incarnation, m wire.Message) {
	if in := c.view.Instance(from); in == nil || in.DataCentre != c.opts.DataCentre {
		return // no claims come from other data centres to say when a start is over
	}
	was := c.starting[from]
	starting := was
	if c.isLaterRun(from, inc) {
		starting = true
	}
	switch m := m.(type) {
	case wire.Claim:
		starting = m.StartingMS > 0
	case wire.ClaimAck:
		starting = m.StartingMS > 0
	}
	if starting == was {
		return
	}
	if starting {
		c.starting[from] = true
	} else {
		delete(c.starting, from)
	}
	c.dutiesChanged = true
}

// isLaterRun tells whether an incarnation is later than one that was heard before.
func (c *Core) isLaterRun(from fleet.InstanceID, inc fleet.Incarnation) bool {
	known := c.members.Incarnation(from)
	return known != 0 && inc > known
}

// candidates tells which instances may own resources.
type candidates struct{ c *Core }

// Usable implements ownership.Peers.
func (x candidates) Usable(id fleet.InstanceID) bool {
	if id == x.c.opts.Self {
		return !x.c.own.Starting(x.c.now) && x.c.members.Usable(id)
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
	ack, ok := c.own.OnClaim(c.now, from, inc, m)
	if ok {
		ack.Held = c.heldFor(from, ack)
		c.out.Send(from, ack)
	}
}

// flush delivers the outbox. Messages to this process itself are handled in place.
func (c *Core) flush() {
	for {
		for ; c.sent < len(c.out.Items); c.sent++ {
			c.deliver(c.out.Items[c.sent])
		}
		if !c.flushUpdates() {
			break
		}
	}
	c.out.Reset()
	c.sent = 0
}

func (c *Core) deliver(o wire.Outgoing) {
	if o.To == c.opts.Self {
		c.receive(c.opts.Self, c.opts.Incarnation, o.Message)
		return
	}
	addr := c.peerAddr(o.To)
	if addr == "" && !carriesFeed(o.Message) {
		return
	}
	c.do(Send{To: o.To, Addr: addr, Frame: wire.Frame{Header: c.header(), Message: o.Message}})
}

// carriesFeed tells whether a message may go to a peer that the instance list in force
// does not name: a process without a list, or with an older one than the peer, catches
// up over the connection that the peer made.
func carriesFeed(m wire.Message) bool {
	return m.Kind() == wire.KindFeedPull || m.Kind() == wire.KindFeedPush
}

func (c *Core) header() wire.Header {
	cfg, inst, ends := c.feed.Revisions()
	return wire.Header{Incarnation: c.opts.Incarnation, Config: cfg, Instances: inst, Endpoints: ends}
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

// flushUpdates moves the lease updates collected in this step to the outbox.
func (c *Core) flushUpdates() bool {
	if len(c.updateTo) == 0 {
		return false
	}
	for _, to := range c.updateTo {
		c.out.Send(to, *c.updates[to])
		delete(c.updates, to)
	}
	c.updateTo = c.updateTo[:0]
	return true
}

// updateFor returns the lease update that goes to an owner at the end of the step.
func (c *Core) updateFor(owner fleet.InstanceID) *wire.LeaseUpdate {
	u := c.updates[owner]
	if u == nil {
		u = &wire.LeaseUpdate{}
		c.updates[owner] = u
		c.updateTo = append(c.updateTo, owner)
	}
	return u
}

// endpointOwner returns the router that owns admission to an endpoint by this view.
func (c *Core) endpointOwner(e *fleet.Endpoint) fleet.InstanceID {
	if e.DataCentre != c.opts.DataCentre {
		return c.own.RemoteOwner(e, candidates{c})
	}
	return c.own.Owner(wire.Resource{Kind: wire.ResourceEndpoint, ID: c.view.EndpointHash(e.ID)})
}

func millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(d / time.Millisecond)
}
