package lists

import (
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Fault is one thing that is wrong in a list. Its File is the name of the list.
type Fault = tomldoc.Fault

// Parse checks the three lists and builds the configuration that they describe. The
// configuration is nil when a fault is more than a warning.
func Parse(revision fleet.Revision, plans, entitlements, state string) (*fleet.Configuration, []Fault) {
	p := &parser{cfg: &fleet.Configuration{
		Revision:              revision,
		Workspaces:            map[fleet.WorkspaceID]fleet.Workspace{},
		Plans:                 map[fleet.PlanID]fleet.Plan{},
		DataCentres:           map[fleet.DataCentreID]fleet.DataCentre{},
		EndpointsOutOfService: map[fleet.EndpointID]bool{},
	}}
	e := p.entitlements(entitlements)
	w := p.plans(plans)
	s := p.state(state)
	faults := slices.Concat(w.Faults(), e.Faults(), s.Faults())
	if tomldoc.HasErrors(faults) {
		return nil, faults
	}
	return p.cfg, faults
}

type parser struct {
	cfg        *fleet.Configuration
	plansKnown bool // the list of entitlements could be read and is not empty
}
