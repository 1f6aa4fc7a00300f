package routing

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of route.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once
	Streaming                     // answers with a stream of events; may be repeated only if resumable
)

// String returns the kind's name in logs.
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

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Targets     []Target
	Timeout     time.Duration // longest time until the answer is whole, 0: none
	GoalLatency time.Duration // within which an answer, or a stream's first event, is on time
	MaxEventGap time.Duration // between two events of a stream that is on time
	MaxAttempts int           // endpoints at which one request may run
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key
	Sticky      bool          // requests carry a prompt whose parts endpoints cache
	Resumable   bool          // a broken stream can go on at another endpoint
}

// Target is a service of a route with its share of the requests.
type Target struct {
	Service fleet.ServiceID
	Weight  float64
}

// Retryable tells whether a request that may have run can be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	ID                    fleet.ServiceID
	HealthPath            string
	MaxConnections        int           // that one endpoint takes from all callers together
	ColdStartDuration     time.Duration // after a start
	ColdRequestsPerSecond float64       // requests that a cold endpoint bears, 0: no limit
	Slots                 int           // requests that an engine runs at once, 0: not told
	CacheTokens           int           // that an engine holds, 0: not a model engine
}

// Workspace is one customer with its keys.
type Workspace struct {
	ID          fleet.WorkspaceID
	Keys        []string
	Priority    int // 0 is the most urgent
	HasPriority bool
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration // of a caller's connection between two requests
}

// Config is what operators published at one version.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
