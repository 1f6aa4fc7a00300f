package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

// lameDuckPeriod is the minimum time from the start of a planned stop to the exit, so that the load
// balancer has stopped sending callers here. It also bounds the time for which ownership is kept
// while the ticket and key records are not frozen.
const lameDuckPeriod = 3 * time.Second

// onStop starts a planned stop: it reports to the load balancer that this process is not ready and
// begins the handover of the ticket and key records. Requests in progress and requests that still
// arrive are served. tickStop releases the ownership and completes the stop.
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

// releaseOwnership releases all ownership once the ticket and key records are frozen, but no later
// than lameDuckPeriod after the start of the stop.
func (c *Core) releaseOwnership() {
	if c.ownershipReleased || !c.redeemServer.RecordsFrozen() && c.now.Sub(c.stopSince) < lameDuckPeriod {
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

// tickStop completes the stop once lameDuckPeriod has passed and no request or handover is in
// progress, at the latest after the drain timeout.
func (c *Core) tickStop() {
	if !c.stopping || c.stopped {
		return
	}
	c.releaseOwnership()
	waited := c.now.Sub(c.stopSince)
	c.logHandover()
	idle := c.handoverEnded && len(c.requests) == 0 && waited >= lameDuckPeriod
	if !idle && waited < c.opts.DrainTimeout {
		return
	}
	c.stopped = true
	c.logf(event.ProcessStopped, "%d requests cut off", len(c.requests))
	c.emit(Stopped{})
}

// logHandover logs the end of the ticket and key handover once.
func (c *Core) logHandover() {
	done, _ := c.redeemServer.HandedOver()
	if done && !c.handoverEnded {
		handedOver, failed := c.redeemServer.HandoverProgress()
		c.logf(event.HandoverSent, "%d groups of records passed on, %d given up", handedOver, failed)
	}
	c.handoverEnded = done
}
