package retry

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/lru"
)

// Options configures a Budget. A per-key bucket is that of one workspace or one endpoint.
type Options struct {
	RouterRatio         float64 // tokens that a first attempt adds to the router's bucket
	RouterBurst         float64 // capacity of the router's bucket
	PerKeyBurst         float64 // capacity of the bucket of a workspace or endpoint
	PerKeyInitialTokens float64 // initial tokens of the bucket of a workspace or endpoint
	PerKeyRatio         float64 // tokens that a first attempt adds to the buckets of its workspace and endpoint
	MaxWorkspaces       int     // maximum number of workspace buckets
	MaxEndpoints        int     // maximum number of endpoint buckets
}

// DefaultOptions returns the options for production routers.
func DefaultOptions() Options {
	return Options{
		RouterRatio:         0.1,
		RouterBurst:         20,
		PerKeyBurst:         5,
		PerKeyInitialTokens: 1,
		PerKeyRatio:         0.2,
		MaxWorkspaces:       1024,
		MaxEndpoints:        2048,
	}
}

// Verdict is the decision on a retry: allowed, or the limit that denies it.
type Verdict uint8

// Decisions on a retry.
const (
	Allowed Verdict = iota + 1
	DeniedByRouter
	DeniedByWorkspace
	DeniedByEndpoint
	DeniedByDeadline // reserved: AllowRetry does not check the deadline
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

// Budget holds the retry token buckets of one router. A bucket that was evicted starts with its initial tokens again; the
// router's bucket, which is never evicted, bounds the additional retries.
type Budget struct {
	opts       Options
	router     float64
	workspaces *lru.Table[fleet.WorkspaceID, float64]
	endpoints  *lru.Table[fleet.EndpointID, float64]
}

// NewBudget returns a Budget whose router bucket is empty.
func NewBudget(opts Options) *Budget {
	return &Budget{
		opts:       opts,
		workspaces: lru.New[fleet.WorkspaceID](opts.MaxWorkspaces, opts.PerKeyInitialTokens),
		endpoints:  lru.New[fleet.EndpointID](opts.MaxEndpoints, opts.PerKeyInitialTokens),
	}
}

// FirstAttempt records the first attempt of a request and adds tokens to the three buckets.
func (b *Budget) FirstAttempt(ws fleet.WorkspaceID, ep fleet.EndpointID) {
	b.router = min(b.router+b.opts.RouterRatio, b.opts.RouterBurst)
	w := b.workspaces.Touch(ws)
	*w = min(*w+b.opts.PerKeyRatio, b.opts.PerKeyBurst)
	e := b.endpoints.Touch(ep)
	*e = min(*e+b.opts.PerKeyRatio, b.opts.PerKeyBurst)
}

// AllowRetry takes one token from each of the three buckets, or returns which bucket has less than
// one. A denied retry takes no tokens.
func (b *Budget) AllowRetry(ws fleet.WorkspaceID, ep fleet.EndpointID) Verdict {
	if b.router < 1 {
		return DeniedByRouter
	}
	w := b.workspaces.Touch(ws)
	if *w < 1 {
		return DeniedByWorkspace
	}
	e := b.endpoints.Touch(ep)
	if *e < 1 {
		return DeniedByEndpoint
	}
	b.router--
	*w--
	*e--
	return Allowed
}

// RouterTokens returns the number of tokens in the router's bucket.
func (b *Budget) RouterTokens() float64 { return b.router }
