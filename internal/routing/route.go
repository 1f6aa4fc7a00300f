package routing

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Kind determines whether the requests of a route may be retried.
type Kind uint8

// The kinds of route.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once
	Streaming                     // responds with a stream of events; may be retried only if resumable
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	default:
		return "invalid"
	}
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Targets      []Target
	Timeout      time.Duration // limit until the response is complete, 0 for none
	GoalLatency  time.Duration // target for the response or, of a stream, for the first event
	GoalEventGap time.Duration // target for the gap between two events of a stream
	MaxAttempts  int           // maximum number of endpoints at which one request may run
	Priority     int           // 0 is the most urgent
	Public       bool          // requests need no key
	Sticky       bool          // requests have a prompt whose prefix endpoints cache
	Resumable    bool          // an interrupted stream can be resumed at another endpoint
}

// Target is a service of a route with its weight, its relative share of the requests.
type Target struct {
	Service fleet.ServiceID
	Weight  float64
}

// Retryable reports whether requests of the route may be retried after they may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a set of interchangeable endpoints.
type Service struct {
	ID                    fleet.ServiceID
	HealthPath            string
	MaxConnections        int           // limit per endpoint, over all callers
	ColdStartDuration     time.Duration // how long an endpoint is cold after its start
	ColdRequestsPerSecond float64       // rate that a cold endpoint can serve, 0 for no limit
	Slots                 int           // concurrent requests per endpoint, 0 if not set
	CacheTokens           int           // capacity of an endpoint's KV cache in tokens, 0 for a service without model engines
}

// Workspace is one customer with its API keys.
type Workspace struct {
	ID          fleet.WorkspaceID
	Keys        []string
	Priority    int // 0 is the most urgent
	HasPriority bool
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for receiving a request's header
	IdleTimeout    time.Duration // of a connection without a request
}

// Config is one version of the configuration that operators publish.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace // nil: requests need no key, and none is valid; empty: none is valid
	Limits     Limits
}

// Services returns the services of the route's targets.
func (r *Route) Services() []fleet.ServiceID {
	out := make([]fleet.ServiceID, len(r.Targets))
	for i, t := range r.Targets {
		out[i] = t.Service
	}
	return out
}
