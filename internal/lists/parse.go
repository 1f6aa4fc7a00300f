package lists

import (
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

// Fault is an error or warning about a list. Its File is the name of the list.
type Fault = tomldoc.Fault

// Parse parses and validates the three lists and returns the configuration that they describe. The
// configuration is nil if any fault is an error.
func Parse(revision fleet.Revision, plans, entitlements, state string) (*fleet.Configuration, []Fault) {
	p := &parser{cfg: &fleet.Configuration{
		Revision:              revision,
		Workspaces:            map[fleet.WorkspaceID]fleet.Workspace{},
		Plans:                 map[fleet.PlanID]fleet.Plan{},
		DataCentres:           map[fleet.DataCentreID]fleet.DataCentre{},
		EndpointsOutOfService: map[fleet.EndpointID]bool{},
	}}
	e := p.parseEntitlements(entitlements)
	w := p.parsePlans(plans)
	s := p.parseState(state)
	faults := slices.Concat(w.Faults(), e.Faults(), s.Faults())
	if tomldoc.HasErrors(faults) {
		return nil, faults
	}
	return p.cfg, faults
}

type parser struct {
	cfg       *fleet.Configuration
	havePlans bool // the list of entitlements was parsed and is not empty, so references to plans can be checked
}
