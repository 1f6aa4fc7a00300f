package core

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/membership"
)

// follow brings every slice up to date after the view or the membership changed.
func (c *Core) follow() {
	v := c.feed.View()
	if v != c.view {
		c.view = v
		c.members.SetView(c.now, v)
		c.pool.SetView(v)
		c.lender.Update(c.now, v)
		c.indexLimited()
		c.dutiesChanged = true
	}
	if starting := c.own.Starting(c.now); starting != c.selfStarting {
		c.selfStarting = starting
		c.dutiesChanged = true
	}
	if n := c.members.Version(); n != c.memberVersion {
		c.memberVersion = n
		c.dutiesChanged = true
	}
	if c.dutiesChanged {
		c.dutiesChanged = false
		c.updateDuties()
	}
	c.followTransitions()
	c.updateWatch()
	c.updateReady()
}

func (c *Core) updateDuties() {
	c.admit.BeforeOwnershipChange(c.now)
	c.own.Update(c.now, c.view, candidates{c})
	for _, ch := range c.admit.Update(c.now, c.view, &c.out) {
		c.changeOwner(ch.Endpoint, ch.Owned)
	}
}

func (c *Core) changeOwner(id fleet.EndpointID, owned bool) {
	addr := ""
	if e := c.view.Endpoint(id); e != nil {
		addr = e.Addr
	}
	c.do(PollEndpoint{Endpoint: id, Addr: addr, Enable: owned})
	if owned {
		c.log(event.OwnershipGained, string(id))
		return
	}
	c.log(event.OwnershipLost, string(id))
}

func (c *Core) followTransitions() {
	for _, t := range c.members.Transitions() {
		switch t.Change {
		case membership.Suspected:
			c.log(event.PeerSuspected, string(t.Peer))
		case membership.Recovered:
			c.log(event.PeerRecovered, string(t.Peer))
		case membership.Leaving:
			c.log(event.PeerLeaving, string(t.Peer))
		case membership.Gone:
			c.redeemHome.HolderGone(t.Peer)
		}
	}
}

// updateWatch makes the readers of the data centre, and a process that has not
// adopted what it needs, watch the platform.
func (c *Core) updateWatch() {
	want := (c.feed.IsReader(c.now) || !c.feed.Ready()) && !c.stopped
	if want != c.watching {
		c.watching = want
		c.do(WatchPlatform{Enable: want})
	}
}

// updateReady tells the balancer to send callers once this router may take duties: when
// a whole fleet starts, endpoints have no owners before.
func (c *Core) updateReady() {
	want := c.feed.Ready() && !c.own.Starting(c.now) && !c.stopping
	if want != c.ready {
		c.ready = want
		c.do(SetReady{Ready: want})
	}
}

func (c *Core) onReport(r fleet.LoadReport) {
	if c.admit.OnReport(c.now, r, &c.out) {
		c.log(event.EndpointCold, string(r.Endpoint))
	}
}

func (c *Core) onSilent(id fleet.EndpointID) {
	if c.admit.OnPollFailed(id) {
		c.log(event.EndpointSilent, string(id))
	}
}

func (c *Core) log(n event.Number, detail string) { c.do(Log{Event: n, Detail: detail}) }

func (c *Core) logf(n event.Number, format string, args ...any) {
	c.log(n, fmt.Sprintf(format, args...))
}
