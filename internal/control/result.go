package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

// AttemptResult is the result of an attempt.
type AttemptResult uint8

// Results of an attempt.
const (
	ResponseComplete    AttemptResult = iota + 1 // the response was received completely
	EndpointFailed                               // the endpoint responded with a failure of its own
	ConnectionRefused                            // the connection was refused
	ConnectTimedOut                              // the connection attempt got no reply
	ResponseBroken                               // the connection broke, or the response was malformed
	ResponseOverdue                              // the connection is open, but the response is overdue
	RequestRefused                               // the endpoint refused the request without running it
	Misdirected                                  // another endpoint responded at the address
	Cancelled                                    // the caller disconnected, the deadline passed, or a fault of this program ended it
	IncarnationUnproven                          // the endpoint did not report the incarnation of its entry
	ResponseDropped                              // this process had no memory for the response; says nothing about the endpoint
)

// String returns the result's stable name in logs and metrics.
func (r AttemptResult) String() string {
	switch r {
	case ResponseComplete:
		return "answered"
	case EndpointFailed:
		return "failed"
	case ConnectionRefused:
		return "connection_refused"
	case ConnectTimedOut:
		return "unreachable"
	case ResponseBroken:
		return "broken"
	case ResponseOverdue:
		return "hanging"
	case RequestRefused:
		return "refused"
	case Misdirected:
		return "misdirected"
	case Cancelled:
		return "cancelled"
	case IncarnationUnproven:
		return "unproven"
	case ResponseDropped:
		return "dropped"
	default:
		return "invalid"
	}
}

// AttemptEnded records the result of an attempt, which then no longer counts as in flight. Further
// calls for the same attempt have no effect.
func (s *State) AttemptEnded(now boottime.Instant, a *Attempt, r AttemptResult) {
	e := a.endpoint
	if !e.attempts[a] {
		return
	}
	delete(e.attempts, a)
	e.inFlight--
	s.countWorkspace(a, -1)
	s.backlog.tracker.Ended(now, a)
	s.peerLoads.statusVersion++
	switch r {
	case ResponseComplete:
		e.lastProgress = now
		s.learnCost(now, a)
		e.noteSurvivor(now, a)
		s.requestCompleted(now, a)
		s.attemptCompleted(now, a)
		s.recordResult(now, e, true)
		s.markUp(now, e)
	case EndpointFailed, ResponseBroken, ResponseOverdue:
		if r == ResponseBroken {
			e.suspectRestart(now)
		}
		s.recordResult(now, e, false)
	case ConnectionRefused, ConnectTimedOut:
		s.markDown(now, e, r == ConnectTimedOut, true)
	case RequestRefused:
		s.noteRefusal(now, e)
		e.health.avoidUntil = max(e.health.avoidUntil, now.Add(refusalAvoidInterval))
	case Misdirected:
		e.addrReused = true
	}
}

// ResponseStarted records that the endpoint has begun to respond.
func (s *State) ResponseStarted(now boottime.Instant, a *Attempt) {
	if a.startedAt == 0 {
		a.startedAt = now
		s.PromptRead(now, a)
	}
	a.endpoint.lastProgress = now
	a.endpoint.health.lastSuccess = now
}

// ReportCold records the remaining cold-start time that an endpoint reported.
func (s *State) ReportCold(now boottime.Instant, a *Attempt, remaining time.Duration) {
	a.endpoint.coldStart.until = max(a.endpoint.coldStart.until, now.Add(remaining))
}

// ReportLeaving records that the endpoint of an attempt said in its response that it leaves. It gets no further
// requests, whatever its entry says, until the entry is that of another incarnation.
func (s *State) ReportLeaving(now boottime.Instant, a *Attempt) {
	e := a.endpoint
	if e.announcedLeaving || e.Incarnation != a.Incarnation {
		return
	}
	e.announcedLeaving = true
	s.log(event.EndpointLeaves, "endpoint", e.ID, "addr", e.Addr, "in_flight", e.inFlight)
}

// ReportRetryAfter records that the endpoint of an attempt wants no requests from this gateway for a time.
func (s *State) ReportRetryAfter(now boottime.Instant, a *Attempt, d time.Duration) {
	a.endpoint.noRequestsUntil = max(a.endpoint.noRequestsUntil, now.Add(d))
	s.log(event.EndpointPauses, "endpoint", a.Endpoint, "pause_ms", d.Milliseconds())
}

// signalUnreachable closes EndpointUnreachable of all attempts at an endpoint.
func (s *State) signalUnreachable(e *endpoint) {
	for a := range e.attempts {
		select {
		case <-a.endpointUnreachable:
		default:
			close(a.endpointUnreachable)
		}
	}
}
