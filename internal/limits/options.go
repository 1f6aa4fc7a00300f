package limits

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options sets who a router is and the times of its loans.
type Options struct {
	Self       fleet.InstanceID
	DataCentre fleet.DataCentreID

	Burst                   time.Duration // for which a bucket holds its rate
	BatchTTL                time.Duration // of borrowed requests and tokens
	TransferTTL             time.Duration // of requests and tokens from another data centre
	TransferRequestInterval time.Duration // between two asks to the other data centres
	MaxHold                 time.Duration // for which a request may hold a slot
	IdleHold                time.Duration // for which a borrower keeps an unused slot
	RaiseDelay              time.Duration // after which a raised share is in force, when all know the configuration
	MaxAccounts             int           // workspaces of which an owner keeps state
	MaxWaiting              int           // requests that wait for a reply at a borrower
}

// DefaultOptions returns the options of a router in production.
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

// loanHold is the longest time for which a slot is lent to a borrower.
func (o *Options) loanHold() time.Duration { return o.MaxHold + o.IdleHold }

// transferHold is the time for which slots are lent to another data centre.
func (o *Options) transferHold() time.Duration { return 2 * o.loanHold() }

// Owners tells who owns workspaces and how far this router is backed as owner.
type Owners interface {
	// Owner returns the owner of a workspace in this data centre, "" when there is none.
	Owner(fleet.WorkspaceID) fleet.InstanceID
	// RemoteOwner returns the owner of a workspace in another data centre, "" when there is none.
	RemoteOwner(fleet.WorkspaceID, fleet.DataCentreID) fleet.InstanceID
	// VoteShareSince returns the share of the routers of this data centre that have
	// backed this router as owner without a break since from, 0 when it is not the owner.
	VoteShareSince(ws fleet.WorkspaceID, from time.Time) float64
}

// portion returns how much of a data centre's part an owner with a share of backers
// may use. Portions of owners whose shares add up to one add up to one at most, and an owner
// keeps the whole while a third of the routers do not answer.
func portion(share float64) float64 {
	return min(max(3*share-1, 0), 1)
}
