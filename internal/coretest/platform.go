package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const platformName = "platform"

// Platform publishes values that readers see after a delay.
type Platform struct {
	Delay time.Duration // until a reader sees a value
	Down  bool

	w         *World
	config    *fleet.Configuration
	instances *fleet.InstanceList
	endpoints *fleet.EndpointList
	rev       fleet.Revision
}

// NextRevision returns a revision higher than all before.
func (p *Platform) NextRevision() fleet.Revision {
	p.rev++
	return p.rev
}

// PublishConfig gives the configuration a new revision and shows it to all readers.
func (p *Platform) PublishConfig(c fleet.Configuration) {
	c.Revision = p.NextRevision()
	p.config = &c
	p.showAll()
}

// PublishInstances publishes an instance list.
func (p *Platform) PublishInstances(in []fleet.Instance) {
	in = append([]fleet.Instance(nil), in...)
	fleet.SortInstances(in)
	p.instances = &fleet.InstanceList{Revision: p.NextRevision(), Instances: in}
	p.showAll()
}

// PublishEndpoints publishes an endpoint list.
func (p *Platform) PublishEndpoints(es []fleet.Endpoint) {
	es = append([]fleet.Endpoint(nil), es...)
	fleet.SortEndpoints(es)
	p.endpoints = &fleet.EndpointList{Revision: p.NextRevision(), Endpoints: es}
	p.showAll()
}

// Snapshot returns a function that makes the platform show the values of now again, as
// a stale replica does.
func (p *Platform) Snapshot() (restore func()) {
	config, instances, endpoints := p.config, p.instances, p.endpoints
	return func() {
		p.config, p.instances, p.endpoints = config, instances, endpoints
		p.showAll()
	}
}

// Config returns a copy of the published configuration with its own data centre and
// endpoint state maps, for a change.
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

// Instances returns the published list.
func (p *Platform) Instances() []fleet.Instance { return p.instances.Instances }

// Endpoints returns the published list.
func (p *Platform) Endpoints() []fleet.Endpoint { return p.endpoints.Endpoints }

// Events returns the published values as a reader's events.
func (p *Platform) Events() []core.Event {
	return []core.Event{
		core.PublishedConfig{Config: p.config},
		core.PublishedInstances{List: p.instances},
		core.PublishedEndpoints{List: p.endpoints},
	}
}

func (p *Platform) showAll() {
	for _, n := range p.w.Nodes {
		if n.Watching {
			p.show(n)
		}
	}
}

// show delivers the current values to a reader.
func (p *Platform) show(n *Node) {
	n.schedule(p.Delay, func() {
		if p.Down || p.w.cuts[[2]string{string(n.DC), platformName}] {
			n.step(core.PlatformDown{})
			n.schedule(time.Second, func() { p.showAgain(n) })
			return
		}
		p.deliver(n)
	})
}

func (p *Platform) showAgain(n *Node) {
	if n.Watching {
		p.show(n)
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
