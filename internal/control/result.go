package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// Result is the outcome of an attempt.
type Result uint8

// Outcomes of an attempt.
const (
	Answered          Result = iota + 1 // the answer was received completely
	Failed                              // the endpoint answered with a failure of its own
	ConnectionRefused                   // the connection was refused
	Unreachable                         // opening the connection got no reply
	Broken                              // the connection broke, or the answer was malformed
	Hanging                             // the connection is open, but the answer is overdue
	RequestRefused                      // the endpoint refused the request without running it
	Misdirected                         // another endpoint answered at the address
	Cancelled                           // the caller disconnected, or the deadline passed
)

// String returns the result's stable name in logs and metrics.
func (r Result) String() string {
	switch r {
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case ConnectionRefused:
		return "connection_refused"
	case Unreachable:
		return "unreachable"
	case Broken:
		return "broken"
	case Hanging:
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
func (s *State) AttemptEnded(now boottime.Instant, a *Attempt, r Result) {
	e := a.endpoint
	if !e.attempts[a] {
		return
	}
	delete(e.attempts, a)
	e.inFlight--
	s.peerLoads.statusVersion++
	switch r {
	case Answered:
		s.recordResult(now, e, true)
		s.markUp(now, e)
	case Failed, Broken, Hanging:
		s.recordResult(now, e, false)
	case ConnectionRefused, Unreachable:
		s.markDown(now, e, r == Unreachable, true)
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
