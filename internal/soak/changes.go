package soak

import (
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

const (
	shortIdleTimeout     = 500 * time.Millisecond
	minShortRouteTimeout = 500 * time.Millisecond
	stormInterval        = 60 * time.Millisecond   // between two configurations of a storm
	stormDuration        = 1500 * time.Millisecond // of a storm of configurations
	stormKeys            = 8                       // keys issued in a storm of keys

	stopOffset        = 700 * time.Millisecond // between the beginnings of planned stops that overlap
	reloadsBeforeStop = 3
	reloadInterval    = 100 * time.Millisecond
)

// edit changes the configuration that is to be published.
type edit = func(c *platformtest.ConfigEntry)

// shortenIdleTimeout publishes a shorter idle timeout for d and the time in which it comes in force.
func (r *run) shortenIdleTimeout(d time.Duration) {
	r.logFault("idle timeout %v for %v", shortIdleTimeout, configDelay+d/2)
	r.operator.publish(func(c *platformtest.ConfigEntry) { c.IdleTimeout = shortIdleTimeout })
	r.runAfter(configDelay+d/2, func() {
		r.logFault("idle timeout %v", idleTimeout)
		r.operator.publish(func(c *platformtest.ConfigEntry) { c.IdleTimeout = idleTimeout })
	})
}

func (r *run) shortenRouteTimeout(d time.Duration) {
	timeout := minShortRouteTimeout + d/10
	r.logFault("route timeout %v for %v", timeout, d)
	r.operator.publish(func(c *platformtest.ConfigEntry) { c.Timeout = timeout })
	r.runAfter(d, func() {
		r.operator.publish(func(c *platformtest.ConfigEntry) { c.Timeout = routeTimeout })
	})
}

// moveRoute publishes another service for a route, for d.
func (r *run) moveRoute(d time.Duration) {
	route, service := r.pickRoute(), r.pickRoute()
	r.logFault("route %s: moved to the service of %s for %v", route, service, d)
	r.retarget(route, d, service)
}

// splitRoute publishes a second service of the same weight for a route, for d.
func (r *run) splitRoute(d time.Duration) {
	route, second := r.pickRoute(), r.pickRoute()
	r.logFault("route %s: half of it goes to the service of %s for %v", route, second, d)
	r.retarget(route, d, route, second)
}

// retarget publishes the services of a route for d.
func (r *run) retarget(route string, d time.Duration, services ...string) {
	now := time.Now()
	for _, s := range services {
		r.timeline.add(&span{cause: routeTargets, subject: routeSubject(route), detail: s, from: now, to: now.Add(d + oldestLimit)})
	}
	r.operator.publish(setTargets(route, services))
	r.runAfter(d, func() { r.operator.publish(setTargets(route, nil)) })
}

func setTargets(route string, services []string) edit {
	return func(c *platformtest.ConfigEntry) { c.Targets[route] = services }
}

// removeRoute publishes a configuration without a route, for a part of d.
func (r *run) removeRoute(d time.Duration) {
	route := r.pickRoute()
	r.logFault("route %s: removed for %v", route, d/4)
	end := r.timeline.begin(routeRemoved|routeStale, routeSubject(route))
	r.operator.publish(func(c *platformtest.ConfigEntry) { c.Removed[route] = true })
	r.runAfter(d/4, func() {
		r.operator.publish(func(c *platformtest.ConfigEntry) { delete(c.Removed, route) })
		end()
		r.timeline.mark(routeRemoved, routeSubject(route), configDelay)
		r.timeline.mark(routeStale, routeSubject(route), oldestLimit)
	})
}

func (r *run) pickRoute() string { return routeKinds[r.rng.IntN(len(routeKinds))] }

// emptyService removes the entries of all endpoints of a service for a part of d. The endpoints go on.
func (r *run) emptyService(d time.Duration) {
	service := r.pickRoute()
	r.logFault("service %s: empty for %v", service, d/2)
	end := r.timeline.begin(serviceEmptied, serviceSubject(service))
	for _, e := range r.endpointsOf(service) {
		e.withdraw()
	}
	r.runAfter(d/2, func() {
		for _, e := range r.endpointsOf(service) {
			e.publish(false)
		}
		end()
	})
}

func (r *run) endpointsOf(service string) []*endpoint {
	return slices.DeleteFunc(slices.Clone(r.endpoints), func(e *endpoint) bool { return e.kind != service })
}

func (r *run) keyStorm(d time.Duration) {
	r.logFault("storm of keys")
	for range stormKeys {
		r.rotateKey(d)
		time.Sleep(stormInterval)
	}
}

// configStorm publishes one configuration after the other: route and idle timeouts and the services of routes change.
func (r *run) configStorm(time.Duration) {
	r.logFault("storm of configurations")
	route, service := r.pickRoute(), r.pickRoute()
	now := time.Now()
	r.timeline.add(&span{cause: routeTargets, subject: routeSubject(route), detail: service, from: now, to: now.Add(stormDuration + oldestLimit)})
	edits := []edit{
		func(c *platformtest.ConfigEntry) { c.IdleTimeout = shortIdleTimeout },
		func(c *platformtest.ConfigEntry) { c.Timeout = time.Second },
		setTargets(route, []string{service}),
		r.resetConfig,
	}
	r.runAfter(0, func() {
		for n := 0; time.Since(now) < stormDuration; n++ {
			r.operator.publish(edits[n%len(edits)])
			time.Sleep(stormInterval)
		}
		r.operator.publish(r.resetConfig)
	})
}

// resetConfig sets all but the keys as at the start.
func (r *run) resetConfig(c *platformtest.ConfigEntry) {
	c.Timeout, c.IdleTimeout = routeTimeout, mixes[r.opts.Mix].idleTimeout
	clear(c.Targets)
	clear(c.Removed)
}

// stopDuringChanges stops a gateway while configurations change.
func (r *run) stopDuringChanges(d time.Duration) {
	r.stopGateway(d)
	r.configStorm(d)
	r.runAfter(stormDuration, func() { r.operator.publish(func(c *platformtest.ConfigEntry) { c.IdleTimeout = shortIdleTimeout }) })
	r.runAfter(stormDuration+configDelay, func() { r.operator.publish(r.resetConfig) })
}

// overlappingStops stops half of the gateways one shortly after the other, each after a series of reloads and met by a burst, while configurations
// change.
func (r *run) overlappingStops(d time.Duration) {
	r.logFault("half of the gateways: reloads and planned stops that overlap, while configurations change")
	for i, n := range r.rng.Perm(len(r.fleet.gateways))[:max(len(r.fleet.gateways)/2, 1)] {
		g := r.fleet.gateways[n]
		r.runAfter(time.Duration(i)*stopOffset, func() {
			b := r.openBurst(g, routeKinds...)
			defer b.close()
			for range reloadsBeforeStop {
				g.signal(syscall.SIGHUP)
				time.Sleep(reloadInterval)
			}
			var sent sync.WaitGroup
			sent.Go(func() { b.send(beforeStopCloses + stopBurstSpread) })
			g.stop()
			sent.Wait()
			time.Sleep(d / 4)
			r.restartGateway(g)
		})
	}
	r.configStorm(d)
}

// reloadChangedSettings takes the second seed out of the settings or puts it back, and reloads them.
func (r *run) reloadChangedSettings(time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: reload of changed settings", g.name)
	g.mu.Lock()
	g.oneSeed = !g.oneSeed
	text := g.currentSettings()
	g.mu.Unlock()
	r.reload(g, text)
}

// reloadBrokenSettings reloads settings with a value that can't be read, and mends them after a part of d.
func (r *run) reloadBrokenSettings(d time.Duration) {
	g := r.pickGateway()
	r.logFault("%s: reload of broken settings for %v", g.name, d/2)
	g.mu.Lock()
	text := g.currentSettings()
	g.mu.Unlock()
	r.reload(g, strings.Replace(text, "bounds.grace_s=", "bounds.grace_s=eight", 1))
	r.runAfter(d/2, func() { r.reload(g, text) })
}

// currentSettings returns the settings; g.mu must be held.
func (g *gateway) currentSettings() string {
	s := g.settings
	if g.oneSeed {
		s.Seeds = s.Seeds[:1]
	}
	return s.Settings()
}

func (r *run) reload(g *gateway, settings string) {
	if err := os.WriteFile(g.settingsFile, []byte(settings), 0o600); err != nil {
		r.fleet.addViolation("process", "settings of %s: %v", g.name, err)
		return
	}
	g.signal(syscall.SIGHUP)
}
