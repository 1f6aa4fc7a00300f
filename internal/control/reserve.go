package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/retry"
)

// SilentAttempt is an attempt of a retryable request whose endpoint has sent nothing for a time.
type SilentAttempt struct {
	Attempt            *Attempt
	Silence            time.Duration    // since the start of the attempt or its last event
	HangTimeout        time.Duration    // silence after which the response is overdue
	UnreachableTimeout time.Duration    // the same if the last connection to the endpoint timed out
	Retry              PlacementRequest // for the attempt that would follow
}

// Reservation is a retry that is placed and counted against the retry budget while the attempt before it still
// runs. It ends with AttemptEnded for its attempt, or with ReleaseRetry if it is not used.
type Reservation struct {
	Attempt *Attempt
	Result  AttemptResult // of the attempt that is given up: ResponseOverdue or ConnectTimedOut

	window     *retry.Window
	reservedAt boottime.Instant
}

// GiveUp decides whether a silent attempt is given up. If so, it returns the reservation of the next one. It returns
// nil if the attempt must go on, because it has not been silent for long enough, no other endpoint is eligible, or
// the retry budget is exhausted: silence alone is no reason to end a response. For an overdue response, endpoints that
// have been silent for half the hang timeout are not eligible: if a whole service is silent, an attempt elsewhere is no
// better, and nothing speaks against a single endpoint.
func (s *State) GiveUp(now boottime.Instant, a SilentAttempt) *Reservation {
	result := s.silenceResult(a)
	if result == ResponseOverdue && a.Attempt.startedAt == 0 && s.contended(a.Retry.Service) {
		return nil // it waits in the endpoint's queue; another queue is no better
	}
	if result == ResponseOverdue {
		a.Retry.maxSilence = a.HangTimeout / 2
	}
	resolved := s.atStreamVersion(now, a.Retry)
	if result == 0 || resolved.streamUnknown() || !s.anyEligible(now, resolved) {
		return nil
	}
	p := s.PlaceRetry(now, a.Retry, result)
	if p.Reason != ReasonNone {
		return nil
	}
	return &Reservation{Attempt: p.Attempt, Result: result, window: s.retryWindow(a.Retry.Service), reservedAt: now}
}

// NoteEvent records that an event of the attempt's stream has arrived. It is safe for concurrent use with the State.
func (a *Attempt) NoteEvent(now boottime.Instant) {
	a.lastEvent.Store(int64(now))
	a.events.Add(1)
}

// silentFor reports whether an endpoint has shown no sign of progress for d, although it has had an attempt for as long.
// An endpoint without attempts is not silent.
func (e *endpoint) silentFor(now boottime.Instant, d time.Duration) bool {
	since := now.Add(-d)
	if e.lastProgress > since {
		return false
	}
	waiting := false
	for a := range e.attempts {
		if boottime.Instant(a.lastEvent.Load()) > since {
			return false
		}
		waiting = waiting || a.sentAt <= since
	}
	return waiting
}

// silenceResult returns the result of an attempt if it is given up now, or 0 if it has not been silent for long enough.
func (s *State) silenceResult(a SilentAttempt) AttemptResult {
	switch {
	case s.unreachable(a.Attempt) && a.Silence >= a.UnreachableTimeout:
		return ConnectTimedOut
	case a.Silence >= a.HangTimeout:
		return ResponseOverdue
	default:
		return 0
	}
}

// unreachable reports whether the last connection to the endpoint of an attempt timed out.
func (s *State) unreachable(a *Attempt) bool {
	h := &a.endpoint.health
	return h.down && h.timedOut
}

// ReleaseRetry returns a reservation that is not used: its attempt no longer counts as in flight, nor does the retry
// against the budget. It has no effect after AttemptEnded for the attempt.
func (s *State) ReleaseRetry(now boottime.Instant, r *Reservation) {
	if !r.Attempt.endpoint.attempts[r.Attempt] {
		return
	}
	s.AttemptEnded(now, r.Attempt, Cancelled)
	r.window.ReturnRetry(r.reservedAt)
}
