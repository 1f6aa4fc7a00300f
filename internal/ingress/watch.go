package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

var (
	errEndpointLost    = errors.New("the endpoint became unreachable")
	errEndpointHanging = errors.New("the endpoint stalled without sending data")
)

const (
	// suspectTimeout is the time without data from an endpoint after which it is probed. It is
	// longer than the pauses of an engine that processes the long prompt of another request.
	suspectTimeout = 150 * time.Millisecond
	// hangGoalLatencyFactor times the route's goal latency is how long a retryable request waits
	// for the start of its response before it is retried at another endpoint.
	hangGoalLatencyFactor = 2
	// minHangTimeout is the lower limit of the hang timeouts: an engine needs this long to
	// process a long prompt.
	minHangTimeout = 600 * time.Millisecond
	// hangEventGapFactor times the route's maximum event gap is how long it waits for the next
	// event of a stream.
	hangEventGapFactor = 4
)

// watchdog detects that an endpoint sends no data during an attempt. After suspectTimeout it
// has the endpoint probed. It cancels a retryable attempt when the endpoint becomes unreachable
// or when the hang timeout expires.
type watchdog struct {
	suspectTimer *time.Timer
	hangTimer    *time.Timer // nil for an attempt that must not be retried
	stopped      chan struct{}
}

func newWatchdog(a *attempt, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{stopped: make(chan struct{})}
	w.suspectTimer = time.AfterFunc(suspectTimeout, func() {
		a.s.control.Do(func(st *control.State, now boottime.Instant) { st.Suspect(now, a.placed) })
	})
	if !a.retryable() {
		return w
	}
	w.hangTimer = time.AfterFunc(max(hangGoalLatencyFactor*a.admission.Route.GoalLatency, minHangTimeout), func() { cancel(errEndpointHanging) })
	go func() {
		select {
		case <-a.placed.EndpointUnreachable:
			cancel(errEndpointLost)
		case <-w.stopped:
		}
	}()
	return w
}

// retryable reports whether the request may be retried at another endpoint if this attempt fails.
func (a *attempt) retryable() bool {
	r := a.admission.Route
	return r.Retryable() && a.attempts.mayHaveRunCount+1 < r.MaxAttempts
}

// progress restarts the timers after the endpoint has sent an event.
func (w *watchdog) progress(maxEventGap time.Duration) {
	w.suspectTimer.Reset(suspectTimeout)
	if w.hangTimer != nil {
		w.hangTimer.Reset(max(hangEventGapFactor*maxEventGap, minHangTimeout))
	}
}

func (w *watchdog) stop() {
	close(w.stopped)
	w.suspectTimer.Stop()
	if w.hangTimer != nil {
		w.hangTimer.Stop()
	}
}
