package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/contention"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Reason is why a request is not served.
type Reason uint8

// Reasons for not serving a request.
const (
	ReasonNone             Reason = iota
	ReasonNoConfig                // no configuration has been received yet
	ReasonStale                   // the local snapshot of the store is older than its staleness bound
	ReasonNoRoute                 // no route matches
	ReasonUnauthenticated         // the API key is not in the configuration
	ReasonNoEndpoint              // no endpoint is eligible for the request
	ReasonRefused                 // endpoints refused the request
	ReasonRetryBudget             // endpoints failed, and the retry budget is exhausted
	ReasonMayHaveRun              // a failed endpoint may have run the request, which is not idempotent
	ReasonOriginUnknown           // it is not known at which version the resumed stream began
	ReasonVersionGone             // no endpoint of the version at which the resumed stream began is listed
	ReasonNoMemory                // the memory for bodies is in use
	ReasonStopping                // a planned stop would end before the request's time limit
	ReasonOnTrial                 // the request is suspected of crashing endpoints, and another attempt of it is on trial
	ReasonCrashesEndpoints        // the request crashes the endpoints that run it
	ReasonContention              // the service has no room for the request, see package contention
)

// String returns the reason's stable name in logs and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonNoConfig:
		return "no_config"
	case ReasonStale:
		return "stale_config"
	case ReasonNoRoute:
		return "no_route"
	case ReasonUnauthenticated:
		return "unauthenticated"
	case ReasonNoEndpoint:
		return "no_endpoint"
	case ReasonRefused:
		return "refused"
	case ReasonRetryBudget:
		return "retry_budget"
	case ReasonMayHaveRun:
		return "may_have_run"
	case ReasonOriginUnknown:
		return "origin_unknown"
	case ReasonVersionGone:
		return "version_gone"
	case ReasonNoMemory:
		return "no_memory"
	case ReasonStopping:
		return "stopping"
	case ReasonOnTrial:
		return "on_trial"
	case ReasonCrashesEndpoints:
		return "crashes_endpoints"
	case ReasonContention:
		return "contention"
	default:
		return "invalid"
	}
}

// AdmissionRequest holds the properties of a caller's request that Admit evaluates.
type AdmissionRequest struct {
	Host          string
	Path          string
	APIKey        string
	CallerTimeout time.Duration // the caller's own timeout; 0: not given
	Affinity      uint64        // hash of the prompt's shared prefix; 0: none
	Resumed       bool          // the caller goes on with a stream that has begun
}

// Admission is the result of Admit. A request with a Reason other than ReasonNone is not
// served.
type Admission struct {
	Reason      Reason
	RetryAfter  time.Duration
	Route       *routing.Route
	Service     fleet.ServiceID
	Workspace   fleet.WorkspaceID
	Priority    int // of the workspace and the route, and lower above the workspace's share, see routing.Table.Priority; 0 is the highest
	Timeout     time.Duration
	HeaderLimit int               // bytes, 0: none
	BodyLimit   int64             // bytes, 0: none
	Revision    fleet.Revision    // of the store snapshot that the decision is based on
	SnapshotAge time.Duration     // age of that snapshot
	Hold        bool              // see State.AwaitsEvidence
	Contention  contention.Reason // with ReasonContention
}

// Goal returns the goal of a request whose route is known.
func (ad *Admission) Goal() cost.Goal {
	return cost.Goal{Latency: ad.Route.GoalLatency, EventGap: ad.Route.GoalEventGap, Priority: ad.Priority}
}

// admissionRetryAfter is the mean retry-after of a request that Admit rejects. The local snapshot is
// usually renewed within this time, by a read of the store or by a peer's Status.
const admissionRetryAfter = 500 * time.Millisecond

// Admit decides whether a request is served, and if so, resolves its route, workspace,
// priority, timeout and service. Admitted requests count towards the retry budget.
func (s *State) Admit(now boottime.Instant, req AdmissionRequest) Admission {
	ad := Admission{Revision: s.mirror.Revision(), SnapshotAge: s.SnapshotAge(now)}
	if reason := s.findRoute(now, req.Host, req.Path, &ad); reason != ReasonNone {
		return s.reject(ad, reason)
	}
	if reason := s.authenticate(now, req.APIKey, &ad); reason != ReasonNone {
		return s.reject(ad, reason)
	}
	ad.Timeout = requestTimeout(ad.Route, req.CallerTimeout)
	ad.Service = s.pickService(ad.Route, req.Affinity)
	ad.Hold = s.AwaitsEvidence(now)
	s.retryWindow(ad.Service).CountRequest(now)
	d := s.admitUnderContention(now, &req, &ad)
	if !d.Admitted {
		ad.Reason, ad.RetryAfter, ad.Contention = ReasonContention, d.RetryAfter, d.Reason
	}
	if d.AboveShare {
		ad.Priority = s.table.Priority(s.table.WorkspaceByID(ad.Workspace), ad.Route, true)
	}
	return ad
}

