package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// AttemptResult is the outcome of an attempt.
type AttemptResult uint8

// Outcomes of an attempt.
const (
	ResponseComplete  AttemptResult = iota + 1 // the answer was received completely
	EndpointFailed                             // the endpoint answered with a failure of its own
	ConnectionRefused                          // the connection was refused
	ConnectTimedOut                            // opening the connection got no reply
	ResponseBroken                             // the connection broke, or the answer was malformed
	ResponseOverdue                            // the connection is open, but the answer is overdue
	RequestRefused                             // the endpoint refused the request without running it
	Misdirected                                // another endpoint answered at the address
	Cancelled                                  // the caller disconnected, or the deadline passed
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
	default:
		return "invalid"
	}
}

// AttemptEnded records the result of an attempt and ends its count as in flight. Further calls
// for the same attempt have no effect.
func (s *State) AttemptEnded(now boottime.Instant, a *Attempt, r AttemptResult) {
	e := a.endpoint
	if !e.attempts[a] {
		return
	}
	delete(e.attempts, a)
	e.inFlight--
	s.peerLoads.statusVersion++
	switch r {
	case ResponseComplete:
		s.recordResult(now, e, true)
		s.markUp(now, e)
	case EndpointFailed, ResponseBroken, ResponseOverdue:
		s.recordResult(now, e, false)
	case ConnectionRefused, ConnectTimedOut:
		s.markDown(now, e, r == ConnectTimedOut, true)
	case RequestRefused:
		e.health.avoidUntil = max(e.health.avoidUntil, now.Add(refusalAvoidInterval))
	case Misdirected:
		e.addrReused = true
	}
}

// ResponseStarted records that the endpoint has begun to answer.
func (s *State) ResponseStarted(now boottime.Instant, a *Attempt) {
	a.endpoint.health.lastSuccess = now
}

// ReportCold records the remaining cold time that an endpoint reported.
func (s *State) ReportCold(now boottime.Instant, a *Attempt, left time.Duration) {
	a.endpoint.coldStart.until = max(a.endpoint.coldStart.until, now.Add(left))
}

// closeEndpointLost signals all attempts at an endpoint that it is unreachable.
func (s *State) closeEndpointLost(e *endpoint) {
	for a := range e.attempts {
		select {
		case <-a.endpointLost:
		default:
			close(a.endpointLost)
		}
	}
}
