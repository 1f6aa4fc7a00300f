package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// Result is what became of an attempt.
type Result uint8

// The results of an attempt.
const (
	Answered          Result = iota + 1 // a whole answer came
	Failed                              // the endpoint answered that it failed
	ConnectionRefused                   // the connection was refused
	Unreachable                         // nothing came back to the opening of the connection
	Broken                              // the connection broke, or what came is no answer
	Hanging                             // the connection stands, but the answer does not come
	RequestRefused                      // the endpoint refused the request
	Misdirected                         // another endpoint has the address
	Cancelled                           // the caller left, or the time was over
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

// AttemptEnded takes the result of the attempt that a ticket counts.
func (s *State) AttemptEnded(now boottime.Instant, t *Attempt, r Result) {
	e := t.endpoint
	if !e.attempts[t] {
		return
	}
	delete(e.attempts, t)
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

// ResponseStarted notes that the endpoint of a ticket has begun to answer.
func (s *State) ResponseStarted(now boottime.Instant, t *Attempt) {
	t.endpoint.health.lastSuccess = now
}

// ReportCold notes that an endpoint said how much longer it is cold.
func (s *State) ReportCold(now boottime.Instant, t *Attempt, left time.Duration) {
	t.endpoint.coldStart.until = max(t.endpoint.coldStart.until, now.Add(left))
}

// closeEndpointLost tells the requests at an endpoint that it is gone without a word.
func (s *State) closeEndpointLost(e *endpoint) {
	for t := range e.attempts {
		select {
		case <-t.endpointLost:
		default:
			close(t.endpointLost)
		}
	}
}
