package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick advances time. The driver sends one every Options.TickInterval.
type Tick struct{}

// PeerMessage is a frame that arrived from another router.
type PeerMessage struct {
	From  fleet.InstanceID // authenticated by the transport
	Frame wire.Frame
}

// PeerUnreachable reports that the transport could not deliver to a peer.
type PeerUnreachable struct{ Peer fleet.InstanceID }

// CallerRequest is a syntactically valid request of a caller.
type CallerRequest struct {
	ID             fleet.RequestID
	APIKeyHash     string // hex SHA-256 of the API key
	Model          fleet.ModelID
	Service        fleet.ServiceID // set instead of Model for requests to a service
	Idempotent     bool            // may run more than once
	Ticket         string          // as the caller sent it, "" for none
	IdempotencyKey string          // Idempotency-Key header, "" for none
	RequestHash    uint64          // hash of method, path and body; must match for the same ticket or key
	Hint           string          // placement hint as the caller sent it, "" for none
	Affinity       uint64          // hash of the chat's stable prefix
	PromptTokens   int             // estimate
	MaxTokens      int
	Deadline       time.Time    // if zero, Options.DefaultDeadline applies
	Resume         *ResumePoint // set if the caller continues an interrupted stream
	Resumable      bool         // keep the stream for Options.ResumeGrace if the caller disconnects
}

// ResumePoint is a position in the stream of an earlier request.
type ResumePoint struct {
	Endpoint fleet.EndpointID
	Stream   string
	Offset   uint64 // number of events that the caller has received
}

// CallerGone reports that the caller disconnected before it received the complete response.
type CallerGone struct{ ID fleet.RequestID }

// TicketRequest asks for a batch of tickets.
type TicketRequest struct {
	ID         fleet.RequestID
	APIKeyHash string
	Count      int
}

// AttemptNotSent reports that an attempt was not sent, or was refused by its endpoint, and did not run.
type AttemptNotSent struct {
	ID         fleet.RequestID
	Attempt    uint32
	Cause      AttemptCause
	RetryAfter time.Duration // from the endpoint; 0 if none was given
}

// AttemptStarted reports that the endpoint started to respond.
type AttemptStarted struct {
	ID          fleet.RequestID
	Attempt     uint32
	Incarnation fleet.Incarnation // of the endpoint; 0 if not reported
}

// AttemptLost reports that an attempt failed after at least one byte of it was written to
// a connection, so that it may have run.
type AttemptLost struct {
	ID         fleet.RequestID
	Attempt    uint32
	Cause      AttemptCause
	Offset     uint64 // number of stream events sent to the caller
	StreamGone bool   // the endpoint reported that it does not have the stream
}

// AttemptDone reports that the endpoint's response is complete.
type AttemptDone struct {
	ID           fleet.RequestID
	Attempt      uint32
	Status       int
	Tokens       int                  // generated
	CachedTokens int                  // prompt tokens served from the prefix cache
	Response     *wire.StoredResponse // if Dispatch.KeepResponse was set and it is not too large
}

// AttemptCause is the reason why an attempt ended without a complete response. 0 is invalid.
type AttemptCause uint8

const (
	CauseLeaseExpired AttemptCause = iota + 1 // NotAfter passed before the first byte was written
	CauseConnect                              // the connection could not be established
	CauseRefused                              // the endpoint reported that it did not accept the request
	CauseReset                                // the connection broke
	CauseNoProgress                           // no progress within the timeout
	CauseProtocol                             // the endpoint's response was malformed
	CauseCancelled                            // cancelled by CancelAttempt
)

// EndpointReport is a load report of a polled endpoint.
type EndpointReport struct{ Report fleet.LoadReport }

// EndpointPollFailed reports that a poll of an endpoint's load report failed.
type EndpointPollFailed struct{ Endpoint fleet.EndpointID }

// PublishedConfig is a valid configuration read from the platform.
type PublishedConfig struct{ Config *fleet.Configuration }

// PublishedInstances is an instance list read from the platform.
type PublishedInstances struct{ List *fleet.InstanceList }

// PublishedEndpoints is an endpoint list read from the platform.
type PublishedEndpoints struct{ List *fleet.EndpointList }

// PublishedInvalid reports that the platform published an invalid value.
type PublishedInvalid struct {
	Revision fleet.Revision // 0 if unknown
	Detail   string         // names the feed and the error
}

// PlatformUnreadable reports that the platform did not respond.
type PlatformUnreadable struct{}

// Stop begins a planned stop.
type Stop struct{}

func (Tick) event()               {}
func (PeerMessage) event()        {}
func (PeerUnreachable) event()    {}
func (CallerRequest) event()      {}
func (CallerGone) event()         {}
func (TicketRequest) event()      {}
func (AttemptNotSent) event()     {}
func (AttemptStarted) event()     {}
func (AttemptLost) event()        {}
func (AttemptDone) event()        {}
func (EndpointReport) event()     {}
func (EndpointPollFailed) event() {}
func (PublishedConfig) event()    {}
func (PublishedInstances) event() {}
func (PublishedEndpoints) event() {}
func (PublishedInvalid) event()   {}
func (PlatformUnreadable) event() {}
func (Stop) event()               {}
