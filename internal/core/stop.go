package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

// lameDuck is how long a stopping process takes callers that the balancer still sends.
const lameDuck = 3 * time.Second

// onStop begins a planned stop: the balancer and the peers are told, duties pass on,
// requests in progress and those that still arrive are served.
func (c *Core) onStop() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.stopSince = c.now
	c.log(event.ProcessStopping, "")
	c.redeemHome.BeginHandover(c.now, heirs{c}, &c.out)
	c.updateReady()
}

// releaseDuties gives up ownership once the records of tickets and keys are frozen.
func (c *Core) releaseDuties() {
	if c.released || !c.redeemHome.Frozen() && c.now.Sub(c.stopSince) < lameDuck {
		return
	}
	c.released = true
	c.admit.BeforeOwnershipChange(c.now)
	c.own.Stop(c.now)
	c.own.Update(c.now, c.view, candidates{c})
	for _, ch := range c.admit.Update(c.now, c.view, &c.out) {
		c.changeOwner(ch.Endpoint, ch.Owned)
	}
}

// tickStop ends the process once nothing is in progress.
func (c *Core) tickStop() {
	if !c.stopping || c.stopped {
		return
	}
	c.releaseDuties()
	waited := c.now.Sub(c.stopSince)
	c.updateHandover()
	idle := c.handed && len(c.requests) == 0 && waited >= lameDuck
	if !idle && waited < c.opts.DrainTimeout {
		return
	}
	c.stopped = true
	c.logf(event.ProcessStopped, "%d requests cut off", len(c.requests))
	c.do(Stopped{})
}

// updateHandover logs once that the handover of tickets and keys is complete.
func (c *Core) updateHandover() {
	done, _ := c.redeemHome.HandedOver()
	if done && !c.handed {
		passed, failed := c.redeemHome.HandoverProgress()
		c.logf(event.HandoverSent, "%d groups of records passed on, %d given up", passed, failed)
	}
	c.handed = done
}
