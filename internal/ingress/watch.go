package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

var (
	errEndpointLost    = errors.New("the endpoint is gone without a word")
	errEndpointHanging = errors.New("the endpoint does not go on")
)

const (
	// suspectTimeout is the silence of an endpoint after which it is probed. Engines that
	// read a long prompt of another request pause for less.
	suspectTimeout = 150 * time.Millisecond
	// hangGoalLatencyFactor is how many times its goal a request that may be repeated waits for the
	// beginning of its answer before it is sent elsewhere.
	hangGoalLatencyFactor = 2
	// minHangTimeout bounds that time from below: a long prompt takes as long to read.
	minHangTimeout = 600 * time.Millisecond
	// hangEventGapFactor is the same for the pauses between the events of a stream.
	hangEventGapFactor = 4
)

// watchdog notices that an endpoint is silent: it asks for a probe first, and ends an
// attempt that may be repeated when the endpoint is gone or goes on being silent.
type watchdog struct {
	suspectTimer *time.Timer
	hangTimer    *time.Timer // nil for an attempt that must not be repeated
	stopped      chan struct{}
}

func newWatchdog(a *attempt, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{stopped: make(chan struct{})}
	w.suspectTimer = time.AfterFunc(suspectTimeout, func() {
		a.s.control.Do(func(st *control.State, now boottime.Instant) { st.Suspect(now, a.ticket) })
	})
	if !a.retryable() {
		return w
	}
	w.hangTimer = time.AfterFunc(max(hangGoalLatencyFactor*a.admission.Route.GoalLatency, minHangTimeout), func() { cancel(errEndpointHanging) })
	go func() {
		select {
		case <-a.ticket.Lost:
			cancel(errEndpointLost)
		case <-w.stopped:
		}
	}()
	return w
}

// retryable tells whether a failure of the attempt can be made good at another endpoint.
func (a *attempt) retryable() bool {
	r := a.admission.Route
	return r.Retryable() && a.attempts.mayHaveRunCount+1 < r.MaxAttempts
}

// progress notes that the endpoint has sent something.
func (w *watchdog) progress(maxPause time.Duration) {
	w.suspectTimer.Reset(suspectTimeout)
	if w.hangTimer != nil {
		w.hangTimer.Reset(max(hangEventGapFactor*maxPause, minHangTimeout))
	}
}

func (w *watchdog) stop() {
	close(w.stopped)
	w.suspectTimer.Stop()
	if w.hangTimer != nil {
		w.hangTimer.Stop()
	}
}
