package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/respcheck"
)

var errProtocol = errors.New("upstream: invalid response from the endpoint")

// attempt is the state of one dispatch while it runs.
type attempt struct {
	client    *Client
	dispatch  core.Dispatch
	request   *Request
	sink      ResponseSink
	onStarted func(core.AttemptStarted)
	guard     sendGuard
	watchdog  *watchdog
}

// Run executes a dispatch and returns the one event that ends it: AttemptNotSent,
// AttemptLost or AttemptDone. It calls onStarted when the endpoint begins to respond.
// Cancelling the context with the cause ErrCancelled ends the attempt.
func (c *Client) Run(ctx context.Context, d core.Dispatch, rq *Request, sink ResponseSink, onStarted func(core.AttemptStarted)) core.Event {
	a := &attempt{client: c, dispatch: d, request: rq, sink: sink, onStarted: onStarted}
	a.guard.notAfter = d.NotAfter
	return a.run(ctx)
}

func (a *attempt) run(ctx context.Context) core.Event {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !a.dispatch.Deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, a.dispatch.Deadline, errDeadline)
		defer stop()
	}
	a.watchdog = newWatchdog(a.firstProgressTimeout(), cancel)
	defer a.watchdog.stop()

	r, err := newRequest(withSendGuard(ctx, &a.guard), a.dispatch, a.request)
	if err != nil {
		return a.notSent(core.CauseProtocol, 0)
	}
	resp, err := a.client.attemptTransport.RoundTrip(r)
	if err != nil {
		return a.handleError(ctx, err)
	}
	defer resp.Body.Close()
	return a.handleResponse(ctx, resp)
}

// firstProgressTimeout returns how long the attempt waits for the response to begin.
func (a *attempt) firstProgressTimeout() time.Duration {
	if a.untilDeadline() {
		return max(time.Until(a.dispatch.Deadline), 0)
	}
	return a.client.cfg.FirstProgressTimeout
}

// untilDeadline reports whether only the deadline ends an attempt without progress: that of a non-idempotent service
// request, which cannot be retried.
func (a *attempt) untilDeadline() bool {
	return !a.request.Idempotent && a.dispatch.Kind != fleet.Engine && !a.dispatch.Deadline.IsZero()
}

func (a *attempt) handleResponse(ctx context.Context, resp *http.Response) core.Event {
	if isRefusal(resp) {
		return a.notSent(core.CauseRefused, parseRetryAfter(resp.Header))
	}
	if a.dispatch.Resume && resp.StatusCode == http.StatusNotFound {
		return a.lost(core.CauseProtocol, true)
	}
	a.onStarted(core.AttemptStarted{ID: a.dispatch.ID, Attempt: a.dispatch.Attempt, Incarnation: parseIncarnation(resp.Header)})
	if a.dispatch.Kind == fleet.Engine && resp.StatusCode == http.StatusOK {
		return a.forwardStream(ctx, resp)
	}
	if a.dispatch.Kind == fleet.Engine && resp.StatusCode >= http.StatusInternalServerError {
		return a.lost(core.CauseProtocol, false)
	}
	return a.forwardResponse(ctx, resp)
}

// handleError maps a transport error to AttemptLost if a byte of the request may have
// been sent, and to AttemptNotSent otherwise.
func (a *attempt) handleError(ctx context.Context, err error) core.Event {
	cause := causeOf(ctx, err)
	switch a.guard.finish() {
	case sendStarted:
		return a.lost(cause, false)
	case sendExpired:
		return a.notSent(core.CauseLeaseExpired, 0)
	default:
		if cause == core.CauseReset {
			cause = core.CauseConnect
		}
		return a.notSent(cause, 0)
	}
}

// causeOf maps an error of an attempt to a cause. The cause of the context takes precedence; an expired deadline counts
// as no progress.
func causeOf(ctx context.Context, err error) core.AttemptCause {
	var invalid *respcheck.HeadError
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errNoProgress), errors.Is(cause, errDeadline):
		return core.CauseNoProgress
	case cause != nil:
		return core.CauseCancelled
	case errors.Is(err, errProtocol), errors.As(err, &invalid):
		return core.CauseProtocol
	default:
		return core.CauseReset
	}
}

func (a *attempt) notSent(cause core.AttemptCause, retryAfter time.Duration) core.Event {
	return core.AttemptNotSent{ID: a.dispatch.ID, Attempt: a.dispatch.Attempt, Cause: cause, RetryAfter: retryAfter}
}

func (a *attempt) lost(cause core.AttemptCause, streamGone bool) core.Event {
	return core.AttemptLost{ID: a.dispatch.ID, Attempt: a.dispatch.Attempt, Cause: cause, Offset: a.sink.Sent(), StreamGone: streamGone}
}

// isRefusal reports whether the endpoint states in its response that it did not run the request.
func isRefusal(resp *http.Response) bool {
	if resp.Header.Get("X-Not-Run") != "true" {
		return false
	}
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}

func parseRetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}

func parseIncarnation(h http.Header) fleet.Incarnation {
	n, err := strconv.ParseUint(h.Get("X-Incarnation"), 10, 64)
	if err != nil {
		return 0
	}
	return fleet.Incarnation(n)
}
