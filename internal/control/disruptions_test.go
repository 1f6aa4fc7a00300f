package control_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

var (
	answerPaths = []string{"/chat/x", "/chat/x", "/plain/x", "/book/x", "/open/x"}
	answerKeys  = []string{"key", "key", "key", "revocable"}
)

const (
	stopGrace   = 8 * time.Second
	drainTime   = 1500 * time.Millisecond // an endpoint serves on after it has left
	minSilence  = 500 * time.Millisecond
	maxSilence  = 2 * time.Second
	manyRoutes  = 1400
	outageTime  = 1500 * time.Millisecond
	restartTime = time.Second // of an endpoint or a gateway
	engineTime  = 500 * time.Millisecond
)

// publishedConfig is a configuration and when it was published.
type publishedConfig struct {
	at     boottime.Instant
	config *routing.Config
}

func (p publishedConfig) allows(c *controltest.Call) bool {
	route := slices.ContainsFunc(p.config.Routes, func(r routing.Route) bool { return strings.HasPrefix(c.Path, r.Prefix) })
	return route && slices.Contains(p.config.Workspaces[0].Keys, c.Key)
}

// disruptions changes what is published, and disturbs endpoints, gateways and the store.
type disruptions struct {
	world   *controltest.World
	configs []publishedConfig
	options map[fleet.InstanceID]control.Options
	created int // endpoints
	version int64
}

func newDisruptions(w *controltest.World) disruptions {
	d := disruptions{world: w, options: map[fleet.InstanceID]control.Options{}}
	w.Options = func(o *control.Options) { d.options[o.Self.ID] = *o }
	return d
}

func (d *disruptions) newEngine(dc fleet.DataCentreID) *controltest.Endpoint {
	d.created++
	e := engine(d.created, dc)
	e.Version, e.ServiceTime = "v1", engineTime
	return e
}

func (d *disruptions) newReplica(dc fleet.DataCentreID) *controltest.Endpoint {
	d.created++
	return replica(d.created, dc)
}

// between returns a random duration.
func (d *disruptions) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.world.Rand().Int64N(int64(to-from)))
}

// every runs f about once per interval while callers send requests.
func (d *disruptions) every(interval time.Duration, f func()) {
	until := d.world.Elapsed() + answersLoadTime
	var next func()
	next = func() {
		if d.world.Elapsed() > until {
			return
		}
		f()
		d.world.After(d.between(interval/2, interval*3/2), next)
	}
	d.world.After(d.between(0, interval), next)
}

// disrupt plays all kinds of disruption, in series and overlapping.
func (d *disruptions) disrupt() {
	w := d.world
	d.every(400*time.Millisecond, d.publishConfig)
	d.every(100*time.Millisecond, func() { d.silence(d.endpoint("")) })
	d.every(3*time.Second, func() { d.silenceService(llm) })
	d.every(3*time.Second, func() { d.silenceService(desk) })
	d.every(300*time.Millisecond, func() { d.restart(d.endpoint(llm)) })
	d.every(400*time.Millisecond, func() { d.replace(d.endpoint(llm)) })
	d.every(2*time.Second, d.replaceReplicas)
	d.every(2*time.Second, d.evacuate)
	d.every(250*time.Millisecond, d.ifMostAreReady(func(n *controltest.Node) { n.StopPlanned(stopGrace, restartTime) }))
	d.every(time.Second, d.ifMostAreReady(func(n *controltest.Node) { n.Kill(restartTime) }))
	d.every(200*time.Millisecond, d.ifMostAreReady(d.reload))
	w.After(d.between(0, time.Second), d.restoreStore)
	w.After(d.between(2500*time.Millisecond, 3*time.Second), func() {
		w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
		w.After(outageTime, func() { w.Partitioned = nil })
	})
}

// publishConfig publishes the next configuration.
func (d *disruptions) publishConfig() {
	d.version++
	c := d.nextConfig(d.version)
	d.configs = append(d.configs, publishedConfig{d.world.Now(), c})
	d.world.Write(publishedtest.Config(c))
}

// nextConfig returns a configuration in which some of the routes, keys, timeouts and limits differ at random.
func (d *disruptions) nextConfig(version int64) *routing.Config {
	c := config(version, "key", "revocable")
	plain := c.Routes[0]
	plain.Name, plain.Prefix, plain.Resumable = "plain", "/plain/", false
	c.Routes = append(c.Routes, plain)
	for i := range c.Routes {
		c.Routes[i].Timeout = 2 * maxCallerTimeout
	}
	if version == 1 {
		return c
	}
	rng := d.world.Rand()
	changed := &c.Routes[rng.IntN(len(c.Routes))]
	switch rng.IntN(8) {
	case 0:
		changed.Prefix = "/moved-away/"
	case 1:
		changed.Targets = []routing.Target{{Service: desk, Weight: 1}}
	case 2:
		changed.Targets = []routing.Target{{Service: llm, Weight: 1}, {Service: desk, Weight: rng.Float64()}}
	case 3:
		c.Workspaces[0].Keys = []string{"key"}
	case 4:
		changed.Timeout = d.between(maxCallerTimeout/2, maxCallerTimeout)
	case 5:
		changed.MaxAttempts = 1 + rng.IntN(3)
	case 6:
		changed.Kind, changed.Resumable = routing.Streaming, rng.IntN(2) == 0
	case 7:
		d.addRoutes(c)
	}
	return c
}

