package coretest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Shape is the size of a fleet.
type Shape struct {
	Regions         int
	DataCentres     int // in all regions together
	Instances       int
	Engines         int // for all models together
	Models          int
	ServiceReplicas int // replicas of the service "gate"
	Workspaces      int
	Capacity        int // concurrent requests per endpoint
}

// Coulee and Vatuwai are the sizes of two example fleets.
var (
	Coulee  = Shape{Regions: 1, DataCentres: 4, Instances: 9, Engines: 10, Models: 1, ServiceReplicas: 4, Workspaces: 10, Capacity: 32}
	Vatuwai = Shape{Regions: 1, DataCentres: 3, Instances: 9, Engines: 12, Models: 1, ServiceReplicas: 3, Workspaces: 10, Capacity: 32}
)

// KeyHash returns the hex SHA-256 of a workspace's API key.
func KeyHash(ws fleet.WorkspaceID) string {
	h := sha256.Sum256([]byte("key-of-" + string(ws)))
	return hex.EncodeToString(h[:])
}

// WorkspaceID returns the ID of the i-th workspace.
func WorkspaceID(i int) fleet.WorkspaceID { return fleet.WorkspaceID(fmt.Sprintf("w%03d", i)) }

// ModelID returns the ID of the i-th model.
func ModelID(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("model-%d", i)) }

// GateService is the only service of the fleets that Build creates.
const GateService fleet.ServiceID = "gate"

func dataCentreID(i int) fleet.DataCentreID { return fleet.DataCentreID(fmt.Sprintf("dc%d", i+1)) }

// Build publishes a fleet of the given shape and starts its routers.
func (w *World) Build(s Shape) {
	w.Publish(s)
	for _, in := range w.Platform.Instances() {
		w.AddNode(in.ID, in.DataCentre)
	}
}

// Publish publishes a fleet of the given shape without starting its routers.
func (w *World) Publish(s Shape) {
	w.Platform.PublishConfig(s.config())
	var es []fleet.Endpoint
	for i := range s.Engines {
		es = append(es, s.engine(i))
	}
	for i := range s.ServiceReplicas {
		es = append(es, s.service(i))
	}
	for _, e := range es {
		w.AddEndpoint(e)
	}
	w.Platform.PublishEndpoints(es)
	var in []fleet.Instance
	for i := range s.Instances {
		id := fleet.InstanceID(fmt.Sprintf("i%03d", i+1))
		in = append(in, fleet.Instance{ID: id, DataCentre: dataCentreID(i % s.DataCentres), PeerAddr: string(id)})
	}
	w.Platform.PublishInstances(in)
}

func (s Shape) engine(i int) fleet.Endpoint {
	return fleet.Endpoint{
		ID:         fleet.EndpointID(fmt.Sprintf("e%03d", i+1)),
		DataCentre: dataCentreID(i % s.DataCentres),
		Addr:       fmt.Sprintf("e%03d", i+1),
		Kind:       fleet.Engine,
		Model:      ModelID(i / s.DataCentres % s.Models),
		Capacity:   s.Capacity,
	}
}

func (s Shape) service(i int) fleet.Endpoint {
	return fleet.Endpoint{
		ID:         fleet.EndpointID(fmt.Sprintf("s%03d", i+1)),
		DataCentre: dataCentreID(i % s.DataCentres),
		Addr:       fmt.Sprintf("s%03d", i+1),
		Kind:       fleet.Service,
		Service:    GateService,
		Capacity:   s.Capacity,
	}
}

func (s Shape) config() fleet.Configuration {
	c := fleet.Configuration{
		Workspaces:  map[fleet.WorkspaceID]fleet.Workspace{},
		Plans:       map[fleet.PlanID]fleet.Plan{},
		DataCentres: map[fleet.DataCentreID]fleet.DataCentre{},
	}
	plan := fleet.Plan{ID: "standard", Services: []fleet.ServiceID{GateService}, Priority: 1}
	for i := range s.Models {
		plan.Models = append(plan.Models, ModelID(i))
	}
	c.Plans[plan.ID] = plan
	for i := range s.Workspaces {
		id := WorkspaceID(i)
		c.Workspaces[id] = fleet.Workspace{ID: id, Plan: plan.ID, KeyHashes: []string{KeyHash(id)}}
	}
	for i := range s.DataCentres {
		region := fleet.RegionID(fmt.Sprintf("region-%d", i%s.Regions+1))
		c.DataCentres[dataCentreID(i)] = fleet.DataCentre{ID: dataCentreID(i), Region: region}
	}
	return c
}
