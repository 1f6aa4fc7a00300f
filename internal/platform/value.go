package platform

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// ParseConfig parses the three documents of a configuration: plans, entitlements and state.
type ParseConfig func(rev fleet.Revision, plans, entitlements, state string) (*fleet.Configuration, error)

// decoder decodes a published value into an event.
type decoder func(b []byte) (core.Event, error)

// decodeRevision decodes the revision, which is common to all values.
func decodeRevision(b []byte) (fleet.Revision, error) {
	var v struct {
		Revision fleet.Revision `json:"revision"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return 0, errors.Wrap(err, "platform: decode value")
	}
	if v.Revision == 0 {
		return 0, errors.New("platform: value without a revision")
	}
	return v.Revision, nil
}

func configDecoder(parse ParseConfig) decoder {
	return func(b []byte) (core.Event, error) {
		var v struct {
			Revision     fleet.Revision `json:"revision"`
			Plans        string         `json:"plans"`
			Entitlements string         `json:"entitlements"`
			State        string         `json:"state"`
		}
		if err := json.Unmarshal(b, &v); err != nil {
			return nil, errors.Wrap(err, "platform: decode configuration")
		}
		cfg, err := parse(v.Revision, v.Plans, v.Entitlements, v.State)
		if err != nil {
			return nil, err
		}
		return core.PublishedConfig{Config: cfg}, nil
	}
}

func decodeInstances(b []byte) (core.Event, error) {
	var v struct {
		Revision  fleet.Revision   `json:"revision"`
		Instances []fleet.Instance `json:"instances"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, errors.Wrap(err, "platform: decode instances")
	}
	seen := map[fleet.InstanceID]bool{}
	for _, in := range v.Instances {
		if in.ID == "" || in.DataCentre == "" || seen[in.ID] || !isAddrPort(in.PeerAddr) {
			return nil, errors.Errorf("platform: instance %q is incomplete or listed twice", in.ID)
		}
		seen[in.ID] = true
	}
	fleet.SortInstances(v.Instances)
	return core.PublishedInstances{List: &fleet.InstanceList{Revision: v.Revision, Instances: v.Instances}}, nil
}

func decodeEndpoints(b []byte) (core.Event, error) {
	var v struct {
		Revision  fleet.Revision   `json:"revision"`
		Endpoints []fleet.Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, errors.Wrap(err, "platform: decode endpoints")
	}
	seen := map[fleet.EndpointID]bool{}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if !isValidEndpoint(e) || seen[e.ID] {
			return nil, errors.Errorf("platform: endpoint %q is incomplete or listed twice", e.ID)
		}
		seen[e.ID] = true
	}
	fleet.SortEndpoints(v.Endpoints)
	return core.PublishedEndpoints{List: &fleet.EndpointList{Revision: v.Revision, Endpoints: v.Endpoints}}, nil
}

func isValidEndpoint(e *fleet.Endpoint) bool {
	if e.ID == "" || e.DataCentre == "" || e.Capacity < 0 || !isAddrPort(e.Addr) {
		return false
	}
	switch e.Kind {
	case fleet.Engine:
		return e.Model != "" && e.Service == ""
	case fleet.Service:
		return e.Service != "" && e.Model == ""
	default:
		return false
	}
}

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
