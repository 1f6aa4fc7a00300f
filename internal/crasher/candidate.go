package crasher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// candidate is a trait with the ends that count against it.
type candidate struct {
	trait       Trait
	chain       []*endOfProcess  // in the order of time, within the scope
	until       boottime.Instant // ends after it are not weighed, because reports about them may still arrive
	anyCaller   bool
	caller      Caller
	contents    int     // that were broken off with the trait
	others      int     // ends that the content which most of the ends broke off does not explain
	common      []Trait // that the requests share, see findCommon
	soundBefore bool    // requests with any of them completed shortly before
	with        []Trait // that a request must have, too
}

// candidateOf weighs the ends that count against a trait, until a time.
func (d *Detector) candidateOf(now boottime.Instant, t Trait, until boottime.Instant) candidate {
	c := candidate{trait: t, chain: d.chainOf(now, t), until: until}
	c.chain = slices.DeleteFunc(c.chain, func(e *endOfProcess) bool { return e.at > until })
	if len(c.chain) < minEnds-1 {
		return c
	}
	c.chooseScope(d.completedSince(t, c.chain, sharedTTL))
	c.countContents()
	return c
}

// chooseScope restricts a candidate to the caller whose requests explain most of the ends, unless at least minOtherEnds ends
// came without this caller, and no request with the trait is known to have completed.
func (c *candidate) chooseScope(knownSound bool) {
	ends := map[Caller]int{}
	for _, e := range c.chain {
		for caller := range e.callersWith(c.trait) {
			ends[caller]++
		}
	}
	most := 0
	for caller, n := range ends {
		if n > most || n == most && caller < c.caller {
			c.caller, most = caller, n
		}
	}
	if len(c.chain)-most >= minOtherEnds && !knownSound {
		c.anyCaller, c.caller = true, 0
		return
	}
	c.chain = slices.DeleteFunc(c.chain, func(e *endOfProcess) bool { return !e.callersWith(c.trait)[c.caller] })
}

func (e *endOfProcess) callersWith(t Trait) map[Caller]bool {
	callers := map[Caller]bool{}
	for i := range e.holders {
		if e.holders[i].has(t) {
			callers[e.holders[i].Caller] = true
		}
	}
	return callers
}

// holdersAt returns the requests with the trait, within the scope, that an end broke off.
func (c *candidate) holdersAt(e *endOfProcess) []*holder {
	var out []*holder
	for i := range e.holders {
		if h := &e.holders[i]; h.has(c.trait) && h.hasAll(c.with) && (c.anyCaller || h.Caller == c.caller) {
			out = append(out, h)
		}
	}
	return out
}

// restrictedTo returns the candidate with only the requests that have some more traits.
func (c candidate) restrictedTo(traits []Trait) candidate {
	c.with = traits
	c.chain = slices.DeleteFunc(slices.Clone(c.chain), func(e *endOfProcess) bool { return len(c.holdersAt(e)) == 0 })
	c.countContents()
	return c
}

// countContents counts the contents of the requests, and the ends that the most frequent one does not explain.
func (c *candidate) countContents() {
	ends := map[Fingerprint]int{}
	most := 0
	for _, e := range c.chain {
		for _, h := range c.holdersAt(e) {
			ends[h.content]++
			most = max(most, ends[h.content])
		}
	}
	c.contents, c.others = len(ends), len(c.chain)-most
}

// occasions returns the first ends of the times at which processes ended. Processes that end close together do so at one time,
// unless a request with the trait was sent to the later one after the first had ended.
func (c *candidate) occasions() []*endOfProcess {
	var out []*endOfProcess
	for _, e := range c.chain {
		if len(out) > 0 {
			last := out[len(out)-1]
			if e.at.Sub(last.at) < occasionMargin && !c.sentAfter(e, last.at) {
				continue
			}
		}
		out = append(out, e)
	}
	return out
}

func (c *candidate) sentAfter(e *endOfProcess, at boottime.Instant) bool {
	return slices.ContainsFunc(c.holdersAt(e), func(h *holder) bool { return e.at.Add(-h.ran) > at })
}

