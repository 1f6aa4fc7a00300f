package ingress

import (
	"context"
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
)

// watchdog detects that an attempt makes no progress. Only events of a stream count as progress:
// neither the head of a response nor the bytes of a buffered body restart the timers. After
// probeDelay it has the endpoint probed. It cancels a retryable attempt when the endpoint becomes
// unreachable or when the hang timeout expires, so that the request is retried at another endpoint.
type watchdog struct {
	probeTimer *time.Timer
	hangTimer  *time.Timer // nil for an attempt that must not be retried
	stopped    chan struct{}
}

func newWatchdog(a *attempt, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{stopped: make(chan struct{})}
	w.probeTimer = time.AfterFunc(probeDelay, func() {
		a.s.control.Do(func(st *control.State, now boottime.Instant) { st.Suspect(now, a.placed) })
	})
	if !a.retryable() {
		return w
	}
	w.hangTimer = time.AfterFunc(max(hangGoalLatencyFactor*a.admission.Route.GoalLatency, minHangTimeout), func() { cancel(errResponseOverdue) })
	go func() {
		select {
		case <-a.placed.EndpointUnreachable:
			cancel(errEndpointUnreachable)
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
func (w *watchdog) progress(goalEventGap time.Duration) {
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
