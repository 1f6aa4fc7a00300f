package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Action is an output of the core.
type Action interface{ action() }

// Send sends a frame to a peer. Delivery is best effort.
type Send struct {
	To    fleet.InstanceID
	Addr  string // IP:port; if empty, send only over a connection that the peer opened
	Frame wire.Frame
}

// Dispatch sends a request to an endpoint, or resumes its stream there.
type Dispatch struct {
	ID           fleet.RequestID
	Attempt      uint32
	Endpoint     fleet.EndpointID
	Addr         string // IP:port
	Kind         fleet.EndpointKind
	Workspace    fleet.WorkspaceID
	Priority     fleet.Priority
	NotAfter     time.Time // latest time to write the first byte
	Deadline     time.Time // for the complete response
	Stream       string    // stream ID at the engine
	Resume       bool      // continue Stream after Offset instead of starting a new one
	Offset       uint64    // number of stream events that the caller has received
	Hint         string    // placement hint to return to the caller
	KeepResponse bool      // AttemptDone must include the response unless it is too large
}

// CancelAttempt aborts an attempt and requests the endpoint to stop generating.
type CancelAttempt struct {
	ID       fleet.RequestID
	Attempt  uint32
	Endpoint fleet.EndpointID
	Addr     string
	Stream   string
	Kind     fleet.EndpointKind
}

// Outcome is the result of a request.
type Outcome uint8

const (
	Answered Outcome = iota + 1 // the complete response was sent to the caller
	NotRun                      // the request did not run
	Unknown                     // the request may have run
)

// String returns the outcome's stable name in problem details (RFC 9457).
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason is why a request was not answered. Its value is stable in problem details (RFC 9457).
type Reason string

const (
	ReasonNone                Reason = ""
	ReasonUnauthenticated     Reason = "unauthenticated"
	ReasonNotInPlan           Reason = "not_in_plan"
	ReasonRateLimited         Reason = "rate_limited"
	ReasonOverloaded          Reason = "overloaded"
	ReasonNoEndpoint          Reason = "no_endpoint"
	ReasonDeadline            Reason = "deadline"
	ReasonEndpointFailed      Reason = "endpoint_failed"
	ReasonStreamLost          Reason = "stream_lost"
	ReasonTicketInvalid       Reason = "ticket_invalid"
	ReasonTicketPending       Reason = "ticket_pending"
	ReasonTicketMismatch      Reason = "ticket_mismatch"
	ReasonIssuerGone          Reason = "issuer_gone"          // unknown whether a request with the ticket ran
	ReasonKeyOwnerTooRecent   Reason = "key_home_young"       // the key's owner lacks the history to exclude an earlier run
	ReasonKeyOwnerUnreachable Reason = "key_home_unreachable" // unknown whether a request with the key ran
	ReasonAlreadyRun          Reason = "already_run"
	ReasonStopping            Reason = "stopping"
	ReasonNotReady            Reason = "not_ready"
	ReasonCallerGone          Reason = "caller_gone"
)

// String returns the reason's stable name.
func (r Reason) String() string { return string(r) }

// Finish ends a request. With Answered and no Response, the driver has already streamed
// the endpoint's response.
type Finish struct {
	ID         fleet.RequestID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration        // when the caller may retry; 0: it should not
	Response   *wire.StoredResponse // of an earlier request with the same ticket or key
}

// TicketReply answers a TicketRequest. Reason is set if no tickets were issued.
type TicketReply struct {
	ID      fleet.RequestID
	Tickets []string
	TTL     time.Duration
	Reason  Reason

	RetryAfter time.Duration // when the caller may retry if none were issued; 0: it should not
}

// WatchPlatform starts or stops watching the platform's feeds.
type WatchPlatform struct{ Enable bool }

// PollEndpoint starts or stops polling an endpoint's load report.
type PollEndpoint struct {
	Endpoint fleet.EndpointID
	Addr     string
	Enable   bool
}

// SetReady sets whether the process reports to the load balancer that it is ready for callers.
type SetReady struct{ Ready bool }

// Stopped reports that a planned stop is complete and the process may exit.
type Stopped struct{}

// Log writes a numbered event to the log.
type Log struct {
	Event  event.Number
	Detail string
}

func (Send) action()          {}
func (Dispatch) action()      {}
func (CancelAttempt) action() {}
func (Finish) action()        {}
func (TicketReply) action()   {}
func (WatchPlatform) action() {}
func (PollEndpoint) action()  {}
func (SetReady) action()      {}
func (Stopped) action()       {}
func (Log) action()           {}
