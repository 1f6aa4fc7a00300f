package soak

import (
	"syscall"
	"time"
)

// lastBeginDelay is how long after the stop signal a request may still be begun that the end of the grace period cuts off.
const lastBeginDelay = 3 * time.Second

// noteSignal records the circumstances that a signal brings about; g.mu must be held.
func (g *gateway) noteSignal(s syscall.Signal) {
	t := g.fleet.timeline
	now := time.Now()
	switch s {
	case syscall.SIGKILL:
		g.ended = append(g.ended, t.begin(gatewayKilled|gatewayDown, g.name))
	case syscall.SIGTERM:
		if !g.stoppingSince.IsZero() {
			return // the process is stopping
		}
		g.stoppingSince = now
		g.beginAt(plannedStop, now)
		g.beginAt(gatewayDown, now.Add(rotationDelay))
		g.beginAt(lateInStop, now.Add(lastBeginDelay))
		g.beginAt(graceOver, now.Add(gracePeriod-stopReserve))
	case syscall.SIGSTOP:
		if g.continued == nil {
			g.continued = t.begin(gatewayPaused, g.name)
		}
	case syscall.SIGCONT:
		if g.continued != nil {
			g.continued()
			g.continued = nil
			t.mark(gatewayPaused, g.name, settleTime)
		}
	case syscall.SIGHUP:
		t.mark(reload, g.name, configDelay)
	}
}

// beginAt records that a circumstance holds from a time until the next start of the process; g.mu must be held.
func (g *gateway) beginAt(c cause, from time.Time) {
	s := &span{cause: c, subject: g.name, from: from}
	g.fleet.timeline.add(s)
	g.ended = append(g.ended, func() { g.fleet.timeline.endAt(s, time.Now()) })
}

// endCircumstances ends the circumstances that last until the start of a process; g.mu must be held.
func (g *gateway) endCircumstances() {
	if g.continued != nil {
		g.ended = append(g.ended, g.continued)
		g.continued = nil
	}
	for _, end := range g.ended {
		end()
	}
	g.ended = nil
}

// inRotation reports whether the load balancer may send new connections to the gateway.
func (g *gateway) inRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stoppingSince.IsZero() || time.Since(g.stoppingSince) < rotationDelay
}
