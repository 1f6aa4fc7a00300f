package loadtest

import (
	"maps"
	"sync"
)

// Counts holds the number of requests by final outcome, and what happened in their attempts.
type Counts struct {
	Requests int
	Answered int // complete and correct response
	Wrong    int // complete but incorrect response
	NotRun   int // abandoned after attempts that were all refused, those of a booking with outcome not_run
	Unknown  int // the request may have run
	Failed   int // abandoned for another reason

	Retries          int            // attempts after the first, including the duplicates of bookings
	BrokenResponses  int            // attempts without a complete response, including idle timeouts
	StreamResumes    int            // streams that continued after a disconnect
	ProblemsByReason map[string]int // refused attempts by reason
	Examples         []string       // details of the first requests that were not answered

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

func (r *Results) addRefusal(reason string) {
	r.update(func(c *Counts) {
		if c.ProblemsByReason == nil {
			c.ProblemsByReason = map[string]int{}
		}
		c.ProblemsByReason[reason]++
	})
}

// addOutcome counts the final outcome of one request. The detail is kept as an example if the request was not answered.
func (r *Results) addOutcome(o outcome, detail string) {
	r.update(func(c *Counts) {
		c.Requests++
		switch o {
		case answered:
			c.Answered++
			return
		case wrong:
			c.Wrong++
		case notRun:
			c.NotRun++
		case unknown:
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
	failed outcome = iota
	answered
	wrong
	notRun
	unknown
)
