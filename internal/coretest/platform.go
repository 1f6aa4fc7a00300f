package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const platformName = "platform"

// Platform is a simulated platform whose published values reach readers after a delay.
type Platform struct {
	Delay time.Duration // time until a reader receives a value
	Down  bool

	w         *World
	config    *fleet.Configuration
	instances *fleet.InstanceList
	endpoints *fleet.EndpointList
	rev       fleet.Revision
}

// NextRevision allocates the next revision.
func (p *Platform) NextRevision() fleet.Revision {
	p.rev++
	return p.rev
}

// PublishConfig publishes a configuration with a new revision.
func (p *Platform) PublishConfig(c fleet.Configuration) {
	c.Revision = p.NextRevision()
	p.config = &c
	p.notifyAll()
}

// PublishInstances publishes an instance list with a new revision.
func (p *Platform) PublishInstances(in []fleet.Instance) {
	in = append([]fleet.Instance(nil), in...)
	fleet.SortInstances(in)
	p.instances = &fleet.InstanceList{Revision: p.NextRevision(), Instances: in}
	p.notifyAll()
}

// PublishEndpoints publishes an endpoint list with a new revision.
func (p *Platform) PublishEndpoints(es []fleet.Endpoint) {
	es = append([]fleet.Endpoint(nil), es...)
	fleet.SortEndpoints(es)
	p.endpoints = &fleet.EndpointList{Revision: p.NextRevision(), Endpoints: es}
	p.notifyAll()
}

// Snapshot returns a function that restores the current values, as if the platform were
// served by a stale replica.
func (p *Platform) Snapshot() (restore func()) {
	config, instances, endpoints := p.config, p.instances, p.endpoints
	return func() {
		p.config, p.instances, p.endpoints = config, instances, endpoints
		p.notifyAll()
	}
}

// Config returns a copy of the published configuration in which the maps DataCentres and
// EndpointsOutOfService may be modified.
func (p *Platform) Config() fleet.Configuration {
	c := *p.config
	c.DataCentres = map[fleet.DataCentreID]fleet.DataCentre{}
	for id, dc := range p.config.DataCentres {
		c.DataCentres[id] = dc
	}
	c.EndpointsOutOfService = map[fleet.EndpointID]bool{}
	for id, out := range p.config.EndpointsOutOfService {
		c.EndpointsOutOfService[id] = out
	}
	return c
}

// SetDataCentre takes a data centre out of service or back in.
func (p *Platform) SetDataCentre(id fleet.DataCentreID, out bool) {
	c := p.Config()
	dc := c.DataCentres[id]
	dc.OutOfService = out
	c.DataCentres[id] = dc
	p.PublishConfig(c)
}

// ConfigRevision returns the revision of the published configuration.
func (p *Platform) ConfigRevision() fleet.Revision { return p.config.Revision }

// Instances returns the published instance list.
func (p *Platform) Instances() []fleet.Instance { return p.instances.Instances }

// Endpoints returns the published endpoint list.
func (p *Platform) Endpoints() []fleet.Endpoint { return p.endpoints.Endpoints }

// Events returns the published values as the events that a reader receives.
func (p *Platform) Events() []core.Event {
	return []core.Event{
		core.PublishedConfig{Config: p.config},
		core.PublishedInstances{List: p.instances},
		core.PublishedEndpoints{List: p.endpoints},
	}
}

func (p *Platform) notifyAll() {
	for _, n := range p.w.Nodes {
		if n.Watching {
			p.notify(n)
		}
	}
}

// notify delivers the current values to a reader after Delay. While the platform is
// unreachable it reports PlatformDown and retries every second.
func (p *Platform) notify(n *Node) {
	n.schedule(p.Delay, func() {
		if p.Down || p.w.partitions[[2]string{string(n.DC), platformName}] {
			n.step(core.PlatformUnreadable{})
			n.schedule(time.Second, func() { p.notifyIfWatching(n) })
			return
		}
		p.deliver(n)
	})
}

func (p *Platform) notifyIfWatching(n *Node) {
	if n.Watching {
		p.notify(n)
	}
}

func (p *Platform) deliver(n *Node) {
	if p.config != nil {
		n.step(core.PublishedConfig{Config: p.config})
	}
	if p.instances != nil {
		n.step(core.PublishedInstances{List: p.instances})
	}
	if p.endpoints != nil {
		n.step(core.PublishedEndpoints{List: p.endpoints})
	}
}
