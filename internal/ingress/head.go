package ingress

import (
	"net/http"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// PromptPart is one part of a prompt in its order. Endpoints cache parts; the last one
// belongs to the request or its session, those before it are shared.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestMetadata is what a caller's request says beside method, path and body.
type RequestMetadata struct {
	ID              fleet.RequestID
	Key             string        // "" without one
	CallerTimeout   time.Duration // how long the caller waits, 0: not told
	Prompt          []PromptPart
	PromptTokens    int    // tokens
	MaxOutputTokens int    // tokens
	LastEventID     string // id of the last event that the caller has of a broken stream, "" for none
}

// ForwardMetadata is what an endpoint is told beside the caller's own headers.
type ForwardMetadata struct {
	ExpectedEndpoint fleet.EndpointID // no other endpoint runs the request
	Workspace        fleet.WorkspaceID
	TimeLeft         time.Duration // 0: no limit
	Urgency          int           // 0 is the most urgent, -1: not told
	CacheFetchAddr   string        // address of an endpoint that may hold more of the prompt, "" for none
	LastEventID      string        // continue the stream after this event, "" from its start
}

// Load is what an endpoint says about its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ResponseMetadata is what an endpoint's answer says beside status and body.
type ResponseMetadata struct {
	RequestID       fleet.RequestID  // of the request that it answers, "" if not told
	Endpoint        fleet.EndpointID // that answers, "" if not told
	NotRun          bool             // the endpoint says that it did not run the request
	Misdirected     bool             // another endpoint than the expected one has the address
	Signed          bool             // carries the endpoint's signature
	Load            *Load
	ColdRemaining   time.Duration // how much longer the endpoint is cold
	ConnectionClose bool          // the endpoint closes its connections
}

// Dialect translates the headers of requests and answers.
type Dialect interface {
	ReadRequest(h http.Header) (RequestMetadata, error)
	// WriteForward sets the headers that the system sends to endpoints and removes
	// those that callers must not set.
	WriteForward(h http.Header, f ForwardMetadata)
	ReadResponse(status int, h http.Header) ResponseMetadata
	// WriteRetryAfter sets when a caller of a request that has not run may come back.
	WriteRetryAfter(h http.Header, d time.Duration)
	// ReadyPath is where the balancer asks whether the process takes callers.
	ReadyPath() string
}
