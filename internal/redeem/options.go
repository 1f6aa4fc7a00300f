package redeem

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Options configures a Server and a Client.
type Options struct {
	Self        fleet.InstanceID
	DataCentre  fleet.DataCentreID
	Incarnation fleet.Incarnation

	TicketTTL         time.Duration // from the issue of a ticket to the latest grant of its execution right
	Retention         time.Duration // for which the outcome of a ticket is stored
	KeyLifetime       time.Duration // from the first to the last use of a caller's key
	RunValidity       time.Duration // from the first Redeem of an attempt to its first byte on a connection
	PendingTimeout    time.Duration // after the grant; other attempts are then answered with RedeemUnknown
	MaxClockSkew      time.Duration // between the clocks of callers and routers
	PendingRetryAfter time.Duration // retry-after while another attempt is pending

	KeySlots               int // number of hash slots of keys
	MaxTickets             int // ticket records, redeemed or not
	MaxKeys                int // key records
	MaxRecordsPerWorkspace int // ticket and key records of one workspace
	MaxStoredResponseBytes int // total size of stored responses
	MaxResponseBytes       int // size of one stored response
	MaxTicketBatch         int // tickets per call of Issue
}

// DefaultOptions returns the options for production, except for the identity of the router.
func DefaultOptions() Options {
	return Options{
		TicketTTL:              10 * time.Minute,
		Retention:              10 * time.Minute,
		KeyLifetime:            10 * time.Minute,
		RunValidity:            time.Minute,
		PendingTimeout:         2 * time.Minute,
		MaxClockSkew:           time.Minute,
		PendingRetryAfter:      time.Second,
		KeySlots:               256,
		MaxTickets:             1 << 14,
		MaxKeys:                1 << 13,
		MaxRecordsPerWorkspace: 1 << 12,
		MaxStoredResponseBytes: 4 << 20,
		MaxResponseBytes:       16 << 10,
		MaxTicketBatch:         256,
	}
}
