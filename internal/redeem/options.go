package redeem

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options sets who a Server is and what it keeps.
type Options struct {
	Self        fleet.InstanceID
	DataCentre  fleet.DataCentreID
	Incarnation fleet.Incarnation

	TicketTTL         time.Duration // within which a ticket must first be redeemed
	Retention         time.Duration // for which the outcome of a ticket is kept
	KeyLifetime       time.Duration // from the first to the last use of a caller's key
	RunValidity       time.Duration // from the first asking to the first byte of a run
	PendingTimeout    time.Duration // after which an attempt that did not settle counts as lost
	MaxClockSkew      time.Duration // by which the clocks of callers and routers may differ
	PendingRetryAfter time.Duration // when to come back while another attempt is pending

	KeySlots         int // into which keys are hashed
	MaxTickets       int // registers of tickets, redeemed or not
	MaxKeys          int // registers of keys
	MaxPerWorkspace  int // registers of tickets and keys of one workspace
	MaxBytes         int // of all stored responses
	MaxResponseBytes int // of one stored response
	MaxTicketBatch   int // tickets issued at once
}

// DefaultOptions returns the options of a router in production.
func DefaultOptions() Options {
	return Options{
		TicketTTL:         10 * time.Minute,
		Retention:         10 * time.Minute,
		KeyLifetime:       10 * time.Minute,
		RunValidity:       time.Minute,
		PendingTimeout:    2 * time.Minute,
		MaxClockSkew:      time.Minute,
		PendingRetryAfter: time.Second,
		KeySlots:          256,
		MaxTickets:        1 << 14,
		MaxKeys:           1 << 13,
		MaxPerWorkspace:   1 << 12,
		MaxBytes:          4 << 20,
		MaxResponseBytes:  16 << 10,
		MaxTicketBatch:    256,
	}
}
