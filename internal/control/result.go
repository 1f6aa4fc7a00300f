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
	e := t.e
	if !e.tickets[t] {
		return
	}
	delete(e.tickets, t)
	e.inFlight--
	s.loads.version++
	switch r {
	case Answered:
		s.result(now, e, true)
		s.markUp(now, e)
	case Failed, Broken, Hanging:
		s.result(now, e, false)
	case ConnectionRefused, Unreachable:
		s.markDown(now, e, r == Unreachable, true)
	case RequestRefused:
		e.health.avoidUntil = max(e.health.avoidUntil, now.Add(fullTime))
	case Misdirected:
		e.moved = true
	}
}

// ResponseStarted notes that the endpoint of a ticket has begun to answer.
func (s *State) ResponseStarted(now boottime.Instant, t *Attempt) { t.e.health.lastGood = now }

// ReportCold notes that an endpoint said how much longer it is cold.
func (s *State) ReportCold(now boottime.Instant, t *Attempt, left time.Duration) {
	t.e.cold.until = max(t.e.cold.until, now.Add(left))
}

// abandon tells the requests at an endpoint that it is gone without a word.
func (s *State) abandon(e *endpoint) {
	for t := range e.tickets {
		select {
		case <-t.lost:
		default:
			close(t.lost)
		}
	}
}
