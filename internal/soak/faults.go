package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	meanFaultInterval = 400 * time.Millisecond // mean interval between the starts of two faults
	maxFaultDuration  = 5 * time.Second        // upper bound of the random part of the duration of a fault
	contactDelay      = 3 * time.Second        // after the end of a disturbance of the store or its links within which it may explain an outcome
	resetDuration     = 20 * time.Millisecond  // for which connections to an endpoint that are reset can't be opened again
	maxLateStore      = 450 * time.Millisecond // delay of the store in each direction; it is read within a second
	republishDelay    = 500 * time.Millisecond // from the store's return with an older copy until it has what it lost
)

// fault starts a fault or an operation (planned stop, reload, publication, key rotation) and schedules what
// ends it; its duration, if any, is derived from d. Faults may overlap.
type fault func(r *run, d time.Duration)

// injectFaults starts random faults until a time, then waits until the functions passed to runAfter have
// returned.
func (r *run) injectFaults(ctx context.Context, until time.Time) {
	faults := mixes[r.opts.Mix].faults
	for time.Now().Before(until) && ctx.Err() == nil {
		f := faults[r.rng.IntN(len(faults))]
		f(r, time.Duration(r.rng.Int64N(int64(maxFaultDuration))))
		ctxtime.Sleep(ctx, time.Duration(r.rng.Int64N(int64(2*meanFaultInterval))))
	}
	r.activeFaults.Wait()
}

