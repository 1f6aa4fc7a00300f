package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick lets time pass. The process sends one every Options.TickEvery.
type Tick struct{}

// PeerMessage is a frame that arrived from another router.
type PeerMessage struct {
	From  fleet.InstanceID // as authenticated by the transport
	Frame wire.Frame
}

// PeerUnreachable says that the transport could not deliver to a peer.
type PeerUnreachable struct{ Peer fleet.InstanceID }

// CallerRequest is a request of a caller that passed the checks of its form.
type CallerRequest struct {
	ID           fleet.RequestID
	KeyHash      string // hex SHA-256 of the bearer key
	Model        fleet.ModelID
	Service      fleet.ServiceID // set instead of Model for plain services
	Idempotent   bool            // may run more than once without harm
	Ticket       string          // as the caller sent it, "" for none
	Key          string          // Idempotency-Key, "" for none
	Digest       uint64          // hash of method, path and body
	Hint         string          // placement hint as the caller sent it, "" for none
	Affinity     uint64          // hash of the chat's stable beginning
	PromptTokens int             // estimate
	MaxTokens    int
	Deadline     time.Time    // zero: Options.DefaultDeadline
	Resume       *ResumePoint // set when the caller continues a stream that broke
	Resumable    bool         // the caller can resume: keep the stream for a while when it goes
}

// ResumePoint names a place in the stream of an earlier request.
type ResumePoint struct {
	Endpoint fleet.EndpointID
	Stream   string
	Offset   uint64 // events that the caller has
}

// CallerGone says that the caller's connection closed before its answer was whole.
type CallerGone struct{ ID fleet.RequestID }

// TicketRequest asks for a batch of tickets.
type TicketRequest struct {
	ID      fleet.RequestID
	KeyHash string
	Count   int
}

// AttemptNotSent says that an attempt did not run.
type AttemptNotSent struct {
	ID         fleet.RequestID
	Attempt    uint32
	Cause      AttemptCause
	RetryAfter time.Duration // from the endpoint, 0: none
}

// AttemptStarted says that the endpoint began to answer.
type AttemptStarted struct {
	ID          fleet.RequestID
	Attempt     uint32
	Incarnation fleet.Incarnation // of the endpoint, 0: not told
}

// AttemptLost says that an attempt broke off after a byte of it was handed to a connection.
type AttemptLost struct {
	ID         fleet.RequestID
	Attempt    uint32
	Cause      AttemptCause
	Offset     uint64 // events of the stream that the caller was sent
	StreamGone bool   // the endpoint said that it does not know the stream (any more)
}

// AttemptDone says that the endpoint's answer is whole.
type AttemptDone struct {
	ID           fleet.RequestID
	Attempt      uint32
	Status       int
	Tokens       int // generated
	CachedTokens int // of the prompt, served from the prefix cache
	Response     *wire.StoredResponse
}

// AttemptCause says why an attempt ended without a whole answer.
type AttemptCause uint8

// The causes of a failed attempt.
const (
	CauseLeaseExpired AttemptCause = iota + 1 // NotAfter had passed before the first byte
	CauseConnect                              // no connection could be made
	CauseRefused                              // the endpoint said that it did not take the request
	CauseReset                                // the connection broke
	CauseNoProgress                           // no progress within the timeout
	CauseProtocol                             // the endpoint's answer could not be understood
	CauseCancelled                            // the core asked for it
)

// EndpointReport is a load report of an endpoint that the core asked to poll.
type EndpointReport struct{ Report fleet.LoadReport }

// EndpointSilent says that a poll of an endpoint failed.
type EndpointSilent struct{ Endpoint fleet.EndpointID }

// PublishedConfig is a valid configuration read from the platform.
type PublishedConfig struct{ Config *fleet.Configuration }

// PublishedInstances is an instance list read from the platform.
type PublishedInstances struct{ List *fleet.InstanceList }

// PublishedEndpoints is an endpoint list read from the platform.
type PublishedEndpoints struct{ List *fleet.EndpointList }

// PublishedInvalid says that the platform published a value that is not valid.
type PublishedInvalid struct {
	Revision fleet.Revision // 0: not told
	Detail   string         // the feed and what is wrong
}

// PlatformDown says that the platform did not answer.
type PlatformDown struct{}

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
func (EndpointSilent) event()     {}
func (PublishedConfig) event()    {}
func (PublishedInstances) event() {}
func (PublishedEndpoints) event() {}
func (PublishedInvalid) event()   {}
func (PlatformDown) event()       {}
func (Stop) event()               {}
