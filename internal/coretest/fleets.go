package coretest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Shape is the size of a deployment.
type Shape struct {
	Regions     int
	DataCentres int // over all regions
	Instances   int
	Engines     int // over all models
	Models      int
	Services    int // replicas of the service "gate"
	Workspaces  int
	Capacity    int // concurrent requests of an engine
}

// Coulee is the first deployment of the brief, Vatuwai the second.
var (
	Coulee  = Shape{Regions: 1, DataCentres: 4, Instances: 9, Engines: 10, Models: 1, Services: 4, Workspaces: 10, Capacity: 32}
	Vatuwai = Shape{Regions: 1, DataCentres: 3, Instances: 9, Engines: 12, Models: 1, Services: 3, Workspaces: 10, Capacity: 32}
)

// Key returns the bearer key hash of a workspace.
func Key(ws fleet.WorkspaceID) string {
	h := sha256.Sum256([]byte("key-of-" + string(ws)))
	return hex.EncodeToString(h[:])
}

// Workspace returns the ID of the i-th workspace.
func Workspace(i int) fleet.WorkspaceID { return fleet.WorkspaceID(fmt.Sprintf("w%03d", i)) }

// Model returns the ID of the i-th model.
func Model(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("model-%d", i)) }

// GateService is the plain service of the built deployments.
const GateService fleet.ServiceID = "gate"

func dataCentre(i int) fleet.DataCentreID { return fleet.DataCentreID(fmt.Sprintf("dc%d", i+1)) }

// Build publishes a deployment of a shape and starts its routers.
func (w *World) Build(s Shape) {
	w.Publish(s)
	for _, in := range w.Platform.Instances() {
		w.AddNode(in.ID, in.DataCentre)
	}
}

// Publish publishes a deployment of a shape.
func (w *World) Publish(s Shape) {
	w.Platform.PublishConfig(s.config())
	var es []fleet.Endpoint
	for i := range s.Engines {
		es = append(es, s.engine(i))
	}
	for i := range s.Services {
		es = append(es, s.service(i))
	}
	for _, e := range es {
		w.AddEndpoint(e)
	}
	w.Platform.PublishEndpoints(es)
	var in []fleet.Instance
	for i := range s.Instances {
		id := fleet.InstanceID(fmt.Sprintf("i%03d", i+1))
		in = append(in, fleet.Instance{ID: id, DataCentre: dataCentre(i % s.DataCentres), PeerAddr: string(id)})
	}
	w.Platform.PublishInstances(in)
}

func (s Shape) engine(i int) fleet.Endpoint {
	return fleet.Endpoint{
		ID:         fleet.EndpointID(fmt.Sprintf("e%03d", i+1)),
		DataCentre: dataCentre(i % s.DataCentres),
		Addr:       fmt.Sprintf("e%03d", i+1),
		Kind:       fleet.Engine,
		Model:      Model(i / s.DataCentres % s.Models),
		Capacity:   s.Capacity,
	}
}

func (s Shape) service(i int) fleet.Endpoint {
	return fleet.Endpoint{
		ID:         fleet.EndpointID(fmt.Sprintf("s%03d", i+1)),
		DataCentre: dataCentre(i % s.DataCentres),
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
		plan.Models = append(plan.Models, Model(i))
	}
	c.Plans[plan.ID] = plan
	for i := range s.Workspaces {
		id := Workspace(i)
		c.Workspaces[id] = fleet.Workspace{ID: id, Plan: plan.ID, KeyHashes: []string{Key(id)}}
	}
	for i := range s.DataCentres {
		region := fleet.RegionID(fmt.Sprintf("region-%d", i%s.Regions+1))
		c.DataCentres[dataCentre(i)] = fleet.DataCentre{ID: dataCentre(i), Region: region}
	}
	return c
}
