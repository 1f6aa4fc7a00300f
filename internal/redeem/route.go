package redeem

import (
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxSuccessorCandidates is the number of possible successors of an issuer that are tried.
const maxSuccessorCandidates = 3

// TicketCandidates returns the instances that may hold the record of a ticket, in the order in
// which they are to be tried: its issuer, if listed, then the possible successors.
func TicketCandidates(v *fleet.View, t wire.TicketID, usable func(fleet.InstanceID) bool) []fleet.InstanceID {
	var out []fleet.InstanceID
	if v.Instance(t.Issuer) != nil {
		out = append(out, t.Issuer)
	}
	var excluded []fleet.InstanceID
	for range maxSuccessorCandidates {
		successor := TicketSuccessor(v, t.Issuer, t.DataCentre, usable, excluded)
		if successor == "" {
			break
		}
		excluded = append(excluded, successor)
		out = append(out, successor)
	}
	return out
}

// TicketSuccessor returns the usable instance of a data centre with the highest rendezvous weight for an
// issuer's ID, except for the issuer, leaving instances and the excluded ones. It returns "" if
// there is none.
func TicketSuccessor(v *fleet.View, issuer fleet.InstanceID, dc fleet.DataCentreID, usable func(fleet.InstanceID) bool, excluded []fleet.InstanceID) fleet.InstanceID {
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
