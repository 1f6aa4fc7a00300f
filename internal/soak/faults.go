package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	meanFaultInterval = 400 * time.Millisecond // between the beginnings of two faults
	maxFaultDuration  = 5 * time.Second        // of one fault
	routeTimeout      = 3 * time.Second
)

// fault is a disturbance that lasts for a time. Faults overlap.
type fault func(r *run, d time.Duration)

var faultMix = []fault{
	(*run).stopGateway, (*run).stopGateway, (*run).killGateway, (*run).pauseGateway, (*run).reloadGateway,
	(*run).storeOutage, (*run).storeLinkFault, (*run).storeLinkFault,
	(*run).endpointFailure, (*run).endpointFailure, (*run).endpointLinkFault, (*run).endpointRemoval,
	(*run).rotateKey, (*run).publishConfig,
}

// injectFaults begins faults at random until a time, and waits for the ends of all.
func (r *run) injectFaults(ctx context.Context, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		f := faultMix[r.faultRand.IntN(len(faultMix))]
		f(r, time.Duration(r.faultRand.Int64N(int64(maxFaultDuration))))
		ctxtime.Sleep(ctx, time.Duration(r.faultRand.Int64N(int64(2*meanFaultInterval))))
	}
	r.activeFaults.Wait()
}

// scheduleEnd runs the end of a fault when its time has passed.
func (r *run) scheduleEnd(d time.Duration, end func()) {
	r.activeFaults.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (r *run) randomGateway() *gateway {
	return r.fleet.gateways[r.faultRand.IntN(len(r.fleet.gateways))]
}

func (r *run) randomEndpoint() *endpoint { return r.endpoints[r.faultRand.IntN(len(r.endpoints))] }

func (r *run) stopGateway(d time.Duration) {
	g := r.randomGateway()
	r.logFault("%s stops as planned", g.name)
	r.scheduleEnd(0, func() {
		g.stop()
		time.Sleep(d / 4)
		r.restartGateway(g)
	})
}

func (r *run) restartGateway(g *gateway) {
	if err := g.start(); err != nil {
		r.fleet.addViolation("%s does not start: %v", g.name, err)
	}
}

func (r *run) killGateway(d time.Duration) {
	g := r.randomGateway()
	r.logFault("%s is killed", g.name)
	g.signal(syscall.SIGKILL)
	r.scheduleEnd(d/2, func() {
		g.markDisturbed()
		r.restartGateway(g)
	})
}

func (r *run) pauseGateway(d time.Duration) {
	g := r.randomGateway()
	r.logFault("%s is paused for %v", g.name, d)
	g.signal(syscall.SIGSTOP)
	r.scheduleEnd(d, func() { g.signal(syscall.SIGCONT) })
}

func (r *run) reloadGateway(time.Duration) {
	g := r.randomGateway()
	r.logFault("%s reads its settings again", g.name)
	g.signal(syscall.SIGHUP)
}

// storeOutage lasts long enough for keys to be taken away and refused meanwhile.
func (r *run) storeOutage(d time.Duration) {
	d += keyRevocationDelay
	r.logFault("the store is down for %v", d)
	r.markAllDisturbed()
	r.fleet.store.Down.Store(true)
	r.scheduleEnd(d, func() {
		r.markAllDisturbed()
		r.fleet.store.Down.Store(false)
	})
}

func (r *run) markAllDisturbed() {
	for _, g := range r.fleet.gateways {
		g.markDisturbed()
	}
}

// linkFaults are what a link may do.
var linkFaults = []link.Faults{{Cut: true}, {Silent: true}, {Delay: 300 * time.Millisecond}}

func (r *run) storeLinkFault(d time.Duration) {
	g, f := r.randomGateway(), linkFaults[r.faultRand.IntN(len(linkFaults))]
	r.logFault("the store's link of %s: %+v for %v", g.name, f, d)
	g.markDisturbed()
	g.storeLink.Inject(f)
	r.scheduleEnd(d, func() {
		g.markDisturbed()
		g.storeLink.Inject(link.Faults{})
	})
}

func (r *run) endpointFailure(d time.Duration) {
	e, m := r.randomEndpoint(), 1+mode(r.faultRand.IntN(int(modeCount)-1))
	r.logFault("%s of %s is %v for %v", e.id, e.kind, m, d)
	e.setMode(m)
	r.scheduleEnd(d, func() { e.setMode(modeHealthy) })
}

func (r *run) endpointLinkFault(d time.Duration) {
	e, f := r.randomEndpoint(), linkFaults[r.faultRand.IntN(len(linkFaults))]
	r.logFault("the link of %s of %s: %+v for %v", e.id, e.kind, f, d)
	e.injectLinkFaults(f)
	r.scheduleEnd(d, func() { e.injectLinkFaults(link.Faults{}) })
}

func (r *run) endpointRemoval(d time.Duration) {
	e := r.randomEndpoint()
	r.logFault("%s of %s leaves for %v", e.id, e.kind, d)
	r.fleet.store.Write(e.item(true))
	r.scheduleEnd(d, func() { r.fleet.store.Write(e.item(false)) })
}

// rotateKey gives the workspace a new key and takes the present one away after a while,
// in which both count.
func (r *run) rotateKey(d time.Duration) {
	r.mu.Lock()
	old := r.newestKey
	r.newestKey = "key-" + time.Now().Format("150405.000000")
	r.validKeys, r.issuedKeys = append(r.validKeys, r.newestKey), append(r.issuedKeys, r.newestKey)
	r.mu.Unlock()
	r.logFault("a new key")
	r.fleet.store.Write(r.nextConfig())
	r.scheduleEnd(keyRevocationDelay+d, func() {
		r.mu.Lock()
		r.validKeys = slices.DeleteFunc(r.validKeys, func(k string) bool { return k == old })
		r.mu.Unlock()
		r.logFault("%s is taken away", old)
		r.fleet.store.Write(r.nextConfig())
		r.ledger.recordRevocation(old)
	})
}

func (r *run) publishConfig(time.Duration) {
	r.logFault("a new configuration")
	r.fleet.store.Write(r.nextConfig())
}

// nextConfig returns the next version of the configuration.
func (r *run) nextConfig() published.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion++
	return platformtest.Config(r.configVersion, routeTimeout, r.validKeys...)
}

// endFaults ends what may still be disturbed.
func (r *run) endFaults() {
	r.logFault("healed")
	r.fleet.store.Down.Store(false)
	for _, g := range r.fleet.gateways {
		g.storeLink.Inject(link.Faults{})
		g.signal(syscall.SIGCONT)
		r.restartGateway(g)
	}
	for _, e := range r.endpoints {
		e.setMode(modeHealthy)
		e.injectLinkFaults(link.Faults{})
		r.fleet.store.Write(e.item(false))
	}
}