// enough reports whether the ends are enough for a cause, apart from chance.
func (c *candidate) enough() bool {
	if c.others < minOtherEnds || len(c.chain) < minEnds || c.contents < minContents && !c.endsBeginAnswers() {
		return false
	}
	n := len(c.occasions())
	return n >= minOccasions || n >= minOccasions-1 && len(c.chain) >= tieEnds
}

// endsBeginAnswers reports whether each end broke off a request with the trait that had brought no event.
func (c *candidate) endsBeginAnswers() bool {
	return !slices.ContainsFunc(c.chain, func(e *endOfProcess) bool {
		return !slices.ContainsFunc(c.holdersAt(e), func(h *holder) bool { return h.events == 0 })
	})
}

// findCommon finds the traits that all the requests share, without those that have completed since one of the ends. Traits that
// completed shortly before are left out if others remain.
func (d *Detector) findCommon(c *candidate) {
	var all []Trait
	for i, e := range c.chain {
		for j, h := range c.holdersAt(e) {
			if i == 0 && j == 0 {
				all = slices.Clone(h.Traits)
			}
			all = slices.DeleteFunc(all, func(t Trait) bool { return !h.has(t) })
		}
	}
	all = slices.DeleteFunc(all, func(t Trait) bool { return d.completedSince(t, c.chain, 0) })
	unknown := slices.DeleteFunc(slices.Clone(all), func(t Trait) bool { return d.soundWithin(t, c.chain[0], soundTime) })
	c.common, c.soundBefore = unknown, false
	if len(unknown) == 0 {
		c.common, c.soundBefore = all, true
	}
}

// completedSince reports whether a request with a trait has completed after a time before one of some ends, at its version.
func (d *Detector) completedSince(t Trait, chain []*endOfProcess, before time.Duration) bool {
	return slices.ContainsFunc(chain, func(e *endOfProcess) bool {
		at := d.completedAt(t, e.Version)
		return at != 0 && at >= e.at.Add(-before)
	})
}

// maxChance returns the probability of the candidate's ends by chance up to which they are no chance.
func (c *candidate) maxChance() float64 {
	if !c.soundBefore && len(c.chain) >= tieEnds {
		return maxUnknownChance
	}
	return maxChance
}

// accusesMuch reports whether the common traits are a model only, or were sound shortly before. When nothing completes, they are
// no more suspect than all else.
func (c *candidate) accusesMuch() bool {
	return c.soundBefore || !slices.ContainsFunc(c.common, func(t Trait) bool { return t.Kind != ModelName })
}

// hasContrast reports whether there are requests without all of the common traits: if the candidate accuses much, some must have completed
// since the first end; otherwise it is enough that this gateway has sent some lately, or that another gateway accuses no more.
func (d *Detector) hasContrast(c *candidate) bool {
	first := c.chain[0]
	if c.accusesMuch() {
		return slices.ContainsFunc(c.chain, func(e *endOfProcess) bool { return d.shared.completed.without(c.common, e.Version, first.at) })
	}
	return d.shared.sent.without(c.common, anyVersion, first.at.Add(-soundTime)) || c.adoptTold()
}

// adoptTold makes the candidate accuse no more requests than another gateway does that has told a cause for its ends, and reports whether
// there is one.
func (c *candidate) adoptTold() bool {
	told := slices.Clone(c.common)
	for _, e := range c.chain {
		if len(e.toldCause) == 0 {
			return false
		}
		told = append(told, e.toldCause...)
	}
	slices.SortFunc(told, compareTraits)
	told = slices.Compact(told)
	if !c.explainedBy(told) {
		return false
	}
	c.common = told
	return true
}

func containsTraits(all, some []Trait) bool {
	return !slices.ContainsFunc(some, func(t Trait) bool { return !slices.Contains(all, t) })
}