func (d *disruptions) addRoutes(c *routing.Config) {
	for i := range manyRoutes {
		r := c.Routes[0]
		r.Name, r.Prefix = fmt.Sprint("more-", i), fmt.Sprintf("/more-%d/", i)
		c.Routes = append(c.Routes, r)
	}
}

// endpoint returns a random running endpoint of a service, or of any one.
func (d *disruptions) endpoint(service fleet.ServiceID) *controltest.Endpoint {
	es := d.running(service)
	return es[d.world.Rand().IntN(len(es))]
}

// running returns the endpoints of a service, or of all, that run and do not leave, in the order of their IDs.
func (d *disruptions) running(service fleet.ServiceID) []*controltest.Endpoint {
	var out []*controltest.Endpoint
	for _, e := range d.world.Endpoints {
		if !e.Down && !e.Leaving && (service == "" || e.Service == service) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *controltest.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// silence makes an endpoint fall silent, unless it was silent a moment ago.
func (d *disruptions) silence(e *controltest.Endpoint) {
	if d.world.Now().Sub(e.SilentUntil) > minSilence {
		e.SilentUntil = d.world.Now().Add(d.between(minSilence, maxSilence))
	}
}

func (d *disruptions) silenceService(service fleet.ServiceID) {
	for _, e := range d.running(service) {
		d.silence(e)
	}
}

// restart ends an endpoint's process and starts its next incarnation.
func (d *disruptions) restart(e *controltest.Endpoint) {
	e.Crash()
	d.world.After(restartTime, func() {
		e.Incarnation++
		e.Down, e.SilentUntil = false, 0
		d.world.Publish(e)
	})
}

// replace replaces an endpoint by another one. It leaves, and ends some time later.
func (d *disruptions) replace(e *controltest.Endpoint) {
	next := d.newReplica(e.DataCentre)
	if e.Service == llm {
		next = d.newEngine(e.DataCentre)
	}
	d.world.Publish(next)
	d.leave(e)
}

func (d *disruptions) leave(e *controltest.Endpoint) {
	e.Leaving = true
	d.world.Publish(e)
	d.world.After(drainTime/2, func() { d.world.Remove(e.ID) })
	d.world.After(drainTime, e.Crash)
}

// replaceReplicas empties the plain service for a while and fills it with other endpoints.
func (d *disruptions) replaceReplicas() {
	for _, e := range d.running(desk) {
		d.leave(e)
		d.world.After(d.between(0, drainTime), func() { d.world.Publish(d.newReplica(e.DataCentre)) })
	}
}

// restoreStore loses what is written in a second. The operator and the endpoints publish it again.
func (d *disruptions) restoreStore() {
	older, config := d.world.Store.Copy(), d.configs[len(d.configs)-1].config
	d.world.After(time.Second, func() {
		d.world.Store.Restore(older)
		d.configs = append(d.configs, publishedConfig{d.world.Now(), config})
		d.world.After(d.between(0, time.Second), d.publishAgain)
	})
}

func (d *disruptions) publishAgain() {
	latest := d.configs[0].config
	for _, p := range d.configs {
		if p.config.Version > latest.Version {
			latest = p.config
		}
	}
	d.configs = append(d.configs, publishedConfig{d.world.Now(), latest})
	d.world.Write(publishedtest.Config(latest))
	for _, id := range slices.Sorted(maps.Keys(d.world.Endpoints)) {
		if e := d.world.Endpoints[id]; e.Down || e.Leaving {
			d.world.Remove(id)
		} else {
			d.world.Publish(e)
		}
	}
}

func (d *disruptions) evacuate() {
	dc := fleet.DataCentreID(rune('a' + d.world.Rand().IntN(3)))
	d.world.Write(publishedtest.Evacuation(dc))
	d.world.After(time.Second, func() { d.world.Write(publishedtest.EvacuationEnd(dc)) })
}

// ifMostAreReady returns a function that calls f with a random ready gateway, if three quarters of all are ready.
func (d *disruptions) ifMostAreReady(f func(*controltest.Node)) func() {
	return func() {
		var ready []*controltest.Node
		for _, n := range d.world.Nodes {
			if n.Accepts() && n.State.Ready(d.world.Now()) {
				ready = append(ready, n)
			}
		}
		if 4*len(ready) >= 3*len(d.world.Nodes) {
			f(ready[d.world.Rand().IntN(len(ready))])
		}
	}
}

// reload gives a gateway other options.
func (d *disruptions) reload(n *controltest.Node) {
	o := d.options[n.ID]
	o.LoadMultiple = 1.5 + d.world.Rand().Float64()
	n.State.Configure(o)
}