// findRoute sets the route and the limits of ad.
func (s *State) findRoute(now boottime.Instant, host, path string, ad *Admission) Reason {
	if s.table == nil {
		return ReasonNoConfig
	}
	ad.HeaderLimit, ad.BodyLimit = s.table.Config().Limits.MaxHeaderBytes, s.table.Config().Limits.MaxBodyBytes
	ad.Route = s.table.Route(host, path)
	if ad.Route == nil {
		return s.denialReason(now, ReasonNoRoute)
	}
	return ReasonNone
}

func (s *State) reject(ad Admission, r Reason) Admission {
	ad.Reason = r
	ad.RetryAfter = s.jitterRetryAfter(admissionRetryAfter)
	return ad
}

// jitterRetryAfter returns a duration uniformly distributed between 3/4 and 5/4 of d. The jitter
// keeps callers that were rejected at the same time from retrying at the same time.
func (s *State) jitterRetryAfter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d)/2+1))
}

// authenticate resolves an API key to its workspace and sets the workspace and priority of ad.
// Public routes are served without a valid key.
func (s *State) authenticate(now boottime.Instant, key string, ad *Admission) Reason {
	return s.authorize(now, key != "", s.table.Workspace(key), ad)
}

// authorize is authenticate for a key that belongs to a workspace, or to none if w is nil. Such a key is refused also where none is
// required: the configuration may have taken it away with the list of workspaces.
func (s *State) authorize(now boottime.Instant, hasKey bool, w *routing.Workspace, ad *Admission) Reason {
	ad.Priority = s.table.Priority(nil, ad.Route, false)
	if !hasKey && (ad.Route.Public || !s.table.KeysRequired()) {
		return ReasonNone
	}
	if !s.freshEnoughForAuth(now) {
		if ad.Route.Public {
			return ReasonNone
		}
		return ReasonStale
	}
	if w == nil {
		if ad.Route.Public {
			return ReasonNone
		}
		return s.denialReason(now, ReasonUnauthenticated)
	}
	ad.Workspace = w.ID
	ad.Priority = s.table.Priority(w, ad.Route, false)
	return ReasonNone
}

// denialReason returns the reason for rejecting a request whose route or API key is not found: r,
// or the retryable ReasonStale if the snapshot is older than DenialStalenessBound, because the
// route or key may have been published since.
func (s *State) denialReason(now boottime.Instant, r Reason) Reason {
	if s.SnapshotAge(now) > s.opts.DenialStalenessBound {
		return ReasonStale
	}
	return r
}

func requestTimeout(r *routing.Route, callerTimeout time.Duration) time.Duration {
	switch {
	case r.Timeout <= 0:
		return callerTimeout
	case callerTimeout <= 0:
		return r.Timeout
	default:
		return min(r.Timeout, callerTimeout)
	}
}

// pickService picks one of a route's services at random by weight. Requests with the same
// prompt prefix always go to the same service, so that they reuse the prompt caches of its
// endpoints.
func (s *State) pickService(r *routing.Route, affinity uint64) fleet.ServiceID {
	total := totalWeight(r)
	if len(r.Targets) == 1 || total <= 0 {
		return r.Targets[0].Service
	}
	x := s.rng.Float64() * total
	if affinity != 0 {
		x = affinityPoint(r, affinity) * total
	}
	return serviceAt(r, x)
}

func totalWeight(r *routing.Route) float64 {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	return total
}

// affinityPoint returns a number from 0 to 1 that takes the place of a random one for requests with an affinity.
func affinityPoint(r *routing.Route, affinity uint64) float64 {
	return float64(fleet.Weight(affinity, fleet.Hash(r.Prefix))>>11) / (1 << 53)
}

// serviceAt returns the service of a route in whose part of the total weight x lies.
func serviceAt(r *routing.Route, x float64) fleet.ServiceID {
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