// runAfter calls end after d in a goroutine.
func (r *run) runAfter(d time.Duration, end func()) {
	r.activeFaults.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (r *run) pickGateway() *gateway { return r.fleet.gateways[r.rng.IntN(len(r.fleet.gateways))] }

func (r *run) pickEndpoint() *endpoint { return r.endpoints[r.rng.IntN(len(r.endpoints))] }

func (r *run) stopGateway(d time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: planned stop", g.name)
	r.runAfter(0, func() {
		g.stop()
		time.Sleep(d / 4)
		r.restartGateway(g)
	})
}

func (r *run) restartGateway(g *gateway) {
	if err := g.start(); err != nil {
		r.fleet.addViolation("process", "%s failed to start: %v", g.name, err)
	}
}

func (r *run) killGateway(d time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: killed", g.name)
	r.killFor(g, d/2)
}

// killFor kills a gateway and starts it again after d.
func (r *run) killFor(g *gateway, d time.Duration) {
	g.signal(syscall.SIGKILL)
	r.runAfter(d, func() {
		g.markDisturbed()
		r.restartGateway(g)
	})
}

// startWithLateStore kills a gateway and starts it again while the store's answers to it are late. The configuration changes meanwhile.
func (r *run) startWithLateStore(d time.Duration) {
	g, late := r.pickGateway(), time.Duration(r.rng.Int64N(int64(maxLateStore)))
	r.logFault("%s: killed, the store's answers to it are %v late for %v", g.name, 2*late, d)
	g.markDisturbed()
	end := r.beginStoreAway(g.name)
	g.storeLink.Inject(link.Faults{Delay: late})
	r.killFor(g, 0)
	r.runAfter(d, func() {
		g.markDisturbed()
		g.storeLink.Inject(link.Faults{})
		end()
	})
	r.moveRoute(d)
	r.rotateKey(d)
}

// startWhileStoreReturns kills half of the gateways, which start again cut off from the store, and reach it when it has just returned with an
// older copy. That lacks a key which the others know.
func (r *run) startWhileStoreReturns(d time.Duration) {
	r.logFault("half of the gateways: killed, cut off from the store until it returns with an older copy")
	r.restoreStore(d)
	r.rotateKey(d)
	for _, i := range r.rng.Perm(len(r.fleet.gateways))[:len(r.fleet.gateways)/2] {
		g := r.fleet.gateways[i]
		r.runAfter(d/4, func() {
			g.markDisturbed()
			end := r.beginStoreAway(g.name)
			defer end()
			g.storeLink.Inject(link.Faults{Cut: true})
			r.killFor(g, 0)
			time.Sleep(d / 4)
			g.markDisturbed()
			g.storeLink.Inject(link.Faults{})
		})
	}
}

// killHalf kills half of the gateways at once, so that callers resume many streams at the others.
func (r *run) killHalf(d time.Duration) {
	r.logFault("half of the gateways: killed")
	for _, i := range r.rng.Perm(len(r.fleet.gateways))[:len(r.fleet.gateways)/2] {
		r.killFor(r.fleet.gateways[i], d/4)
	}
}

// upgradeEndpoint restarts an endpoint under its ID and address with another version.
func (r *run) upgradeEndpoint(d time.Duration) {
	e, version := r.pickEndpoint(), softwareVersions[r.rng.IntN(len(softwareVersions))]
	r.logFault("%s of %s: restarts with version %s", e.id, e.kind, version)
	e.injectLinkFaults(link.Faults{Cut: true})
	r.runAfter(d/10, func() {
		e.restart(version)
		e.injectLinkFaults(link.Faults{})
		e.publish(false)
	})
}

// restoreStore restores the store from a copy of d before; the operator and the endpoints then write again what they
// had written.
func (r *run) restoreStore(d time.Duration) {
	copied := r.fleet.store.Copy()
	r.runAfter(d/2, func() {
		r.logFault("store returns with a copy of %v before", (d / 2).Round(time.Millisecond))
		r.markAllDisturbed()
		defer r.beginStoreAway("")()
		r.fleet.store.Restore(copied)
		time.Sleep(republishDelay)
		r.operator.publishAgain()
		for _, e := range r.endpoints {
			e.publishAgain()
		}
	})
}

func (r *run) pauseGateway(d time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: paused for %v", g.name, d)
	g.signal(syscall.SIGSTOP)
	r.runAfter(d, func() { g.signal(syscall.SIGCONT) })
}

func (r *run) reloadGateway(time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: reload of the settings", g.name)
	g.signal(syscall.SIGHUP)
}

// storeOutage makes the store unavailable for d plus the revocation delay, because gateways must refuse
// keys that are revoked during the outage.
func (r *run) storeOutage(d time.Duration) {
	d += keyRevocationDelay
	r.logFault("store down for %v", d)
	r.markAllDisturbed()
	end := r.beginStoreAway("")
	r.fleet.store.Down.Store(true)
	r.runAfter(d, func() {
		r.markAllDisturbed()
		r.fleet.store.Down.Store(false)
		end()
	})
}

// beginStoreAway records that a gateway, or all for "", can't read the store until contactDelay after end is called.
func (r *run) beginStoreAway(gateway string) (end func()) {
	endNow := r.timeline.begin(storeAway, gateway)
	return func() {
		endNow()
		r.timeline.mark(storeAway, gateway, contactDelay)
	}
}

func (r *run) markAllDisturbed() {
	for _, g := range r.fleet.gateways {
		g.markDisturbed()
	}
}

// killEndpoint ends the process of an endpoint and starts another one after a part of d.
func (r *run) killEndpoint(d time.Duration) {
	e := r.pickEndpoint()
	r.logFault("%s of %s: killed", e.id, e.kind)
	e.kill(d / 5)
}

// killHalfOfService ends half of the processes of a service at once.
func (r *run) killHalfOfService(d time.Duration) {
	service := r.pickRoute()
	r.logFault("half of the endpoints of %s: killed", service)
	endpoints := r.endpointsOf(service)
	for _, i := range r.rng.Perm(len(endpoints))[:len(endpoints)/2] {
		endpoints[i].kill(d / 5)
	}
}

// resetEndpoint closes all connections to an endpoint, whose process goes on.
func (r *run) resetEndpoint(time.Duration) {
	e := r.pickEndpoint()
	r.logFault("connections to %s of %s: reset", e.id, e.kind)
	e.injectLinkFaults(link.Faults{Cut: true})
	r.runAfter(resetDuration, func() { e.injectLinkFaults(link.Faults{}) })
}

// linkFaults are the faults of a proxy to choose from.
var linkFaults = []link.Faults{{Cut: true}, {Silent: true}, {Delay: 300 * time.Millisecond}}

func (r *run) storeLinkFault(d time.Duration) {
	g, f := r.pickGateway(), linkFaults[r.rng.IntN(len(linkFaults))]
	r.logFault("link of %s to the store: %+v for %v", g.name, f, d)
	g.markDisturbed()
	end := r.beginStoreAway(g.name)
	g.storeLink.Inject(f)
	r.runAfter(d, func() {
		g.markDisturbed()
		g.storeLink.Inject(link.Faults{})
		end()
	})
}

func (r *run) endpointFailure(d time.Duration) {
	r.misbehave(r.pickEndpoint(), 1+mode(r.rng.IntN(int(modeCount)-1)), d)
}

// misbehave sets the mode of an endpoint for d.
func (r *run) misbehave(e *endpoint, m mode, d time.Duration) {
	r.logFault("%s of %s: %v for %v", e.id, e.kind, m, d)
	e.setMode(m)
	r.runAfter(d, func() { e.setMode(modeHealthy) })
}

func (r *run) endpointLinkFault(d time.Duration) {
	e, f := r.pickEndpoint(), linkFaults[r.rng.IntN(len(linkFaults))]
	r.logFault("link to %s of %s: %+v for %v", e.id, e.kind, f, d)
	e.injectLinkFaults(f)
	r.runAfter(d, func() { e.injectLinkFaults(link.Faults{}) })
}

// drainEndpoint publishes an endpoint as draining for d.
func (r *run) drainEndpoint(d time.Duration) {
	e := r.pickEndpoint()
	r.logFault("%s of %s: draining for %v", e.id, e.kind, d)
	e.publish(true)
	r.runAfter(d, func() { e.publish(false) })
}

// rotateKey issues a new key for the workspace, and revokes the previous one after an overlap of d plus
// the revocation delay during which both are valid.
func (r *run) rotateKey(d time.Duration) {
	r.mu.Lock()
	old := r.newestKey
	r.newestKey = "key-" + time.Now().Format("150405.000000")
	issued := r.newestKey
	r.issuedKeys = append(r.issuedKeys, issued)
	r.mu.Unlock()
	r.logFault("new key")
	r.operator.publish(func(c *platformtest.ConfigEntry) { c.Keys = append(slices.Clone(c.Keys), issued) })
	r.runAfter(keyRevocationDelay+d, func() {
		r.logFault("%s: revoked", old)
		r.operator.withdrawing(old)
		r.operator.publish(func(c *platformtest.ConfigEntry) {
			c.Keys = slices.DeleteFunc(slices.Clone(c.Keys), func(k string) bool { return k == old })
		})
		r.ledger.recordRevocation(old)
	})
}

func (r *run) publishConfig(time.Duration) {
	r.logFault("new configuration")
	r.operator.publish(func(*platformtest.ConfigEntry) {})
}

// restoreHealthyState resets every component to its state without faults, including those whose fault has
// failed to end, and starts the gateways that aren't running.
func (r *run) restoreHealthyState() {
	r.logFault("healed")
	r.fleet.store.Down.Store(false)
	r.operator.publish(r.resetConfig)
	for _, g := range r.fleet.gateways {
		g.storeLink.Inject(link.Faults{})
		g.signal(syscall.SIGCONT)
		r.restartGateway(g)
	}
	for _, e := range r.endpoints {
		e.setMode(modeHealthy)
		e.injectLinkFaults(link.Faults{})
		e.publish(false)
	}
}
