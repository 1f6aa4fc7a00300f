package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// PromptPart is one of the consecutive parts of a prompt, the unit of prefix caching at
// endpoints. The last part is specific to the request or its session; those before it are
// shared with other requests.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// ParsePrompt returns the parts of a comma-separated list of ID:TOKENS, with the IDs in hexadecimal.
func ParsePrompt(v string) ([]PromptPart, error) {
	if v == "" {
		return nil, nil
	}
	var parts []PromptPart
	for entry := range strings.SplitSeq(v, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(entry), ":")
		n, errID := strconv.ParseUint(id, 16, 64)
		t, errTokens := strconv.Atoi(tokens)
		if errID != nil || errTokens != nil || t < 0 {
			return nil, errors.Errorf("the entry %q, want ID:TOKENS", entry)
		}
		parts = append(parts, PromptPart{ID: n, Tokens: t})
	}
	return parts, nil
}

// maxLoggedParts bounds the parts of a prompt that are logged.
const maxLoggedParts = 16

// partIDs returns the IDs of the first parts of a prompt for logs, in hexadecimal as the caller sends them.
func partIDs(prompt []PromptPart) string {
	ids := make([]string, min(len(prompt), maxLoggedParts))
	for i := range ids {
		ids[i] = strconv.FormatUint(prompt[i].ID, 16)
	}
	return strings.Join(ids, ",")
}

// RequestMetadata holds the values of the headers of a caller's request.
type RequestMetadata struct {
	ID              fleet.RequestID
	Key             string        // the caller's API key, "" for none
	CallerTimeout   time.Duration // how long the caller waits for the response, 0 if not set
	Model           string        // that is to run the prompt, "" if not set
	Prompt          []PromptPart
	PromptTokens    int
	MaxOutputTokens int
	LengthHint      int             // the caller's estimate of output tokens, 0 if not set
	LastEventID     string          // last event that the caller received of an interrupted stream, "" for none
	Resumes         fleet.RequestID // request that brought the first event of that stream, "" if not set
}

// ForwardMetadata holds the values of the headers that the gateway adds to a forwarded request.
type ForwardMetadata struct {
	ExpectedEndpoint fleet.EndpointID // only this endpoint may run the request; any other responds with 421
	Workspace        fleet.WorkspaceID
	TimeLeft         time.Duration // time until the deadline; if <= 0, the caller's deadline header is left as it is
	Priority         int           // 0 is the most urgent, -1 if not set
	CacheFetchAddr   string        // address of an endpoint that may have more of the prompt cached, "" for none
	LastEventID      string        // resume the stream after this event, "" to start at the first
}

// Load is an endpoint's report of its load, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Speed   int // how long work takes at the moment, in percent of the usual time, 0: not reported
}

// ResponseMetadata holds the values of the status and headers of an endpoint's response.
type ResponseMetadata struct {
	RequestID       fleet.RequestID  // request that the response belongs to, "" if not set
	Endpoint        fleet.EndpointID // endpoint that sent the response, "" if not set
	NotRun          bool             // the endpoint reports that it did not run the request
	Misdirected     bool             // 421: the address belongs to another endpoint than the expected one
	HasStamp        bool             // the response carries the endpoint's stamp header, whose value is not verified
	Load            *Load
	ColdRemaining   time.Duration // time until the endpoint is warm
	ConnectionClose bool          // the endpoint closes its connections; it is draining
	Leaving         bool          // the endpoint leaves and should get no new requests
	RetryAfter      time.Duration // with a 503: how long the endpoint wants no requests from this gateway, 0: not set
}

// HeaderCodec translates between the headers of a platform and the metadata types of this package.
type HeaderCodec interface {
	ReadRequest(h http.Header) (RequestMetadata, error)
	// WriteForward adds the headers for the endpoint and removes those that callers must not
	// set.
	WriteForward(h http.Header, f ForwardMetadata)
	ReadResponse(status int, h http.Header) ResponseMetadata
	// WriteRetryAfter sets the delay after which a caller may retry a request that has not run.
	WriteRetryAfter(h http.Header, d time.Duration)
	// IncarnationPath is the path at which an endpoint reports its incarnation.
	IncarnationPath() string
	// ReadIncarnation returns the incarnation in the body of such a report, or false if there is none.
	ReadIncarnation(body []byte) (fleet.Incarnation, bool)
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath() string
}
