package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Reasons for rejecting a request before it reaches the core.
const (
	ReasonBadRequest       core.Reason = "bad_request"
	ReasonTooLarge         core.Reason = "too_large"
	ReasonNotFound         core.Reason = "not_found"
	ReasonMethodNotAllowed core.Reason = "method_not_allowed"
	ReasonRequestTimeout   core.Reason = "request_timeout"
	ReasonResumeInvalid    core.Reason = "resume_invalid"
	ReasonInternal         core.Reason = "internal"
)

const (
	problemMediaType     = "application/problem+json"
	minRetryAfterSeconds = 1
	rejectionRetryAfter  = time.Second // after a rejection with overloaded or not_ready
)

// statusByReason maps each reason to its HTTP status code.
var statusByReason = map[core.Reason]int{
	ReasonBadRequest:               http.StatusBadRequest,
	ReasonResumeInvalid:            http.StatusBadRequest,
	ReasonTooLarge:                 http.StatusRequestEntityTooLarge,
	ReasonNotFound:                 http.StatusNotFound,
	ReasonMethodNotAllowed:         http.StatusMethodNotAllowed,
	ReasonRequestTimeout:           http.StatusRequestTimeout,
	ReasonInternal:                 http.StatusInternalServerError,
	core.ReasonUnauthenticated:     http.StatusUnauthorized,
	core.ReasonNotInPlan:           http.StatusForbidden,
	core.ReasonRateLimited:         http.StatusTooManyRequests,
	core.ReasonOverloaded:          http.StatusServiceUnavailable,
	core.ReasonNoEndpoint:          http.StatusServiceUnavailable,
	core.ReasonDeadline:            http.StatusGatewayTimeout,
	core.ReasonEndpointFailed:      http.StatusBadGateway,
	core.ReasonStreamLost:          http.StatusBadGateway,
	core.ReasonTicketInvalid:       http.StatusBadRequest,
	core.ReasonTicketPending:       http.StatusConflict,
	core.ReasonTicketMismatch:      http.StatusUnprocessableEntity,
	core.ReasonIssuerGone:          http.StatusConflict,
	core.ReasonKeyOwnerTooRecent:   http.StatusServiceUnavailable,
	core.ReasonKeyOwnerUnreachable: http.StatusServiceUnavailable,
	core.ReasonAlreadyRun:          http.StatusConflict,
	core.ReasonStopping:            http.StatusServiceUnavailable,
	core.ReasonNotReady:            http.StatusServiceUnavailable,
	core.ReasonCallerGone:          http.StatusRequestTimeout,
}

// statusCode returns the HTTP status code of an outcome and reason. Client libraries retry a
// request after 429 and 503, so these are sent only for requests that did not run.
func statusCode(o core.Outcome, r core.Reason) int {
	status, ok := statusByReason[r]
	if !ok {
		return http.StatusInternalServerError
	}
	if o == core.Unknown && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		return http.StatusBadGateway
	}
	return status
}

// problem is a problem details object (RFC 9457).
type problem struct {
	Type         string          `json:"type"`
	Title        string          `json:"title"`
	Status       int             `json:"status"`
	Detail       string          `json:"detail,omitempty"`
	Outcome      string          `json:"outcome"`
	Reason       core.Reason     `json:"reason"`
	RequestID    fleet.RequestID `json:"request_id,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

func newProblem(f core.Finish, detail string) problem {
	status := statusCode(f.Outcome, f.Reason)
	return problem{
		Type:         "about:blank",
		Title:        http.StatusText(status),
		Status:       status,
		Detail:       detail,
		Outcome:      f.Outcome.String(),
		Reason:       f.Reason,
		RequestID:    f.ID,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}
}

func (p problem) encode() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}

// write sends the problem as a complete response.
func (p problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", problemMediaType)
	h.Set("Cache-Control", "no-store")
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt(retryAfterSeconds(p.RetryAfterMS), 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	// A write error means that the caller disconnected, which does not change the outcome.
	_, _ = w.Write(p.encode())
}

// retryAfterSeconds converts a delay to whole seconds for Retry-After. It rounds up, so that callers do not retry early.
func retryAfterSeconds(ms int64) int64 {
	perSecond := time.Second.Milliseconds()
	return max((ms+perSecond-1)/perSecond, minRetryAfterSeconds)
}

// reject responds to a request that has not reached the core and therefore did not run.
func reject(w http.ResponseWriter, id fleet.RequestID, err error) {
	f := core.Finish{ID: id, Outcome: core.NotRun, Reason: ReasonBadRequest}
	detail := ""
	var reqErr *requestError
	if errors.As(err, &reqErr) {
		f.Reason = reqErr.reason
		detail = reqErr.detail
	}
	if f.Reason == core.ReasonOverloaded || f.Reason == core.ReasonNotReady {
		f.RetryAfter = rejectionRetryAfter
	}
	newProblem(f, detail).write(w)
}
