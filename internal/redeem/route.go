package redeem

import (
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// heirCandidates is how many possible heirs of a gone issuer are asked.
const heirCandidates = 3

// TicketCandidates returns the instances that may answer for a ticket, in the order
// in which to ask them: its issuer while that is listed, then its possible heirs.
func TicketCandidates(v *fleet.View, t wire.TicketID, usable func(fleet.InstanceID) bool) []fleet.InstanceID {
	var out []fleet.InstanceID
	if v.Instance(t.Issuer) != nil {
		out = append(out, t.Issuer)
	}
	var excluded []fleet.InstanceID
	for range heirCandidates {
		heir := Successor(v, t.Issuer, t.DataCentre, usable, excluded)
		if heir == "" {
			break
		}
		excluded = append(excluded, heir)
		out = append(out, heir)
	}
	return out
}

// Successor returns the usable instance of a data centre that is next by rendezvous
// hashing on an issuer's ID, without the issuer and the excluded ones, or "".
func Successor(v *fleet.View, issuer fleet.InstanceID, dc fleet.DataCentreID, usable func(fleet.InstanceID) bool, excluded []fleet.InstanceID) fleet.InstanceID {
	key := fleet.Hash(string(issuer))
	var best fleet.InstanceID
	var weight uint64
	for _, in := range v.InstancesIn(dc) {
		if in.ID == issuer || in.Leaving || !usable(in.ID) || slices.Contains(excluded, in.ID) {
			continue
		}
		if w := fleet.Weight(key, v.InstanceHash(in.ID)); best == "" || w > weight {
			best, weight = in.ID, w
		}
	}
	return best
}
