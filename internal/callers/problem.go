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

// Reasons of refusals that never reach the core.
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
	overloadRetryAfter   = time.Second
)

// statusByReason is the one table of reasons and status codes.
var statusByReason = map[core.Reason]int{
	ReasonBadRequest:              http.StatusBadRequest,
	ReasonResumeInvalid:           http.StatusBadRequest,
	ReasonTooLarge:                http.StatusRequestEntityTooLarge,
	ReasonNotFound:                http.StatusNotFound,
	ReasonMethodNotAllowed:        http.StatusMethodNotAllowed,
	ReasonRequestTimeout:          http.StatusRequestTimeout,
	ReasonInternal:                http.StatusInternalServerError,
	core.ReasonUnauthenticated:    http.StatusUnauthorized,
	core.ReasonNotInPlan:          http.StatusForbidden,
	core.ReasonRateLimited:        http.StatusTooManyRequests,
	core.ReasonOverloaded:         http.StatusServiceUnavailable,
	core.ReasonNoEndpoint:         http.StatusServiceUnavailable,
	core.ReasonDeadline:           http.StatusGatewayTimeout,
	core.ReasonEndpointFailed:     http.StatusBadGateway,
	core.ReasonStreamLost:         http.StatusBadGateway,
	core.ReasonTicketInvalid:      http.StatusBadRequest,
	core.ReasonTicketPending:      http.StatusConflict,
	core.ReasonTicketMismatch:     http.StatusUnprocessableEntity,
	core.ReasonIssuerGone:         http.StatusConflict,
	core.ReasonKeyHomeYoung:       http.StatusServiceUnavailable,
	core.ReasonKeyHomeUnreachable: http.StatusServiceUnavailable,
	core.ReasonAlreadyRun:         http.StatusConflict,
	core.ReasonStopping:           http.StatusServiceUnavailable,
	core.ReasonNotReady:           http.StatusServiceUnavailable,
	core.ReasonCallerGone:         http.StatusRequestTimeout,
}

// statusOf returns the status code of a refusal. A status that invites a client
// library to repeat the request is kept for requests that did not run.
func statusOf(o core.Outcome, r core.Reason) int {
	status, ok := statusByReason[r]
	if !ok {
		return http.StatusInternalServerError
	}
	if o == core.Unknown && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		return http.StatusBadGateway
	}
	return status
}

// problem is a refusal as RFC 9457 has it.
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
	status := statusOf(f.Outcome, f.Reason)
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

// write sends the problem as the whole response.
func (p problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", problemMediaType)
	h.Set("Cache-Control", "no-store")
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt(retrySeconds(p.RetryAfterMS), 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	// The caller may be gone; the outcome does not depend on it.
	_, _ = w.Write(p.encode())
}

// retrySeconds rounds up, so that nobody comes back too early.
func retrySeconds(ms int64) int64 {
	perSecond := time.Second.Milliseconds()
	return max((ms+perSecond-1)/perSecond, minRetryAfterSeconds)
}

// refuse answers a request that never reached the core, so that it did not run.
func refuse(w http.ResponseWriter, id fleet.RequestID, err error) {
	f := core.Finish{ID: id, Outcome: core.NotRun, Reason: ReasonBadRequest}
	detail := ""
	var form *formError
	if errors.As(err, &form) {
		f.Reason = form.reason
		detail = form.detail
	}
	if f.Reason == core.ReasonOverloaded || f.Reason == core.ReasonNotReady {
		f.RetryAfter = overloadRetryAfter
	}
	newProblem(f, detail).write(w)
}
