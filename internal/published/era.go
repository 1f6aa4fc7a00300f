package published

import "github.com/dandelionvane/dandelionvane/internal/fleet"

// The store may return from an outage with an older copy of its content. It then begins the next era and assigns
// the revisions since that copy again. A revision in this package therefore holds the era in its upper bits: any
// revision of an era is higher than all of earlier eras.

// revisionBits is the number of bits for the store's own revision.
const revisionBits = 40

const revisionMask = 1<<revisionBits - 1

// MaxEra is the highest era that a revision can hold.
const MaxEra = 1<<(64-revisionBits) - 1

// InEra returns the revision for a revision of the store in an era.
func InEra(era uint64, r fleet.Revision) fleet.Revision {
	return fleet.Revision(era)<<revisionBits | r&revisionMask
}

// EraOf returns the era of a revision.
func EraOf(r fleet.Revision) uint64 { return uint64(r >> revisionBits) }

// StoreRevision returns the store's own revision for a revision.
func StoreRevision(r fleet.Revision) fleet.Revision { return r & revisionMask }

// supersedes reports whether a record of a key replaces the one before it. Configurations are numbered: one with a
// lower version is a copy of a former one. In a later era, an endpoint's earlier incarnation is one too, and an
// incarnation that is leaving stays so.
func supersedes(next, last Record, laterEra bool) bool {
	switch next := next.(type) {
	case Config:
		last, ok := last.(Config)
		return !ok || next.Config.Version >= last.Config.Version
	case Endpoint:
		last, ok := last.(Endpoint)
		if !ok || !laterEra {
			return true
		}
		if next.Endpoint.Incarnation != last.Endpoint.Incarnation {
			return next.Endpoint.Incarnation > last.Endpoint.Incarnation
		}
		return next.Endpoint.Leaving || !last.Endpoint.Leaving
	default:
		return true
	}
}

// Bounds of what may have been written between two messages from the store, or from a peer.
const (
	maxEraStep      = 64
	maxRevisionStep = 1 << 32
)

// Follows reports whether a revision may come after the known one, 0 for none. One that is farther away is a fault of its
// sender: in a mirror, it would rule out everything that the store writes from then on.
func Follows(known, next fleet.Revision) bool {
	if known == 0 || next <= known {
		return true
	}
	return EraOf(next)-EraOf(known) <= maxEraStep && StoreRevision(next) <= StoreRevision(known)+maxRevisionStep
}
