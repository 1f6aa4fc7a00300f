package soak

import (
	"net/http"
	"time"
)

// Outcome is how a request ended, as its caller observed it.
type Outcome int

// The outcomes. A request is whole if the gateway's host has received its last byte.
const (
	Answered        Outcome = iota // complete 200 response
	Refused                        // complete 503 or 429, which promise that the request does not run
	Unauthorized                   // complete 401
	NotFound                       // complete 404
	BodyLate                       // complete 408, which promises that the request does not run
	ClientError                    // any other complete 4xx response
	EndpointFailure                // complete 500 response of an endpoint
	Blocked                        // complete 500 of the gateway, for a query of death
	BadGateway                     // complete 502
	GatewayTimeout                 // complete 504
	OtherStatus                    // any other complete response
	NotConnected                   // no connection could be opened
	CutInRequest                   // the connection ended before the request was whole, and not as in ClosedWhileIdle
	ClosedWhileIdle                // a kept connection ended before a byte of the request was received
	NoAnswerNew                    // a new connection ended after a whole request, before any byte of a response
	NoAnswerKept                   // the same on a kept connection
	Truncated                      // the connection ended within the response
	CallerDeadline                 // the caller's deadline passed before the response was complete
	CallerLeft                     // the caller closed its connection before the response was complete
	outcomeCount
)

func (o Outcome) String() string {
	return [...]string{
		"answered", "refused", "401", "404", "408", "other 4xx", "500 of an endpoint", "500 of the gateway", "502", "504", "other status", "not connected",
		"cut in the request", "closed while idle", "no answer, new connection", "no answer, kept connection", "truncated", "caller's deadline", "caller left",
	}[o]
}

// response is what the caller observed of one request and its response.
type response struct {
	id        string // of the request, "" if none was sent
	text      string // body of a 200 response
	status    int    // 0: no head was received
	stamped   bool
	complete  bool   // the body was read to its end without an error
	violation string // in the body, "" if none

	connected    bool
	kept         bool          // the connection had brought a response before
	idle         time.Duration // for which a kept connection had been idle
	announcedEnd bool          // the gateway had announced that the connection would be closed by the time of the request
	receivedPart bool          // the gateway's host received bytes of the request
	receivedAll  bool          // it received all of them
	firstByte    bool          // a byte of the response was received
	timedOut     bool          // the caller's deadline passed
	left         bool          // the caller closed the connection on purpose
}

// outcome classifies the response.
func (r response) outcome() Outcome {
	switch {
	case !r.connected:
		return NotConnected
	case r.complete:
		return outcomeOfStatus(r.status, r.stamped)
	case r.left:
		return CallerLeft
	case r.timedOut:
		return CallerDeadline
	case r.firstByte:
		return Truncated
	case r.receivedAll && r.kept:
		return NoAnswerKept
	case r.receivedAll:
		return NoAnswerNew
	case r.kept && !r.receivedPart:
		return ClosedWhileIdle
	default:
		return CutInRequest
	}
}

func outcomeOfStatus(status int, stamped bool) Outcome {
	switch {
	case status == http.StatusOK:
		return Answered
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Refused
	case status == http.StatusUnauthorized:
		return Unauthorized
	case status == http.StatusNotFound:
		return NotFound
	case status == http.StatusRequestTimeout:
		return BodyLate
	case status >= 400 && status < 500:
		return ClientError
	case status == http.StatusInternalServerError && stamped:
		return EndpointFailure
	case status == http.StatusInternalServerError:
		return Blocked
	case status == http.StatusBadGateway:
		return BadGateway
	case status == http.StatusGatewayTimeout:
		return GatewayTimeout
	default:
		return OtherStatus
	}
}
