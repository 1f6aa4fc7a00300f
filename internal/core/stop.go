package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

// lameDuckPeriod is how long a stopping process takes callers that the balancer still sends.
const lameDuckPeriod = 3 * time.Second

// onStop begins a planned stop: the balancer and the peers are told, duties pass on,
// requests in progress and those that still arrive are served.
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

// releaseOwnership gives up ownership once the records of tickets and keys are frozen.
func (c *Core) releaseOwnership() {
	if c.ownershipReleased || !c.redeemServer.Frozen() && c.now.Sub(c.stopSince) < lameDuckPeriod {
		return
	}
	c.ownershipReleased = true
	c.admission.BeforeChange(c.now)
	c.ownership.Stop(c.now)
	c.ownership.Update(c.now, c.view, eligiblePeers{c})
	for _, ch := range c.admission.Update(c.now, c.view, &c.outbox) {
		c.onEndpointOwnership(ch.Endpoint, ch.Owned)
	}
}

// tickStop ends the process once nothing is in progress.
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

// logHandover logs once that the handover of tickets and keys is complete.
func (c *Core) logHandover() {
	done, _ := c.redeemServer.HandedOver()
	if done && !c.recordsHandedOver {
		passed, failed := c.redeemServer.HandoverProgress()
		c.logf(event.HandoverSent, "%d groups of records passed on, %d given up", passed, failed)
	}
	c.recordsHandedOver = done
}
