package ingress

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fault"
)

var (
	errEndpointUnreachable = errors.New("the endpoint became unreachable")
	errResponseOverdue     = errors.New("the response made no progress within the hang timeout")
	errGivenUp             = errors.New("an event arrived after the attempt had been given up")
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
	// overdueCheckInterval is the time between two checks whether a silent request can be retried.
	overdueCheckInterval = 250 * time.Millisecond
	// maxCheckDelay is how much later than due a check of a process that is not held up runs.
	maxCheckDelay = 100 * time.Millisecond
	// originProofTime is how long before a begun stream may be given up its endpoint is asked to prove where the stream began.
	originProofTime = 100 * time.Millisecond
	// unreachableSilence is how long an attempt has had no progress before it is given up because its endpoint is
	// unreachable.
	unreachableSilence = 350 * time.Millisecond
)

// watchdog detects that an attempt makes no progress. Only events of a stream count as progress:
// neither the head of a response nor the bytes of a buffered body restart the timers. After
// probeDelay it has the endpoint probed. It gives a retryable attempt up when the hang timeout expires, or when the
// endpoint is unreachable and the attempt has been silent for a while: a single connection that fails is no evidence
// against a stream whose events keep arriving.
//
// Invariant: an attempt is cancelled only after the next one has been reserved, and none of its events is forwarded
// after that.
type watchdog struct {
	attempt    *attempt
	cancel     context.CancelCauseFunc
	probeTimer *time.Timer
	checkTimer *time.Timer // nil for an attempt that must not be retried
	stopped    chan struct{}

	mu           sync.Mutex
	retry        control.PlacementRequest // for the next attempt
	lastProgress time.Time                // start of the attempt, or its last event
	hangTimeout  time.Duration            // silence after which the response is overdue
	nextCheck    time.Time                // when the next check is due
	heldUp       bool                     // a check was late since the last progress
	forwarding   bool                     // the last event is being written to the caller
	unreachable  bool                     // a connection to the endpoint has timed out during the attempt
	ended        bool
	reserved     *control.Reservation // of the next attempt, once this one has been given up
}

func newWatchdog(a *attempt, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{attempt: a, cancel: cancel, stopped: make(chan struct{}), lastProgress: time.Now()}
	w.retry = a.placementRequest(a.response.events > 0)
	w.retry.Tried = slices.Clone(w.retry.Tried)
	w.hangTimeout = max(hangGoalLatencyFactor*a.admission.Route.GoalLatency, minHangTimeout)
	w.probeTimer = time.AfterFunc(probeDelay, func() {
		fault.Contain("suspect", func() {
			a.s.control.Do(func(st *control.State, now boottime.Instant) { st.Suspect(now, a.placed) })
		}, "request", a.meta.ID, "endpoint", a.placed.Endpoint)
	})
	if !a.retryable() {
		return w
	}
	w.mu.Lock() // check may run before checkTimer is set
	defer w.mu.Unlock()
	w.nextCheck = time.Now().Add(w.hangTimeout)
	w.checkTimer = time.AfterFunc(w.hangTimeout, func() {
		fault.Contain("silence_check", w.check, "request", a.meta.ID, "endpoint", a.placed.Endpoint)
	})
	go w.awaitUnreachable()
	return w
}

// retryable reports whether another attempt is allowed after this one if the request may have run in it.
func (a *attempt) retryable() bool {
	after := a.attempts
	after.add(delivery{maybeSent: true, mayHaveRun: true}, a.placed)
	return after.retryDenied(a.admission.Route) == control.ReasonNone
}

// check gives the attempt up if the control state reserves the next one, and otherwise checks again later.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.reserved != nil {
		return
	}
	if w.forwarding {
		w.checkAfter(overdueCheckInterval)
		return
	}
	silence := time.Since(w.lastProgress)
	if rest := w.maxSilence() - silence; rest > 0 {
		w.proveOrigin()
		w.checkAfter(rest)
		return
	}
	if !w.heldUp && time.Since(w.nextCheck) > maxCheckDelay {
		w.heldUp = true // events of the attempt may not have been read yet
		w.checkAfter(overdueCheckInterval)
		return
	}
	silent := control.SilentAttempt{
		Attempt: w.attempt.placed, Silence: silence,
		HangTimeout: w.hangTimeout, UnreachableTimeout: unreachableSilence, Retry: w.retry,
	}
	w.attempt.s.control.Do(func(st *control.State, now boottime.Instant) { w.reserved = st.GiveUp(now, silent) })
	switch {
	case w.reserved == nil:
		w.checkAfter(overdueCheckInterval)
	case w.reserved.Result == control.ConnectTimedOut:
		w.cancel(errEndpointUnreachable)
	default:
		w.cancel(errResponseOverdue)
	}
}

// proveOrigin has the endpoint of a begun stream asked for its incarnation, unless it is known where the stream began. It must be
// called with mu held.
func (w *watchdog) proveOrigin() {
	if w.retry.Stream == "" {
		return
	}
	w.attempt.s.control.Do(func(st *control.State, now boottime.Instant) { st.StreamVersion(now, w.retry.Stream) })
}

// awaitUnreachable brings the next check forward once a connection to the endpoint has timed out.
func (w *watchdog) awaitUnreachable() {
	select {
	case <-w.attempt.placed.EndpointUnreachable:
	case <-w.stopped:
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.unreachable = true
		w.checkAfter(unreachableSilence - time.Since(w.lastProgress))
	}
}

// maxSilence returns the silence after which the attempt may be given up. It must be called with mu held.
func (w *watchdog) maxSilence() time.Duration {
	if w.unreachable {
		return unreachableSilence
	}
	return w.hangTimeout
}

// checkAfter makes the next check due after d. It must be called with mu held.
func (w *watchdog) checkAfter(d time.Duration) {
	d = max(d, 0)
	w.nextCheck = time.Now().Add(d)
	w.checkTimer.Reset(d)
}

// progress restarts the timers after the endpoint has sent an event. It returns false if the attempt has been given
// up: the event must not be forwarded, since the next attempt sends it as well.
func (w *watchdog) progress(goalEventGap time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserved != nil {
		return false
	}
	w.lastProgress, w.heldUp, w.forwarding = time.Now(), false, true
	w.attempt.placed.NoteEvent(boottime.Now())
	w.hangTimeout = max(hangEventGapFactor*goalEventGap, minHangTimeout)
	w.retry.Stream = w.attempt.origin.stream
	w.probeTimer.Reset(probeDelay)
	if w.checkTimer == nil {
		return true
	}
	w.checkAfter(w.maxSilence() - originProofTime)
	return true
}

// forwarded must be called after the event of progress has been written to the caller. The time for that is not
// silence of the endpoint.
func (w *watchdog) forwarded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress, w.forwarding = time.Now(), false
}

// stop ends the watch and returns the reservation of the next attempt if this one has been given up, or nil.
func (w *watchdog) stop() *control.Reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	close(w.stopped)
	w.probeTimer.Stop()
	if w.checkTimer != nil {
		w.checkTimer.Stop()
	}
	return w.reserved
}
