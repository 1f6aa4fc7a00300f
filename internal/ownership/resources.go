package ownership

import (
	"sort"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// EndpointResource returns the resource of an endpoint's admission control.
func EndpointResource(id fleet.EndpointID) wire.Resource {
	return wire.Resource{Kind: wire.ResourceEndpoint, ID: fleet.Hash(string(id))}
}

// WorkspaceResource returns the resource of a workspace's quota.
func WorkspaceResource(id fleet.WorkspaceID) wire.Resource {
	return wire.Resource{Kind: wire.ResourceWorkspace, ID: fleet.Hash(string(id))}
}

// KeySlotResource returns the resource of a key slot.
func KeySlotResource(slot int) wire.Resource {
	return wire.Resource{Kind: wire.ResourceKeySlot, ID: uint64(slot)}
}

// KeySlotDataCentre returns the data centre to which a key slot is assigned. It depends only on
// the set of configured data centres, not on their service state.
func KeySlotDataCentre(v *fleet.View, slot int) fleet.DataCentreID {
	var best fleet.DataCentreID
	var top uint64
	key := fleet.Weight(uint64(slot), uint64(wire.ResourceKeySlot))
	for id := range v.Config.DataCentres {
		w := fleet.Weight(key, fleet.Hash(string(id)))
		if best == "" || w > top || (w == top && id < best) {
			best, top = id, w
		}
	}
	return best
}

// resources returns all resources of the data centre.
func (s *State) resources() []wire.Resource {
	var out []wire.Resource
	for _, e := range s.view.EndpointsIn(s.dc) {
		out = append(out, wire.Resource{Kind: wire.ResourceEndpoint, ID: s.view.EndpointHash(e.ID)})
	}
	for id := range s.view.Config.Workspaces {
		out = append(out, WorkspaceResource(id))
	}
	for slot := range KeySlots {
		if KeySlotDataCentre(s.view, slot) == s.dc {
			out = append(out, KeySlotResource(slot))
		}
	}
	return out
}

func resourceKey(r wire.Resource) uint64 { return fleet.Weight(r.ID, uint64(r.Kind)) }

func sortResources(rs []wire.Resource) {
	sort.Slice(rs, func(i, j int) bool {
		if rs[i].Kind != rs[j].Kind {
			return rs[i].Kind < rs[j].Kind
		}
		return rs[i].ID < rs[j].ID
	})
}
