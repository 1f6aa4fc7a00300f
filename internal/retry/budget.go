package retry

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options sets the sizes of the budgets.
type Options struct {
	Ratio               float64 // retries earned by one first attempt
	RouterBurst         float64 // retries that the router's budget holds at most
	PerKeyBurst         float64 // retries that the budget of a workspace or endpoint holds at most
	PerKeyInitialCredit float64 // retries that the budget of a workspace or endpoint starts with
	PerKeyRatio         float64 // retries that one first attempt earns its workspace and its endpoint
	MaxWorkspaces       int     // budgets kept
	MaxEndpoints        int     // budgets kept
}

// DefaultOptions returns the options of a router in production.
func DefaultOptions() Options {
	return Options{
		Ratio:               0.1,
		RouterBurst:         20,
		PerKeyBurst:         5,
		PerKeyInitialCredit: 1,
		PerKeyRatio:         0.2,
		MaxWorkspaces:       1024,
		MaxEndpoints:        2048,
	}
}

// Verdict says whether a retry may be made, or which budget is used up.
type Verdict uint8

// The verdicts on a retry.
const (
	Allowed Verdict = iota + 1
	DeniedByRouter
	DeniedByWorkspace
	DeniedByEndpoint
	DeniedByDeadline
)

// String returns the verdict's stable name.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case DeniedByRouter:
		return "router_budget"
	case DeniedByWorkspace:
		return "workspace_budget"
	case DeniedByEndpoint:
		return "endpoint_budget"
	case DeniedByDeadline:
		return "deadline"
	default:
		return "invalid"
	}
}

// Budget holds the retry budgets of one router.
type Budget struct {
	opt        Options
	router     float64
	workspaces *table[fleet.WorkspaceID]
	endpoints  *table[fleet.EndpointID]
}

// NewBudget returns a Budget in which the router's bucket is empty.
func NewBudget(opt Options) *Budget {
	return &Budget{
		opt:        opt,
		workspaces: newTable[fleet.WorkspaceID](opt.MaxWorkspaces),
		endpoints:  newTable[fleet.EndpointID](opt.MaxEndpoints),
	}
}

// FirstAttempt records the first attempt of a request.
func (b *Budget) FirstAttempt(ws fleet.WorkspaceID, ep fleet.EndpointID) {
	b.router = min(b.router+b.opt.Ratio, b.opt.RouterBurst)
	w := b.workspaces.get(ws, b.opt.PerKeyInitialCredit)
	*w = min(*w+b.opt.PerKeyRatio, b.opt.PerKeyBurst)
	e := b.endpoints.get(ep, b.opt.PerKeyInitialCredit)
	*e = min(*e+b.opt.PerKeyRatio, b.opt.PerKeyBurst)
}

// Retry withdraws a retry of the workspace at the endpoint, or says which budget
// has not enough left. A denied retry withdraws nothing.
func (b *Budget) Retry(ws fleet.WorkspaceID, ep fleet.EndpointID) Verdict {
	if b.router < 1 {
		return DeniedByRouter
	}
	w := b.workspaces.get(ws, b.opt.PerKeyInitialCredit)
	if *w < 1 {
		return DeniedByWorkspace
	}
	e := b.endpoints.get(ep, b.opt.PerKeyInitialCredit)
	if *e < 1 {
		return DeniedByEndpoint
	}
	b.router--
	*w--
	*e--
	return Allowed
}

// Left returns the retries that the router's bucket holds.
func (b *Budget) Left() float64 { return b.router }
