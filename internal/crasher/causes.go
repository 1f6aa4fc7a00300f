package crasher

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// settleInterval is the least time between two looks for causes.
const settleInterval = 10 * time.Millisecond

// CauseChange is a cause that is new, or that blocks other requests than before.
type CauseChange struct {
	*Cause
	Former *Cause // nil: it is new
}

// SettleCauses looks for what requests that end processes share, and returns the causes that are new or have changed, and those
// that no longer hold. It must be called regularly. endpoints returns how many endpoints of a service can be used.
//
// The result depends on the evidence only, not on its order, except that a cause that once held is not given up for more ends
// of other processes, which make chance more likely.
func (d *Detector) SettleCauses(now boottime.Instant, endpoints func(service uint32) int) (changed []CauseChange, refuted []*Cause) {
	if !d.shared.dirty || now.Sub(d.shared.settledAt) < settleInterval {
		return nil, nil
	}
	d.shared.settledAt = now
	former := d.shared.causes
	d.shared.dirty, d.shared.causes = false, nil
	for _, e := range d.ends {
		e.cause = nil
	}
	for _, c := range d.candidates(now) {
		d.settleCandidate(now, c.trait, former, endpoints)
	}
	d.shared.dirty = d.endsYoungerThan(now, reportDelay)
	changed, refuted = compareCauses(former, d.shared.causes)
	if len(changed)+len(refuted) > 0 {
		d.unsettleStrong()
	}
	return changed, refuted
}

// candidates returns the traits with enough ends, in the order in which they are to be settled.
func (d *Detector) candidates(now boottime.Instant) []candidate {
	var out []candidate
	for _, t := range d.sortedTraits(minEnds) {
		c := d.candidateOf(now, t, now.Add(-reportDelay))
		if !c.enough() {
			continue
		}
		d.findCommon(&c)
		out = append(out, c)
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

// settleCandidate makes a trait a cause if its ends are too many to be due to chance, and neither explained by the causes found before nor
// as well by another trait. Otherwise a former cause with the trait stays as long as there is evidence for it.
func (d *Detector) settleCandidate(now boottime.Instant, t Trait, former []*Cause, endpoints func(service uint32) int) {
	c := d.candidateOf(now, t, now.Add(-reportDelay))
	if !c.enough() || c.explained() || len(d.shared.causes) >= maxCauses {
		return
	}
	d.findCommon(&c)
	if len(c.common) == 0 || c.soundBefore && c.others < minSoundOtherEnds {
		return
	}
	chance := d.chanceOf(&c, endpoints(c.chain[len(c.chain)-1].Service))
	if chance <= c.maxChance() && d.hasContrast(&c) && !d.rivalled(now, &c) {
		d.addCause(&c, chance)
		return
	}
	for _, f := range former {
		if slices.Contains(f.Traits, t) && d.keepCause(c.restrictedTo(f.Traits), f) {
			return
		}
	}
}

// keepCause makes a candidate that is restricted to the traits of a former cause a cause, if there still is evidence, and reports whether
// it is one.
func (d *Detector) keepCause(c candidate, former *Cause) bool {
	if !c.enough() || c.explained() {
		return false
	}
	if d.findCommon(&c); !containsTraits(c.common, former.Traits) {
		return false
	}
	c.common = former.Traits
	d.addCause(&c, former.Chance)
	return true
}

// explained reports whether one known cause with the trait explains all the ends.
func (c *candidate) explained() bool {
	return !slices.ContainsFunc(c.chain, func(e *endOfProcess) bool { return e.cause == nil })
}

// rivalled reports whether a trait of other requests fits about as well: it was at all ends of a candidate with fewer than tieEnds, or
// at all but one. If it was at all of them and requests with both explain them, the candidate accuses only those instead: the next end
// tells the traits apart.
func (d *Detector) rivalled(now boottime.Instant, c *candidate) bool {
	for _, t := range d.sortedTraits(len(c.chain) - 1) {
		if slices.Contains(c.common, t) {
			continue
		}
		rival := d.candidateOf(now, t, now.Add(-reportDelay))
		met := commonEnds(rival.chain, c.chain)
		if met < len(c.chain)-1 || c.alwaysWith(t) || rival.alwaysWith(c.trait) {
			continue
		}
		if both := append(slices.Clone(c.common), t); met == len(c.chain) && rival.others >= minOtherEnds && c.explainedBy(both) {
			slices.SortFunc(both, compareTraits)
			c.common = both
		} else if len(c.chain) < tieEnds {
			return true
		}
	}
	return false
}

// explainedBy reports whether each end broke off a request with all of some traits.
func (c *candidate) explainedBy(traits []Trait) bool {
	for _, e := range c.chain {
		if !slices.ContainsFunc(c.holdersAt(e), func(h *holder) bool { return h.hasAll(traits) }) {
			return false
		}
	}
	return true
}

// alwaysWith reports whether all requests with the candidate's trait that were broken off have another trait, too.
func (c *candidate) alwaysWith(t Trait) bool {
	for _, e := range c.chain {
		for _, h := range c.holdersAt(e) {
			if !h.has(t) {
				return false
			}
		}
	}
	return true
}

// commonEnds returns how many of some ends are among others.
func commonEnds(all, some []*endOfProcess) int {
	n := 0
	for _, e := range some {
		if slices.Contains(all, e) {
			n++
		}
	}
	return n
}

// addCause makes a candidate a cause, which explains its ends.
func (d *Detector) addCause(c *candidate, chance float64) {
	last := c.chain[len(c.chain)-1]
	length := min(firstCauseBlock<<min(len(c.chain)-minEnds, 8), maxCauseBlock)
	cause := &Cause{Traits: c.common, AnyCaller: c.anyCaller, Caller: c.caller, Contents: c.contents, Chance: chance, Until: last.at.Add(length), Length: length}
	for _, e := range c.chain {
		e.cause = cause
		e.keptUntil = max(e.keptUntil, cause.Until.Add(length))
		longest := time.Duration(0)
		events := uint32(0)
		for _, h := range c.holdersAt(e) {
			longest, events = max(longest, h.ran), max(events, h.events)
		}
		cause.Ends = append(cause.Ends, Evidence{Process: e.process, Software: e.Software, At: e.at, Progress: events, Ran: longest, Others: len(e.holders) - len(c.holdersAt(e))})
	}
	cause.Software = softwareOf(cause.Ends)
	d.shared.causes = append(d.shared.causes, cause)
}

// endsYoungerThan reports whether an end that counts against traits is younger than a time.
func (d *Detector) endsYoungerThan(now boottime.Instant, age time.Duration) bool {
	for _, e := range d.ends {
		if len(e.holders) > 0 && now.Sub(e.at) < age {
			return true
		}
	}
	return false
}

// compareCauses returns the causes that are new or have changed, and the former ones that no longer hold.
func compareCauses(former, causes []*Cause) (changed []CauseChange, refuted []*Cause) {
	for _, c := range causes {
		if !slices.ContainsFunc(former, c.same) {
			i := slices.IndexFunc(former, c.continues)
			change := CauseChange{Cause: c}
			if i >= 0 {
				change.Former = former[i]
			}
			changed = append(changed, change)
		}
	}
	for _, f := range former {
		if !slices.ContainsFunc(causes, func(c *Cause) bool { return c.continues(f) }) {
			refuted = append(refuted, f)
		}
	}
	return changed, refuted
}
