package loadtest

import (
	"maps"
	"sync"
)

// Counts says how requests ended, after all retries of the client.
type Counts struct {
	Requests int
	Answered int // whole and as expected
	Wrong    int // whole but not the expected answer
	NotRun   int // given up while every refusal said that it did not run
	Unknown  int
	Failed   int // given up for another reason

	Retries         int            // further sendings
	BrokenResponses int            // answers that did not come whole, or stood still, before retries
	ResumedStreams  int            // streams that went on after a break
	Refusals        map[string]int // by reason, before retries
	Examples        []string       // of what went wrong

	PromptTokens int
	CachedTokens int
}

const maxExamples = 5

// Results collects counts from many callers.
type Results struct {
	mu     sync.Mutex
	counts Counts
}

// Counts returns a copy of the counts so far.
func (r *Results) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Refusals = maps.Clone(c.Refusals)
	c.Examples = append([]string(nil), c.Examples...)
	return c
}

func (r *Results) update(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

func (r *Results) refused(reason string) {
	r.update(func(c *Counts) {
		if c.Refusals == nil {
			c.Refusals = map[string]int{}
		}
		c.Refusals[reason]++
	})
}

// end counts the outcome of one request. The detail is kept as an example when it was not answered.
func (r *Results) end(o outcome, detail string) {
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

// outcome is how one request ended for its caller.
type outcome uint8

const (
	lost outcome = iota
	answered
	wrong
	notRun
	unknown
)
