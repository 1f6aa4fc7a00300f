package loadtest

import (
	"maps"
	"sync"
)

// Counts holds the number of requests by final outcome, and the events of their attempts. A request is one turn of a
// chat or one booking; a wrong response to the duplicate of a booking counts as a further request.
type Counts struct {
	Requests int // sum of the outcomes below
	Answered int // complete and correct response
	Wrong    int // complete but incorrect response
	NotRun   int // timed out, and every attempt ended with a problem, for bookings with outcome not_run; or no ticket was issued in time
	Unknown  int // the booking may have run
	Failed   int // a chat turn timed out for another reason

	Retries          int            // attempts after the first, including the duplicates of bookings
	BrokenResponses  int            // attempts that ended with a transport error, an idle timeout or an invalid response
	StreamResumes    int            // attempts that resumed a stream
	ProblemsByReason map[string]int // attempts that ended with a refusal or an error event, by reason
	Examples         []string       // details of the first requests without a correct response, at most maxExamples

	PromptTokens int
	CachedTokens int
}

const maxExamples = 5

// Results accumulates counts. It is safe for concurrent use.
type Results struct {
	mu     sync.Mutex
	counts Counts
}

// Counts returns a copy of the current counts.
func (r *Results) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.ProblemsByReason = maps.Clone(c.ProblemsByReason)
	c.Examples = append([]string(nil), c.Examples...)
	return c
}

func (r *Results) update(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

func (r *Results) addProblem(reason string) {
	r.update(func(c *Counts) {
		if c.ProblemsByReason == nil {
			c.ProblemsByReason = map[string]int{}
		}
		c.ProblemsByReason[reason]++
	})
}

// addOutcome counts the final outcome of one request. The detail is kept as an example unless the response
// was correct.
func (r *Results) addOutcome(o outcome, detail string) {
	r.update(func(c *Counts) {
		c.Requests++
		switch o {
		case outcomeAnswered:
			c.Answered++
			return
		case outcomeWrong:
			c.Wrong++
		case outcomeNotRun:
			c.NotRun++
		case outcomeUnknown:
			c.Unknown++
		default:
			c.Failed++
		}
		if len(c.Examples) < maxExamples {
			c.Examples = append(c.Examples, detail)
		}
	})
}

// outcome is the final outcome of one request, after all its retries.
type outcome uint8

const (
	outcomeFailed outcome = iota
	outcomeAnswered
	outcomeWrong
	outcomeNotRun
	outcomeUnknown
)
