package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

// lameDuckPeriod is how long a stopping process accepts callers that the balancer still routes to it.
const lameDuckPeriod = 3 * time.Second

// onStop starts a planned stop: it notifies the balancer and the peers and hands over
// ownership. Requests in progress and requests that still arrive are served.
func (c *Core) onStop() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.stopSince = c.now
	c.log(event.ProcessStopping, "")
	c.redeemServer.BeginHandover(c.now, successors{c}, &c.outbox)
	c.updateReady()
}

// releaseOwnership gives up all ownership once the ticket and key records are frozen.
func (c *Core) releaseOwnership() {
	if c.ownershipReleased || !c.redeemServer.Frozen() && c.now.Sub(c.stopSince) < lameDuckPeriod {
		return
	}
	c.ownershipReleased = true
	c.admission.BeforeOwnershipChange(c.now)
	c.ownership.Stop(c.now)
	c.ownership.Update(c.now, c.view, eligibleOwners{c})
	for _, ch := range c.admission.Update(c.now, c.view, &c.outbox) {
		c.onEndpointOwnership(ch.Endpoint, ch.Owned)
	}
}

// tickStop completes the stop once nothing is in progress or the drain timeout has passed.
func (c *Core) tickStop() {
	if !c.stopping || c.stopped {
		return
	}
	c.releaseOwnership()
	waited := c.now.Sub(c.stopSince)
	c.logHandover()
	idle := c.recordsHandedOver && len(c.requests) == 0 && waited >= lameDuckPeriod
	if !idle && waited < c.opts.DrainTimeout {
		return
	}
	c.stopped = true
	c.logf(event.ProcessStopped, "%d requests cut off", len(c.requests))
	c.emit(Stopped{})
}

// logHandover logs the completion of the ticket and key handover once.
func (c *Core) logHandover() {
	done, _ := c.redeemServer.HandedOver()
	if done && !c.recordsHandedOver {
		passed, failed := c.redeemServer.HandoverProgress()
		c.logf(event.HandoverSent, "%d groups of records passed on, %d given up", passed, failed)
	}
	c.recordsHandedOver = done
}
