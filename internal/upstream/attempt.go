package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

var errProtocol = errors.New("upstream: the endpoint's answer cannot be understood")

// attempt is one run of a dispatch.
type attempt struct {
	c       *Client
	d       core.Dispatch
	rq      *Request
	answer  ResponseSink
	started func(core.AttemptStarted)
	flight  flight
	dog     *watchdog
}

// Run carries out a dispatch and returns the one event that ends it. It calls
// started when the endpoint begins to answer. A context that is cancelled with
// ErrCancelled ends the attempt.
func (c *Client) Run(ctx context.Context, d core.Dispatch, rq *Request, an ResponseSink, started func(core.AttemptStarted)) core.Event {
	a := &attempt{c: c, d: d, rq: rq, answer: an, started: started}
	a.flight.notAfter = d.NotAfter
	return a.run(ctx)
}

func (a *attempt) run(ctx context.Context) core.Event {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !a.d.Deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadlineCause(ctx, a.d.Deadline, errDeadline)
		defer stop()
	}
	a.dog = newWatchdog(a.firstProgress(), cancel)
	defer a.dog.stop()

	r, err := newRequest(withFlight(ctx, &a.flight), a.d, a.rq)
	if err != nil {
		return a.notSent(core.CauseProtocol, 0)
	}
	resp, err := a.c.attempts.RoundTrip(r)
	if err != nil {
		return a.failed(ctx, err)
	}
	defer resp.Body.Close()
	return a.reply(ctx, resp)
}

// firstProgress leaves a call that must not run twice as much time as it has.
func (a *attempt) firstProgress() time.Duration {
	if a.rq.Idempotent || a.d.Kind == fleet.Engine || a.d.Deadline.IsZero() {
		return a.c.cfg.FirstProgressTimeout
	}
	return max(time.Until(a.d.Deadline), 0)
}

func (a *attempt) reply(ctx context.Context, resp *http.Response) core.Event {
	if refused(resp) {
		return a.notSent(core.CauseRefused, retryAfter(resp.Header))
	}
	if a.d.Resume && resp.StatusCode == http.StatusNotFound {
		return a.lost(core.CauseProtocol, true)
	}
	a.started(core.AttemptStarted{ID: a.d.ID, Attempt: a.d.Attempt, Incarnation: incarnation(resp.Header)})
	if a.d.Kind == fleet.Engine && resp.StatusCode == http.StatusOK {
		return a.stream(ctx, resp)
	}
	if a.d.Kind == fleet.Engine && resp.StatusCode >= http.StatusInternalServerError {
		return a.lost(core.CauseProtocol, false)
	}
	return a.document(ctx, resp)
}

// failed maps an error of the connection to the event that tells the truth about it.
func (a *attempt) failed(ctx context.Context, err error) core.Event {
	cause := causeOf(ctx, err)
	switch a.flight.end() {
	case flightHanded:
		return a.lost(cause, false)
	case flightExpired:
		return a.notSent(core.CauseLeaseExpired, 0)
	default:
		if cause == core.CauseReset {
			cause = core.CauseConnect
		}
		return a.notSent(cause, 0)
	}
}

func causeOf(ctx context.Context, err error) core.AttemptCause {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent), errors.Is(cause, errDeadline):
		return core.CauseNoProgress
	case cause != nil:
		return core.CauseCancelled
	case errors.Is(err, errProtocol):
		return core.CauseProtocol
	default:
		return core.CauseReset
	}
}

func (a *attempt) notSent(cause core.AttemptCause, after time.Duration) core.Event {
	return core.AttemptNotSent{ID: a.d.ID, Attempt: a.d.Attempt, Cause: cause, RetryAfter: after}
}

func (a *attempt) lost(cause core.AttemptCause, gone bool) core.Event {
	return core.AttemptLost{ID: a.d.ID, Attempt: a.d.Attempt, Cause: cause, Offset: a.answer.Sent(), StreamGone: gone}
}

// refused tells whether the endpoint itself says that it did not take the request.
func refused(resp *http.Response) bool {
	if resp.Header.Get("X-Not-Run") != "true" {
		return false
	}
	return resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}

func incarnation(h http.Header) fleet.Incarnation {
	n, err := strconv.ParseUint(h.Get("X-Incarnation"), 10, 64)
	if err != nil {
		return 0
	}
	return fleet.Incarnation(n)
}
