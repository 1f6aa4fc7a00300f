package soak

import (
	"sync"
	"syscall"
	"time"
)

// Requests of a burst meet the closing of idle connections in a planned stop, or after a change of the idle timeout.
const (
	beforeStopCloses = 2400 * time.Millisecond // from the signal to the burst
	stopBurstSpread  = 200 * time.Millisecond
	idleBeforeChange = 1200 * time.Millisecond // from the opening of the connections to the change and the burst
	idleChangeSpread = 1600 * time.Millisecond
)

// A throttled process runs for throttleRuns of each throttlePeriod, like an instance of the platform with a fifth of a
// processor. That is no pause: it explains no outcome.
const (
	throttlePeriod = 100 * time.Millisecond
	throttleRuns   = 20 * time.Millisecond
)

func (r *run) throttleGateway(d time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: throttled for %v", g.name, d)
	r.throttle(g, d)
}

// stopMetByBurst stops a throttled gateway, and sends requests on idle connections while it closes them.
func (r *run) stopMetByBurst(d time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: planned stop while throttled, met by a burst", g.name)
	r.runAfter(0, func() {
		b := r.openBurst(g, routeKinds...)
		defer b.close()
		r.throttle(g, stopTimeout)
		var sent sync.WaitGroup
		sent.Go(func() {
			time.Sleep(beforeStopCloses)
			b.send(stopBurstSpread)
		})
		g.stop()
		sent.Wait()
		time.Sleep(d / 4)
		r.restartGateway(g)
	})
}

// idleChangeMetByBurst shortens the idle timeout while some gateways are throttled, and sends requests to them on idle
// connections while the change comes in force.
func (r *run) idleChangeMetByBurst(d time.Duration) {
	r.logFault("up to %d gateways: throttled for %v, met by a burst while the idle timeout becomes shorter", burstGateways, 2*configDelay)
	for _, g := range r.pickBurstGateways() {
		r.runAfter(0, func() {
			b := r.openBurst(g, routeKinds...)
			defer b.close()
			r.throttle(g, 2*configDelay)
			time.Sleep(idleBeforeChange)
			b.send(idleChangeSpread)
		})
	}
	r.runAfter(idleBeforeChange, func() { r.shortenIdleTimeout(d) })
}

// throttle throttles the running process of a gateway for d.
func (r *run) throttle(g *gateway, d time.Duration) {
	until := time.Now().Add(d)
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	end := r.timeline.begin(gatewayThrottled, g.name)
	r.runAfter(0, func() {
		defer end()
		for time.Now().Before(until) {
			time.Sleep(throttleRuns)
			if !g.holdUp(cmd.Process.Pid, throttlePeriod-throttleRuns) {
				return
			}
		}
	})
}

// holdUp stops a process for d, unless it is paused. It returns false if the gateway runs another process or none.
func (g *gateway) holdUp(pid int, d time.Duration) bool {
	set := func(s syscall.Signal) (running bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.cmd == nil || g.cmd.Process.Pid != pid {
			return false
		}
		if g.continued == nil {
			_ = g.cmd.Process.Signal(s) // fails only if the process has ended
		}
		return true
	}
	if !set(syscall.SIGSTOP) {
		return false
	}
	time.Sleep(d)
	return set(syscall.SIGCONT)
}
