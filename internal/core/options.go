package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options configures a Core.
type Options struct {
	Self        fleet.InstanceID
	DataCentre  fleet.DataCentreID
	Incarnation fleet.Incarnation // higher than that of any earlier run
	RandomSeed  uint64            // of all random choices
	SeedPeers   []SeedPeer        // peers to ask before an instance list is known

	TickInterval time.Duration // between two Tick events

	LoadMultiple float64       // of the pool's mean load that an endpoint may carry
	RampTime     time.Duration // from cold to full
	RampStart    int           // concurrent requests on a cold endpoint
	MaxQueue     int           // requests that wait for one endpoint
	MaxQueueWait time.Duration // in such a queue

	DefaultDeadline time.Duration // of a request that names none
	MaxDeadline     time.Duration
	ResumeGrace     time.Duration // for which the stream of a caller that went is kept
	MaxRequests     int           // in progress at this router

	RetryRatio  float64 // retries per first attempt
	BackoffBase time.Duration
	BackoffMax  time.Duration

	TicketTTL    time.Duration
	KeyLifetime  time.Duration
	DrainTimeout time.Duration // of a planned stop
}

// SeedPeer is a peer that a starting process asks.
type SeedPeer struct {
	ID   fleet.InstanceID
	Addr string // IP:port
}

// DefaultOptions returns the options of an instance with every policy at its default.
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
