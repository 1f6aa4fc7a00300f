package control

import (
	"sync/atomic"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
)

// Attempt is one attempt of a request at an endpoint. It counts as in flight there until
// AttemptEnded.
type Attempt struct {
	Endpoint            fleet.EndpointID
	Addr                string
	Version             fleet.SoftwareVersion // of the endpoint, as published
	CacheSourceAddr     string                // address of an endpoint that may have more of the prompt cached; "" for none
	Load                int                   // the fleet's requests at the endpoint, including this one
	MeanLoad            float64               // mean load of the eligible endpoints, before this request
	EligibleCount       int                   // number of eligible endpoints
	ConfirmIncarnation  bool                  // send the request only after the endpoint has reported Incarnation on the same connection
	Incarnation         fleet.Incarnation     // of the endpoint, as published
	Request             crasher.Fingerprint   // of the request's content, 0: not known
	Shares              crasher.Shares        // what the request may have in common with others
	Suspected           bool                  // the request is suspected of crashing endpoints
	SuspectedProgress   uint64                // number of the stream's event beyond which the request is cleared, see RequestProgressed
	Estimate            AttemptEstimate
	EndpointUnreachable <-chan struct{} // closed when a connection attempt to the endpoint times out

	cost                cost.Request
	report              reportedLoad  // first one with the response
	stream              bool          // its route has streams
	workspace           uint32        // workspaceKey
	cached              bool          // the prompt's shared prefix was assumed to be cached
	pendingRead         time.Duration // prefill time that was outstanding at the endpoint before the attempt
	version             origin.Version
	entryCertain        bool
	sentAt              boottime.Instant
	startedAt           boottime.Instant // of the response; 0: it has not started
	lastEvent           atomic.Int64     // boottime.Instant of the last event of its stream; 0: none
	events              atomic.Uint32    // of its stream
	endpoint            *endpoint
	endpointUnreachable chan struct{}
}

// newAttempt returns an attempt of a request at one of the eligible endpoints.
func (s *State) newAttempt(now boottime.Instant, req PlacementRequest, e *endpoint, c *endpointClasses) *Attempt {
	unreachable := make(chan struct{})
	return &Attempt{
		Endpoint:            e.ID,
		Addr:                e.Addr,
		Version:             e.Version,
		Load:                s.load(now, e),
		MeanLoad:            c.meanLoad(),
		EligibleCount:       c.eligibleCount,
		ConfirmIncarnation:  req.Version != 0 && e.Incarnation != 0,
		Incarnation:         e.Incarnation,
		Request:             req.Request,
		Shares:              req.Shares,
		EndpointUnreachable: unreachable,

		cost:                req.Cost,
		stream:              req.Goal.EventGap > 0,
		workspace:           workspaceKey(e.Service, req.Workspace),
		pendingRead:         s.backlog.tracker.Endpoint(now, e.shortID()).PendingRead,
		version:             e.version,
		entryCertain:        s.entryCertain(e),
		sentAt:              now,
		endpoint:            e,
		endpointUnreachable: unreachable,
	}
}
