package ingress

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

var (
	errLost    = errors.New("the endpoint is gone without a word")
	errHanging = errors.New("the endpoint does not go on")
)

const (
	// suspectAfter is the silence of an endpoint after which it is probed. Engines that
	// read a long prompt of another request pause for less.
	suspectAfter = 150 * time.Millisecond
	// hangGoals is how many times its goal a request that may be repeated waits for the
	// beginning of its answer before it is sent elsewhere.
	hangGoals = 2
	// minHang bounds that time from below: a long prompt takes as long to read.
	minHang = 600 * time.Millisecond
	// hangPauses is the same for the pauses between the events of a stream.
	hangPauses = 4
)

// watch notices that an endpoint is silent: it asks for a probe first, and ends an
// attempt that may be repeated when the endpoint is gone or goes on being silent.
type watch struct {
	suspect *time.Timer
	hang    *time.Timer // nil for an attempt that must not be repeated
	quit    chan struct{}
}

func newWatch(a *attempt, cancel context.CancelCauseFunc) *watch {
	w := &watch{quit: make(chan struct{})}
	w.suspect = time.AfterFunc(suspectAfter, func() {
		a.s.control.Do(func(st *control.State, now boottime.Instant) { st.Suspect(now, a.ticket) })
	})
	if !a.repeatable() {
		return w
	}
	w.hang = time.AfterFunc(max(hangGoals*a.admission.Route.GoalLatency, minHang), func() { cancel(errHanging) })
	go func() {
		select {
		case <-a.ticket.EndpointLost:
			cancel(errLost)
		case <-w.quit:
		}
	}()
	return w
}

// repeatable tells whether a failure of the attempt can be made good at another endpoint.
func (a *attempt) repeatable() bool {
	r := a.admission.Route
	return r.Retryable() && a.attempts.ran+1 < r.MaxAttempts
}

// progress notes that the endpoint has sent something.
func (w *watch) progress(maxPause time.Duration) {
	w.suspect.Reset(suspectAfter)
	if w.hang != nil {
		w.hang.Reset(max(hangPauses*maxPause, minHang))
	}
}

func (w *watch) stop() {
	close(w.quit)
	w.suspect.Stop()
	if w.hang != nil {
		w.hang.Stop()
	}
}
