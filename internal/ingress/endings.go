package ingress

import (
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"strings"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// EndCause is why a caller's connection ended without a complete answer.
type EndCause uint8

// Causes of the end of a caller's connection.
const (
	EndCallerLeft    EndCause = iota + 1 // the caller closed its connection or its sending side
	EndCallerStalled                     // the caller did not read what was written to it
	EndDeadline                          // the deadline passed after a stream had begun
	EndEndpointBroke                     // the endpoint broke off a stream, which cannot be retried
	EndNoEndpoint                        // no endpoint could continue a stream
	EndRetryBudget                       // the retry budget forbade to continue a stream
	EndOriginUnknown                     // no endpoint is known to be at the version at which a stream began
	EndInternalError                     // a fault of this program
	EndBlocked                           // the request crashes the endpoints that run it
	EndIdle                              // no request for longer than the idle timeout
	EndPlannedStop                       // a planned stop, and the time that the last answer announced is over
	EndGracePeriod                       // the grace period of a planned stop is over
	EndProcess                           // the process ends without a planned stop
)

// String returns the cause's stable name in logs and metrics.
func (e EndCause) String() string {
	switch e {
	case EndCallerLeft:
		return "caller_left"
	case EndCallerStalled:
		return "caller_stalled"
	case EndDeadline:
		return "deadline"
	case EndEndpointBroke:
		return "endpoint_broke_off"
	case EndNoEndpoint:
		return "no_endpoint"
	case EndRetryBudget:
		return "retry_budget"
	case EndOriginUnknown:
		return "origin_unknown"
	case EndInternalError:
		return "internal_error"
	case EndBlocked:
		return "blocked"
	case EndIdle:
		return "idle"
	case EndPlannedStop:
		return "planned_stop"
	case EndGracePeriod:
		return "grace_period"
	case EndProcess:
		return "process_end"
	default:
		return "invalid"
	}
}

// endCauseOf returns why a stream ends for which the control state allows no further attempt.
func endCauseOf(r control.Reason) EndCause {
	switch r {
	case control.ReasonRetryBudget:
		return EndRetryBudget
	case control.ReasonOriginUnknown, control.ReasonVersionGone:
		return EndOriginUnknown
	case control.ReasonMayHaveRun, control.ReasonRefused:
		return EndEndpointBroke
	case control.ReasonStopping:
		return EndGracePeriod
	default:
		return EndNoEndpoint
	}
}

// cut closes the caller's connection without a complete answer. It does not return: net/http closes the
// connection when the handler panics with http.ErrAbortHandler.
func (c *call) cut(cause EndCause) {
	c.recordCut(cause)
	panic(http.ErrAbortHandler)
}

// recordCut records that the caller's connection ends without a complete answer.
func (c *call) recordCut(cause EndCause) {
	detail := ""
	if c.response.writeErr != nil {
		detail = c.response.writeErr.Error()
	}
	event.LogFields(event.CallerCut, "request", c.meta.ID, "cause", cause, "last_attempt", c.attempts.lastResult, "sends", c.attempts.count,
		"status", c.response.status, "events", c.response.events, "elapsed_ms", c.elapsed(), "err", detail)
	c.s.meter.callersEnded(cause, 1)
}

// disconnectCause returns why the connection of the request has ended.
func (c *call) disconnectCause() EndCause {
	if errors.Is(c.response.writeErr, os.ErrDeadlineExceeded) {
		return EndCallerStalled
	}
	return c.s.endCause()
}

// finishAnswer sends the rest of the answer. If that or a write before it failed, it records the end of the connection,
// which net/http then closes.
func (c *call) finishAnswer() {
	if c.response.writeErr == nil {
		c.w.extendWriteDeadline()
		c.response.writeErr = c.w.flush()
	}
	if c.response.writeErr == nil {
		if c.response.complete {
			c.recordAnswered()
		}
		return
	}
	cause := c.disconnectCause()
	if c.response.complete { // otherwise its outcome was recorded before
		c.recordDisconnected(cause)
	}
	c.recordCut(cause)
}

// endDisconnected ends a request whose connection has ended. It does not return.
func (c *call) endDisconnected() {
	cause := c.disconnectCause()
	c.recordDisconnected(cause)
	c.cut(cause)
}

// recordDisconnected records the outcome of a request whose connection ended before its answer was sent.
func (c *call) recordDisconnected(cause EndCause) {
	if cause == EndCallerLeft {
		event.LogFields(event.CallerLeft, "request", c.meta.ID, "after_ms", c.elapsed(), "attempts", c.attempts.count)
	}
	c.s.meter.requestEnded(c, cause.String())
}

// stackLines is the number of lines of a panic's stack that are logged.
const stackLines = 24

// recoverPanic is deferred by ServeHTTP. A panic of the handler is a fault of this program: the caller gets a 500 if
// nothing was sent. The panic of cut is passed on to net/http.
func (c *call) recoverPanic() {
	fault := recover()
	if fault == nil {
		return
	}
	if fault == http.ErrAbortHandler {
		panic(fault)
	}
	event.LogFields(event.HandlerPanicked, "request", c.meta.ID, "cause", EndInternalError, "panic", fmt.Sprint(fault), "stack", firstLines(debug.Stack(), stackLines))
	c.s.meter.requestEnded(c, "internal_error")
	if c.w.sent {
		c.cut(EndInternalError)
	}
	c.respondInternalError()
	c.finishAnswer()
}

// respondInternalError sends a 500 without the headers of an endpoint's response.
func (c *call) respondInternalError() {
	clear(c.w.Header())
	c.writeError(http.StatusInternalServerError, "a fault of the gateway")
}

// firstLines returns the first n lines of a text.
func firstLines(text []byte, n int) string {
	lines := strings.SplitN(string(text), "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], "\n")
}
