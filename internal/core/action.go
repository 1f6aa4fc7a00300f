package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Action is an output of the core.
type Action interface{ action() }

// Send delivers a frame to a peer, at most once and without guarantee.
type Send struct {
	To    fleet.InstanceID
	Addr  string // IP:port, "": only over a connection that the peer made
	Frame wire.Frame
}

// Dispatch sends a request, or resumes its stream, at an endpoint.
type Dispatch struct {
	ID           fleet.RequestID
	Attempt      uint32
	Endpoint     fleet.EndpointID
	Addr         string // IP:port
	Kind         fleet.EndpointKind
	Workspace    fleet.WorkspaceID
	Priority     fleet.Priority
	NotAfter     time.Time // do not hand over the first byte after this
	Deadline     time.Time // of the whole answer
	Stream       string    // names the stream at the engine
	Resume       bool      // continue Stream after Offset instead of starting it
	Offset       uint64    // events that the caller already has
	Hint         string    // placement hint to return to the caller
	KeepResponse bool      // AttemptDone must carry the response, if it is small enough
}

// CancelAttempt aborts an attempt and tells the endpoint to stop generating.
type CancelAttempt struct {
	ID       fleet.RequestID
	Attempt  uint32
	Endpoint fleet.EndpointID
	Addr     string
	Stream   string
	Kind     fleet.EndpointKind
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	Answered Outcome = iota + 1 // the caller has the whole answer
	NotRun                      // the request did not run
	Unknown                     // the request may have run
)

// String returns the outcome's stable name in problem documents.
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

// Reason says why a request was not answered. Its value is stable in problem documents.
type Reason string

// The reasons for not answering.
const (
	ReasonNone               Reason = ""
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonNotInPlan          Reason = "not_in_plan"
	ReasonRateLimited        Reason = "rate_limited"
	ReasonOverloaded         Reason = "overloaded"
	ReasonNoEndpoint         Reason = "no_endpoint"
	ReasonDeadline           Reason = "deadline"
	ReasonEndpointFailed     Reason = "endpoint_failed"
	ReasonStreamLost         Reason = "stream_lost"
	ReasonTicketInvalid      Reason = "ticket_invalid"
	ReasonTicketPending      Reason = "ticket_pending"
	ReasonTicketMismatch     Reason = "ticket_mismatch"
	ReasonIssuerGone         Reason = "issuer_gone"
	ReasonKeyHomeYoung       Reason = "key_home_young"
	ReasonKeyHomeUnreachable Reason = "key_home_unreachable"
	ReasonAlreadyRun         Reason = "already_run"
	ReasonStopping           Reason = "stopping"
	ReasonNotReady           Reason = "not_ready"
	ReasonCallerGone         Reason = "caller_gone"
)

// String returns the reason's stable name.
func (r Reason) String() string { return string(r) }

// Finish ends a request. With Answered and no Response the process has streamed the answer already.
type Finish struct {
	ID         fleet.RequestID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // when to come back, 0: do not
	Response   *wire.StoredResponse
}

// IssueTickets answers a TicketRequest. Reason is set when none are issued.
type IssueTickets struct {
	ID      fleet.RequestID
	Tickets []string
	TTL     time.Duration
	Reason  Reason

	RetryAfter time.Duration // when none are issued, 0: do not
}

// WatchPlatform starts or stops reading and watching the platform's feeds.
type WatchPlatform struct{ Enable bool }

// PollEndpoint starts or stops polling an endpoint's load report.
type PollEndpoint struct {
	Endpoint fleet.EndpointID
	Addr     string
	Enable   bool
}

// SetReady tells the balancer whether this process takes callers.
type SetReady struct{ Ready bool }

// Stopped says that a planned stop is complete and the process may exit.
type Stopped struct{}

// Log asks for a numbered event in the log.
type Log struct {
	Event  event.Number
	Detail string
}

func (Send) action()          {}
func (Dispatch) action()      {}
func (CancelAttempt) action() {}
func (Finish) action()        {}
func (IssueTickets) action()  {}
func (WatchPlatform) action() {}
func (PollEndpoint) action()  {}
func (SetReady) action()      {}
func (Stopped) action()       {}
func (Log) action()           {}