// chanceOf returns the probability that one of the traits that requests share met as many ends as the candidate by chance, given how
// often the processes of its service end besides. The first end has made it one of them.
func (d *Detector) chanceOf(c *candidate, endpoints int) float64 {
	occasions := c.occasions()
	last := c.chain[len(c.chain)-1]
	h := hazard{from: occasions[0].at.Add(-hazardMargin), to: last.at.Add(hazardMargin), endpoints: float64(max(endpoints, c.endpoints()))}
	for _, e := range d.ends {
		if e.counts(last.Service) && e.at >= h.from && e.at <= min(h.to, c.until) && !slices.Contains(c.chain, e) {
			h.ends = append(h.ends, e.at)
		}
	}
	joint, returns := 1.0, 1.0
	for i, e := range occasions[1:] {
		ran := time.Duration(0)
		for _, holder := range c.holdersAt(e) {
			ran = max(ran, holder.ran)
		}
		joint *= math.Min(h.at(appearance{at: e.at, ran: ran}), 1)
		returns *= c.chanceOfReturns(occasions, i+1, h.endpoints)
	}
	return math.Min(float64(max(d.shared.sharedTraits, 1))*returns*atMost(joint, len(occasions)-1), 1)
}

// endpoints returns how many endpoints the ended processes were of.
func (c *candidate) endpoints() int {
	seen := map[uint32]bool{}
	for _, e := range c.chain {
		seen[e.process.Endpoint] = true
	}
	return len(seen)
}

// chanceOfReturns returns the probability that as many requests as one occasion broke off again, besides the first, were sent to its
// processes by chance after earlier ones had broken them off.
func (c *candidate) chanceOfReturns(occasions []*endOfProcess, i int, endpoints float64) float64 {
	before, again := map[Fingerprint]bool{}, map[Fingerprint]bool{}
	processes := 0
	for _, e := range c.chain {
		later := i+1 < len(occasions) && !e.at.Before(occasions[i+1].at)
		switch {
		case later:
		case e.at.Before(occasions[i].at):
			for _, h := range c.holdersAt(e) {
				before[h.content] = true
			}
		default:
			processes++
			for _, h := range c.holdersAt(e) {
				if before[h.content] && e.at.Add(-h.ran) > occasions[i-1].at {
					again[h.content] = true
				}
			}
		}
	}
	if len(again) < 2 {
		return 1
	}
	return math.Min(binomial(len(before), len(again))*math.Pow(float64(processes)/endpoints, float64(len(again)-1)), 1)
}

// binomial returns the number of ways to choose k of n.
func binomial(n, k int) float64 {
	ways := 1.0
	for i := range k {
		ways *= float64(n-i) / float64(i+1)
	}
	return ways
}

// atMost returns the probability that the product of n independent probabilities, each of which is uniformly distributed from
// 0 to 1, is at most p (Fisher's method).
func atMost(p float64, n int) float64 {
	sum, term := 0.0, p
	for j := range n {
		sum += term
		term *= -math.Log(p) / float64(j+1)
	}
	return math.Min(sum, 1)
}

// latestEnd returns the longest time after which an end broke off the youngest request with the trait. What ends processes does so
// at about the same age; what was there by chance is of any age.
func (c *candidate) latestEnd() time.Duration {
	latest := time.Duration(0)
	for _, e := range c.chain {
		youngest := time.Duration(math.MaxInt64)
		for _, h := range c.holdersAt(e) {
			youngest = min(youngest, h.ran)
		}
		latest = max(latest, youngest)
	}
	return latest
}

// compareCandidates orders candidates by what speaks against them: those that did not complete before first, then those with
// more ends, those whose requests share more, so that fewer requests are blocked, and those that end processes sooner.
func compareCandidates(a, b candidate) int {
	if a.soundBefore != b.soundBefore {
		return firstIf(b.soundBefore)
	}
	return cmp.Or(cmp.Compare(len(b.chain), len(a.chain)), cmp.Compare(len(b.common), len(a.common)), cmp.Compare(a.latestEnd(), b.latestEnd()), cmp.Compare(a.contents, b.contents), compareTraits(a.trait, b.trait))
}
