package deployment

import (
	"fmt"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

// Spec specifies a deployment.
type Spec struct {
	Region      fleet.RegionID
	DataCentres []fleet.DataCentreID
	Routers     []RouterSpec
	Engines     []EngineSpec
	Services    []ServiceSpec
	Plans       []fleet.Plan
	Workspaces  []WorkspaceSpec
}

// RouterSpec specifies a router instance.
type RouterSpec struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentreID
}

// EngineSpec specifies a model engine.
type EngineSpec struct {
	DataCentre fleet.DataCentreID
	Config     engine.Config
}

// ServiceSpec specifies a replica of a service that is not a model.
type ServiceSpec struct {
	DataCentre fleet.DataCentreID
	Service    fleet.ServiceID
	Config     service.Config
}

// WorkspaceSpec specifies a workspace.
type WorkspaceSpec struct {
	ID     fleet.WorkspaceID
	Plan   fleet.PlanID
	APIKey string // bearer key
}

// Models and service of the deployment returned by Coulee.
const (
	AssistantModel fleet.ModelID   = "assistant"
	BookingModel   fleet.ModelID   = "booking"
	GateService    fleet.ServiceID = "gate"
)

// Plans of the deployment returned by Coulee.
const (
	AllModelsPlan     fleet.PlanID = "yard"
	AssistantOnlyPlan fleet.PlanID = "office"
)

// Coulee returns an example deployment of four data centres with nine routers, ten engines of the assistant model, four
// engines of the booking model and a gate service with one replica in each data centre.
func Coulee() Spec {
	s := Spec{
		Region:      "prairie",
		DataCentres: []fleet.DataCentreID{"dc1", "dc2", "dc3", "dc4"},
		Plans: []fleet.Plan{
			{ID: AllModelsPlan, Models: []fleet.ModelID{AssistantModel, BookingModel}, Services: []fleet.ServiceID{GateService}, Priority: 5},
			{ID: AssistantOnlyPlan, Models: []fleet.ModelID{AssistantModel}, Services: []fleet.ServiceID{GateService}, Priority: 1},
		},
	}
	for i := range 9 {
		s.Routers = append(s.Routers, RouterSpec{fleet.InstanceID(fmt.Sprintf("router-%d", i+1)), s.dataCentre(i)})
	}
	for i := range 10 {
		s.addEngine(i, AssistantModel)
	}
	for i := range 4 {
		s.addEngine(i, BookingModel)
	}
	for i, dc := range s.DataCentres {
		s.Services = append(s.Services, ServiceSpec{dc, GateService, service.Config{
			ID: fmt.Sprintf("gate-%d", i+1), Capacity: 64, Delay: 5 * time.Millisecond,
		}})
	}
	for i := range 10 {
		plan := AllModelsPlan
		if i >= 6 {
			plan = AssistantOnlyPlan
		}
		id := fmt.Sprintf("workspace-%d", i+1)
		s.Workspaces = append(s.Workspaces, WorkspaceSpec{fleet.WorkspaceID(id), plan, "key-of-" + id})
	}
	return s
}

func (s *Spec) dataCentre(i int) fleet.DataCentreID { return s.DataCentres[i%len(s.DataCentres)] }

func (s *Spec) addEngine(i int, m fleet.ModelID) {
	cfg := engine.DefaultConfig(fleet.EndpointID(fmt.Sprintf("%s-%d", m, i+1)))
	cfg.Model = m
	cfg.Capacity = 16
	cfg.TokenInterval = 10 * time.Millisecond
	cfg.LoadReportDelay = 200 * time.Millisecond
	cfg.CacheEventDelay = 500 * time.Millisecond
	cfg.DropEveryNthEvent = 7
	cfg.ColdStartDuration = 3 * time.Second
	cfg.ColdCapacity = 2
	cfg.ChecksFence = i%2 == 0
	s.Engines = append(s.Engines, EngineSpec{s.dataCentre(i), cfg})
}
