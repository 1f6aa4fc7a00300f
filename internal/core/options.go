package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options configures a Core.
type Options struct {
	Self        fleet.InstanceID
	DataCentre  fleet.DataCentreID
	Incarnation fleet.Incarnation // greater than any earlier one of this instance
	RandomSeed  uint64            // seeds all random choices
	SeedPeers   []SeedPeer        // peers to contact before an instance list is known

	TickInterval time.Duration // interval of Tick events

	LoadMultiple float64       // maximum load of an endpoint, as a multiple of the pool's mean
	RampTime     time.Duration // duration of the ramp from RampStart to full capacity
	RampStart    int           // concurrent requests allowed on a cold endpoint
	MaxQueue     int           // maximum queue length of one endpoint
	MaxQueueWait time.Duration // maximum time in an endpoint's queue

	DefaultDeadline time.Duration // for requests without a deadline
	MaxDeadline     time.Duration // upper bound of the time until a request's deadline
	ResumeGrace     time.Duration // how long a stream is kept after its caller disconnected
	MaxRequests     int           // maximum number of requests in progress

	RetryRatio  float64       // maximum retries per first attempt
	BackoffBase time.Duration // of the exponential backoff before a retry
	BackoffMax  time.Duration // maximum delay before a retry

	TicketTTL    time.Duration // validity of a ticket, and time for which its outcome is stored
	KeyLifetime  time.Duration // time from the first to the last use of an idempotency key
	DrainTimeout time.Duration // maximum duration of a planned stop
}

// SeedPeer is a peer that a process contacts before it has an instance list.
type SeedPeer struct {
	ID   fleet.InstanceID
	Addr string // IP:port
}

// DefaultOptions returns the default options for an instance.
func DefaultOptions(self fleet.InstanceID, dc fleet.DataCentreID, inc fleet.Incarnation) Options {
	return Options{
		Self:            self,
		DataCentre:      dc,
		Incarnation:     inc,
		TickInterval:    50 * time.Millisecond,
		LoadMultiple:    1.5,
		RampTime:        30 * time.Second,
		RampStart:       1,
		MaxQueue:        32,
		MaxQueueWait:    time.Second,
		DefaultDeadline: time.Minute,
		MaxDeadline:     10 * time.Minute,
		ResumeGrace:     10 * time.Second,
		MaxRequests:     4096,
		RetryRatio:      0.1,
		BackoffBase:     50 * time.Millisecond,
		BackoffMax:      time.Second,
		TicketTTL:       10 * time.Minute,
		KeyLifetime:     10 * time.Minute,
		DrainTimeout:    2 * time.Minute,
	}
}
