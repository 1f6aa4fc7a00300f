package callerconn

import "time"

// Margin is how long a connection is kept after what its last answer announced. Without it, a connection could be
// closed while a caller sends a request just before the announced end.
const Margin = time.Second

// maxStartOfHead is how long the first bytes of a request may be all that arrives. net/http limits the time for the
// head only from its fourth byte on.
const maxStartOfHead = 10 * time.Second

// Reason is why connections are examined.
type Reason uint8

// Reasons to close connections that have no request in them.
const (
	Idle        Reason = iota + 1 // the regular check
	PlannedStop                   // a planned stop: promises are kept
	GraceEnd                      // the end of the grace period is near: promises are no longer kept
	Connections                   // the budget for connections is exhausted
	Memory                        // the budget for memory is exhausted
)

// Reasons to refuse what a caller sends. These connections are answered, except for Unused and Refused.
const (
	HeadTooLarge  Reason = iota + Memory + 1 // a head over the limit
	HeadLate                                 // a head that is not complete within the header timeout
	HeadMalformed                            // a head that net/http rejects
	Unused                                   // no byte arrived on a new connection
	Refused                                  // a new connection, when no other one may be closed for it
)

// String returns the reason's stable name in logs.
func (r Reason) String() string {
	switch r {
	case Idle:
		return "idle"
	case PlannedStop:
		return "planned_stop"
	case GraceEnd:
		return "grace_end"
	case Connections:
		return "connections"
	case Memory:
		return "memory"
	case HeadTooLarge:
		return "head_too_large"
	case HeadLate:
		return "head_late"
	case HeadMalformed:
		return "head_malformed"
	case Unused:
		return "unused"
	case Refused:
		return "refused"
	default:
		return "invalid"
	}
}

// Phase is where a connection stands between two requests.
type Phase uint8

// Phases of a connection.
const (
	Fresh    Phase = iota // accepted, and no byte has been read
	Waiting               // the last request was answered, and no byte of another one has been read
	Started               // some bytes of a head have been read, too few for net/http to notice
	InFlight              // a request is being read, run or answered
)

// State is what the decision depends on.
type State struct {
	Phase     Phase
	Since     time.Time     // since when the connection is in its phase
	Announced time.Duration // Keep-Alive timeout of the last answer, 0 for none

	Incomplete bool // a request is missing, or part of one, and the connection is not between two requests
}

// Verdict is the result of a decision.
type Verdict uint8

// Verdicts about a connection.
const (
	KeepRequest  Verdict = iota + 1 // a request, or part of one, is in it
	KeepPromised                    // the caller may still send a request
	Close
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case KeepRequest:
		return "keep_request"
	case KeepPromised:
		return "keep_promised"
	case Close:
		return "close"
	default:
		return "invalid"
	}
}

// Decide returns what to do with a connection whose receive buffer is empty. limit is the idle timeout that applies to
// answers sent now, or 0 if there is none.
func Decide(s State, why Reason, limit time.Duration, now time.Time) Verdict {
	age := now.Sub(s.Since)
	if why == Connections || why == Memory {
		return decideShortage(s, age)
	}
	switch s.Phase {
	case Fresh:
		return decideFresh(age, why)
	case Waiting:
		return decideWaiting(s, age, why, limit)
	case Started:
		if age > maxStartOfHead {
			return Close
		}
		return KeepRequest
	default:
		return KeepRequest
	}
}

// decideFresh decides about a connection without a request so far. Apart from a stop, the server's time for a head
// limits its age.
func decideFresh(age time.Duration, why Reason) Verdict {
	if why == GraceEnd || why == PlannedStop && age > Margin {
		return Close
	}
	return KeepPromised
}

func decideWaiting(s State, age time.Duration, why Reason, limit time.Duration) Verdict {
	if why == GraceEnd {
		return Close
	}
	keep := max(s.Announced, limit)
	if why == PlannedStop && s.Announced > 0 {
		keep = s.Announced
	}
	if why == Idle && keep <= 0 || age <= keep+Margin {
		return KeepPromised
	}
	return Close
}

// decideShortage decides about a connection when a budget is exhausted. One between two requests is kept for as long as its last
// answer announced. If it announced nothing, Margin lets a caller that has another request send it.
func decideShortage(s State, age time.Duration) Verdict {
	switch {
	case s.Incomplete:
		return Close
	case s.Phase != Waiting:
		return KeepRequest
	case age <= s.Announced+Margin:
		return KeepPromised
	default:
		return Close
	}
}
