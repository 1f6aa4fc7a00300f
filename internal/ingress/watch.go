package ingress

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

var (
	errEndpointUnreachable = errors.New("the endpoint became unreachable")
	errResponseOverdue     = errors.New("the response made no progress within the hang timeout")
)

const (
	// probeDelay is the time without progress after which the endpoint is probed. It is longer
	// than the pauses between events while the endpoint also processes the long prompt of another
	// request.
	probeDelay = 150 * time.Millisecond
	// hangGoalLatencyFactor times the route's goal latency is how long a retryable attempt waits
	// for the first event of a stream, or for a complete response that is not a stream.
	hangGoalLatencyFactor = 2
	// minHangTimeout is the lower limit of the hang timeouts. An endpoint needs this long to
	// process a long prompt before the first event.
	minHangTimeout = 600 * time.Millisecond
	// hangEventGapFactor times the route's goal for the gap between events is how long a retryable
	// attempt waits for the next event of a stream.
	hangEventGapFactor = 4
	// overdueCheckInterval is the time between two checks whether an overdue request can be retried.
	overdueCheckInterval = 250 * time.Millisecond
	// unreachableSilence is how long an attempt has had no progress before it is cancelled because its endpoint is
	// unreachable.
	unreachableSilence = 350 * time.Millisecond
)

// watchdog detects that an attempt makes no progress. Only events of a stream count as progress:
// neither the head of a response nor the bytes of a buffered body restart the timers. After
// probeDelay it has the endpoint probed. It cancels a retryable attempt, so that the request is retried at another
// endpoint, when the hang timeout expires and another endpoint can take the request, or when the endpoint is
// unreachable and the attempt has been silent for a while: a single connection that fails is no evidence
// against a stream whose events keep arriving.
type watchdog struct {
	attempt      *attempt
	cancel       context.CancelCauseFunc
	probeTimer   *time.Timer
	hangTimer    *time.Timer  // nil for an attempt that must not be retried
	lastProgress atomic.Int64 // Unix nanoseconds of the start of the attempt or of its last event
	hasEvents    atomic.Bool
	retry        control.PlacementRequest // for a retry before the first event
	stopped      chan struct{}
}

func newWatchdog(a *attempt, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{attempt: a, cancel: cancel, stopped: make(chan struct{})}
	w.retry = control.PlacementRequest{Service: a.admission.Service, Tried: slices.Clone(a.triedEndpoints), Version: a.origin.version}
	w.lastProgress.Store(time.Now().UnixNano())
	w.probeTimer = time.AfterFunc(probeDelay, func() {
		a.s.control.Do(func(st *control.State, now boottime.Instant) { st.Suspect(now, a.placed) })
	})
	if !a.retryable() {
		return w
	}
	w.hangTimer = time.AfterFunc(max(hangGoalLatencyFactor*a.admission.Route.GoalLatency, minHangTimeout), w.onOverdue)
	go w.awaitUnreachable()
	return w
}

// retryable reports whether the request may be retried at another endpoint if this attempt fails.
func (a *attempt) retryable() bool {
	r := a.admission.Route
	return r.Retryable() && a.attempts.mayHaveRunCount+1 < r.MaxAttempts
}

// onOverdue cancels the attempt if the request can be retried, and otherwise checks again later.
func (w *watchdog) onOverdue() {
	if w.canRetry() {
		w.cancel(errResponseOverdue)
		return
	}
	select {
	case <-w.stopped:
	default:
		w.hangTimer.Reset(overdueCheckInterval)
	}
}

// canRetry reports whether another endpoint could take the request now.
func (w *watchdog) canRetry() bool {
	req := w.retry
	if w.hasEvents.Load() {
		req.Version = w.attempt.placed.StreamVersion()
	}
	ok := false
	w.attempt.s.control.Do(func(st *control.State, now boottime.Instant) { ok = st.CanRetry(now, req) })
	return ok
}

// awaitUnreachable cancels the attempt once its endpoint is unreachable and the attempt has made no progress for
// unreachableSilence.
func (w *watchdog) awaitUnreachable() {
	select {
	case <-w.attempt.placed.EndpointUnreachable:
	case <-w.stopped:
		return
	}
	for {
		silentFor := time.Duration(time.Now().UnixNano() - w.lastProgress.Load())
		if silentFor >= unreachableSilence {
			break
		}
		select {
		case <-time.After(unreachableSilence - silentFor):
		case <-w.stopped:
			return
		}
	}
	unreachable := true
	w.attempt.s.control.Do(func(st *control.State, _ boottime.Instant) { unreachable = st.Unreachable(w.attempt.placed) })
	if unreachable {
		w.cancel(errEndpointUnreachable)
	}
}

// progress restarts the timers after the endpoint has sent an event.
func (w *watchdog) progress(goalEventGap time.Duration) {
	w.lastProgress.Store(time.Now().UnixNano())
	w.hasEvents.Store(true)
	w.probeTimer.Reset(probeDelay)
	if w.hangTimer != nil {
		w.hangTimer.Reset(max(hangEventGapFactor*goalEventGap, minHangTimeout))
	}
}

func (w *watchdog) stop() {
	close(w.stopped)
	w.probeTimer.Stop()
	if w.hangTimer != nil {
		w.hangTimer.Stop()
	}
}
