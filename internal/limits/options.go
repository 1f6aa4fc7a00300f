package limits

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options sets the identity of a router and the timings and bounds of its quota.
type Options struct {
	Self       fleet.InstanceID
	DataCentre fleet.DataCentreID

	Burst                   time.Duration // bucket capacity, as time at the full rate
	BatchTTL                time.Duration // lifetime of borrowed requests and tokens
	TransferTTL             time.Duration // lifetime of requests and tokens from another data centre
	TransferRequestInterval time.Duration // minimum time between two requests to the other data centres
	MaxHold                 time.Duration // maximum lease of a slot for one request; a request that runs longer stops counting
	IdleHold                time.Duration // time for which a borrower keeps an unused slot
	RaiseDelay              time.Duration // time until a raised limit applies; must exceed the propagation time of a configuration
	MaxAccounts             int           // maximum number of workspaces of which an owner keeps state
	MaxWaiting              int           // maximum number of requests that wait for a reply at a borrower
}

// DefaultOptions returns the production timings and bounds.
func DefaultOptions() Options {
	return Options{
		Burst:                   time.Second,
		BatchTTL:                2 * time.Second,
		TransferTTL:             time.Second,
		TransferRequestInterval: 500 * time.Millisecond,
		MaxHold:                 2 * time.Minute,
		IdleHold:                time.Second,
		RaiseDelay:              10 * time.Second,
		MaxAccounts:             4096,
		MaxWaiting:              1024,
	}
}

// maxSlotHold returns the maximum lease duration of a slot at a borrower.
func (o *Options) maxSlotHold() time.Duration { return o.MaxHold + o.IdleHold }

// transferHold returns the maximum time for which slots are transferred to another data centre.
func (o *Options) transferHold() time.Duration { return 2 * o.maxSlotHold() }

// Owners returns the owners of workspaces and this router's vote share as an owner.
type Owners interface {
	// Owner returns the owner of a workspace in this data centre, "" when there is none.
	Owner(fleet.WorkspaceID) fleet.InstanceID
	// RemoteOwner returns the owner of a workspace in another data centre, "" when there is none.
	RemoteOwner(fleet.WorkspaceID, fleet.DataCentreID) fleet.InstanceID
	// VoteShareSince returns the fraction of the routers of this data centre that have continuously
	// voted for this router as owner since from, 0 when it is not the owner.
	VoteShareSince(ws fleet.WorkspaceID, from time.Time) float64
}

// usableFraction returns the fraction of the data centre's share of the limits that an owner with
// the given vote share may use, by the same rule as ownership.UsableFraction: if the vote shares of
// several owners add up to at most one, so do their fractions, and an owner may use the whole data
// centre's share while up to a third of the routers do not answer.
func usableFraction(voteShare float64) float64 {
	return min(max(3*voteShare-1, 0), 1)
}
