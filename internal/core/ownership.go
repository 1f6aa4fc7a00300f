package core

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/membership"
)

// applyChanges updates all components after a change of the view or the membership.
func (c *Core) applyChanges() {
	v := c.feed.View()
	if v != c.view {
		c.view = v
		c.members.SetView(c.now, v)
		c.pool.SetView(v)
		c.quotaOwner.Update(c.now, v)
		c.indexLimitedWorkspaces()
		c.ownershipStale = true
	}
	if starting := c.ownership.Starting(c.now); starting != c.selfStarting {
		c.selfStarting = starting
		c.ownershipStale = true
	}
	if n := c.members.Version(); n != c.membershipVersion {
		c.membershipVersion = n
		c.ownershipStale = true
	}
	if c.ownershipStale {
		c.ownershipStale = false
		c.updateOwnership()
	}
	c.applyTransitions()
	c.updatePlatformWatch()
	c.updateReady()
}

func (c *Core) updateOwnership() {
	c.admission.BeforeOwnershipChange(c.now)
	c.ownership.Update(c.now, c.view, eligibleOwners{c})
	for _, ch := range c.admission.Update(c.now, c.view, &c.outbox) {
		c.onEndpointOwnership(ch.Endpoint, ch.Owned)
	}
}

func (c *Core) onEndpointOwnership(id fleet.EndpointID, owned bool) {
	addr := ""
	if e := c.view.Endpoint(id); e != nil {
		addr = e.Addr
	}
	c.emit(PollEndpoint{Endpoint: id, Addr: addr, Enable: owned})
	if owned {
		c.log(event.OwnershipGained, string(id))
		return
	}
	c.log(event.OwnershipLost, string(id))
}

func (c *Core) applyTransitions() {
	for _, t := range c.members.Transitions() {
		switch t.Kind {
		case membership.Suspected:
			c.log(event.PeerSuspected, string(t.Peer))
		case membership.Recovered:
			c.log(event.PeerRecovered, string(t.Peer))
		case membership.Leaving:
			c.log(event.PeerLeaving, string(t.Peer))
		case membership.Unlisted:
			c.redeemServer.MarkHolderGone(t.Peer)
		}
	}
}

// updatePlatformWatch starts or stops watching the platform. The readers of the data
// centre watch it, and so does a process that has not received all feeds yet.
func (c *Core) updatePlatformWatch() {
	want := (c.feed.IsReader(c.now) || !c.feed.Ready()) && !c.stopped
	if want != c.watchingPlatform {
		c.watchingPlatform = want
		c.emit(WatchPlatform{Enable: want})
	}
}

// updateReady reports readiness to the balancer once this router may own resources. When
// a whole fleet starts, no endpoint has an owner before that.
func (c *Core) updateReady() {
	want := c.feed.Ready() && !c.ownership.Starting(c.now) && !c.stopping
	if want != c.ready {
		c.ready = want
		c.emit(SetReady{Ready: want})
	}
}

func (c *Core) onEndpointReport(r fleet.LoadReport) {
	if c.admission.OnReport(c.now, r, &c.outbox) {
		c.log(event.EndpointCold, string(r.Endpoint))
	}
}

func (c *Core) onEndpointSilent(id fleet.EndpointID) {
	if c.admission.OnPollFailed(id) {
		c.log(event.EndpointSilent, string(id))
	}
}

func (c *Core) log(n event.Number, detail string) { c.emit(Log{Event: n, Detail: detail}) }

func (c *Core) logf(n event.Number, format string, args ...any) {
	c.log(n, fmt.Sprintf(format, args...))
}
