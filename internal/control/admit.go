package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Reason says why a request is not served.
type Reason uint8

// The reasons.
const (
	ReasonNone            Reason = iota
	ReasonNoConfig               // no configuration is known yet
	ReasonStale                  // the configuration may be out of date
	ReasonNoRoute                // no route matches
	ReasonUnauthenticated        // unknown key
	ReasonNoEndpoint             // no endpoint can take the request
	ReasonRefused                // endpoints refused the request
	ReasonRetryBudget            // endpoints failed, and the budget for retries is used up
	ReasonMayHaveRun             // an endpoint failed that may have run the request, which must not be repeated
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
	default:
		return "invalid"
	}
}

// AdmissionRequest is a caller's request as far as admission needs it.
type AdmissionRequest struct {
	Host          string
	Path          string
	Key           string
	CallerTimeout time.Duration // 0: not told
	Affinity      uint64        // hash of the shared parts of the prompt, 0: none
}

// Admission is the answer to an Arrival. With a Reason the request is not served.
type Admission struct {
	Reason      Reason
	RetryAfter  time.Duration
	Route       *routing.Route
	Service     fleet.ServiceID
	Workspace   fleet.WorkspaceID
	Priority    int // 0 is the most urgent
	Timeout     time.Duration
	HeaderLimit int            // bytes, 0: none
	BodyLimit   int64          // bytes, 0: none
	Revision    fleet.Revision // of the belief that decided
	SnapshotAge time.Duration  // of that belief
}

// comeBackLater is when a caller refused for a lack of knowledge should return: the
// store or a peer is asked again within it.
const comeBackLater = 500 * time.Millisecond

// Admit decides whether a request may run.
func (s *State) Admit(now boottime.Instant, a AdmissionRequest) Admission {
	ad := Admission{Revision: s.mirror.Revision(), SnapshotAge: s.SnapshotAge(now)}
	if s.table == nil {
		return s.refuse(ad, ReasonNoConfig)
	}
	ad.HeaderLimit, ad.BodyLimit = s.table.Config().Limits.MaxHeaderBytes, s.table.Config().Limits.MaxBodyBytes
	ad.Route = s.table.Route(a.Host, a.Path)
	if ad.Route == nil {
		return s.refuse(ad, s.denial(now, ReasonNoRoute))
	}
	if reason := s.identify(now, a.Key, &ad); reason != ReasonNone {
		return s.refuse(ad, reason)
	}
	ad.Timeout = timeLimit(ad.Route, a.CallerTimeout)
	ad.Service = s.pickService(ad.Route, a.Affinity)
	s.window(ad.Service).Request(now)
	return ad
}

func (s *State) refuse(a Admission, r Reason) Admission {
	a.Reason = r
	a.RetryAfter = s.spread(comeBackLater)
	return a
}

// spread returns a time around d, so that callers who were refused together do not come
// back together.
func (s *State) spread(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d)/2+1))
}

// identify finds the workspace of a key.
func (s *State) identify(now boottime.Instant, key string, ad *Admission) Reason {
	ad.Priority = ad.Route.Priority
	if !s.table.HasWorkspaces() || ad.Route.Public && key == "" {
		return ReasonNone
	}
	if !s.current(now) {
		if ad.Route.Public {
			return ReasonNone
		}
		return ReasonStale
	}
	w := s.table.Workspace(key)
	if w == nil {
		if ad.Route.Public {
			return ReasonNone
		}
		return s.denial(now, ReasonUnauthenticated)
	}
	ad.Workspace = w.ID
	if w.HasPriority {
		ad.Priority = w.Priority
	}
	return ReasonNone
}

// denial returns why a request is refused whose route or key is not known. It may have
// been published since the configuration was last confirmed: then it should come back.
func (s *State) denial(now boottime.Instant, r Reason) Reason {
	if s.SnapshotAge(now) > s.opts.DenialStalenessBound {
		return ReasonStale
	}
	return r
}

func timeLimit(r *routing.Route, patience time.Duration) time.Duration {
	switch {
	case r.Timeout <= 0:
		return patience
	case patience <= 0:
		return r.Timeout
	default:
		return min(r.Timeout, patience)
	}
}

// pickService splits a route's requests by weight. Requests with the same prompt go to
// the same service, so that its endpoints' caches are used.
func (s *State) pickService(r *routing.Route, affinity uint64) fleet.ServiceID {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if len(r.Targets) == 1 || total <= 0 {
		return r.Targets[0].Service
	}
	x := s.rng.Float64() * total
	if affinity != 0 {
		x = float64(fleet.Weight(affinity, fleet.Hash(r.Prefix))>>11) / (1 << 53) * total
	}
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
