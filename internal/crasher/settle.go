package crasher

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// firstBlock is the length of a request's first block. Each further one is twice as long, up to maxBlock.
	firstBlock = 10 * time.Minute
	maxBlock   = 2 * time.Hour
	// settleDelay is the time after an end in which reports of other gateways about the suspected requests that it broke off
	// arrive. Until then it is not known which requests share the end. It is several round trips between data centres of a
	// region.
	settleDelay = 25 * time.Millisecond
	// maxSettled bounds the requests that Settle looks at in one call.
	maxSettled = 32
)

// unsettled reports whether reports about the last of some ends may still arrive.
func unsettled(now boottime.Instant, chain []appearance) bool {
	return now.Sub(chain[len(chain)-1].at) < settleDelay
}

// Block is the beginning of a block.
type Block struct {
	Request Fingerprint
	Decision
}

// Settle begins the blocks that are due and returns them. It must be called regularly, because the ends of a deadly request count
// against other requests until it is blocked. endpoints returns how many endpoints of a service can be used.
func (d *Detector) Settle(now boottime.Instant, endpoints func(service uint32) int) []Block {
	var begun []Block
	due := d.unsettled[:min(len(d.unsettled), maxSettled)]
	d.unsettled = slices.Clone(d.unsettled[len(due):])
	for _, f := range due {
		delete(d.queued, f)
	}
	due = slices.Sorted(slices.Values(due)) // of several that are due, gateways block the same one
	for _, f := range due {
		s := d.suspects[f]
		if s == nil {
			continue
		}
		chain := d.chain(now, f, s)
		if now.Before(s.blockedUntil) {
			d.explain(f, chain)
			continue
		}
		if len(chain) < minEnds-1 {
			continue
		}
		if unsettled(now, chain) {
			d.enqueue(f)
			continue
		}
		n := endpoints(d.ends[chain[len(chain)-1].Process].Service)
		if !d.isDue(now, f, s, chain, n) {
			continue
		}
		d.beginBlock(now, f, s, chain)
		v := Decision{Action: Blocked, Ends: d.evidence(chain), Chance: d.chance(now, chain, n), Until: s.blockedUntil, Length: s.blockedFor}
		begun = append(begun, Block{Request: f, Decision: v})
	}
	return begun
}

// isDue reports whether a request with the given ends is to be blocked.
func (d *Detector) isDue(now boottime.Instant, f Fingerprint, s *suspect, chain []appearance, endpoints int) bool {
	switch {
	case now.Before(s.reportedUntil) && len(chain) >= d.endsNeeded(now, f, chain):
		return !d.tied(now, f, chain)
	case s.blockedFor > 0: // on suspicion after a block
		return chain[len(chain)-1].at > s.blockedUntil
	case len(chain) < d.endsNeeded(now, f, chain):
		return false
	default:
		return d.uncontested(now, f, chain) >= minEnds-1 && d.chance(now, chain, endpoints) <= maxChance && !d.tied(now, f, chain) && !d.tiedToTrait(now, f, chain)
	}
}

// tiedToTrait reports whether a trait that a request does not have was at all its ends, in requests of several contents, and is not known to be
// sound: it may turn out to be the cause.
func (d *Detector) tiedToTrait(now boottime.Instant, f Fingerprint, chain []appearance) bool {
	processes := make([]*endOfProcess, len(chain))
	own := map[Trait]bool{}
	for i, a := range chain {
		processes[i] = d.ends[a.Process]
		for _, h := range processes[i].holders {
			if h.content == f {
				for _, t := range h.Traits {
					own[t] = true
				}
			}
		}
	}
	seen := map[Trait]bool{}
	for _, h := range processes[0].holders {
		for _, t := range h.Traits {
			ev := d.shared.traits[t]
			if own[t] || seen[t] || ev == nil || len(ev.ends) < len(chain) {
				continue
			}
			seen[t] = true
			c := d.candidateOf(now, t, now)
			if c.others >= minOtherEnds && c.contents >= minContents && commonEnds(c.chain, processes) == len(processes) && !d.soundWithin(t, c.chain[0], soundTime) {
				return true
			}
		}
	}
	return false
}

// beginBlock begins a block of a request, whose ends no longer count against others.
func (d *Detector) beginBlock(now boottime.Instant, f Fingerprint, s *suspect, chain []appearance) {
	s.blockedFor = min(max(2*s.blockedFor, firstBlock), maxBlock)
	if now.Before(s.reportedUntil) {
		s.blockedFor = min(s.reportedUntil.Sub(now), maxBlock)
	}
	s.blockedUntil = now.Add(s.blockedFor)
	d.explain(f, chain)
	d.unsettleStrong()
}

// explain makes ends count against no other request.
func (d *Detector) explain(f Fingerprint, chain []appearance) {
	for _, a := range chain {
		if end := d.ends[a.Process]; end.content != f {
			end.content = f
			d.onTrial, d.ofStrong = nil, nil
		}
	}
}

// TrialRank returns the rank of a request that is on trial among those on trial that the same last end broke off, their number,
// and that end. Gateways with the same evidence agree.
func (d *Detector) TrialRank(now boottime.Instant, f Fingerprint) (rank, count int, last Process) {
	s := d.suspects[f]
	if s == nil {
		return 0, 0, Process{}
	}
	chain := d.chain(now, f, s)
	if len(chain) == 0 {
		return 0, 0, Process{}
	}
	last = chain[len(chain)-1].Process
	for g, other := range d.suspects {
		if len(other.appearances) < minEnds-1 {
			continue
		}
		otherChain := d.chain(now, g, other)
		if len(otherChain) < minEnds-1 || otherChain[len(otherChain)-1].Process != last {
			continue
		}
		count++
		if g < f {
			rank++
		}
	}
	return rank, count, last
}

// unsettle makes Settle look at a request that has new evidence.
func (d *Detector) unsettle(f Fingerprint) {
	d.enqueue(f)
	d.onTrial, d.ofStrong = nil, nil
}

// enqueue makes Settle look at a request.
func (d *Detector) enqueue(f Fingerprint) {
	if !d.queued[f] {
		d.queued[f] = true
		d.unsettled = append(d.unsettled, f)
	}
}

// unsettleStrong makes Settle look at all requests that it may block now that another one no longer shares their ends.
func (d *Detector) unsettleStrong() {
	d.onTrial, d.ofStrong = nil, nil
	for _, f := range slices.Sorted(maps.Keys(d.suspects)) {
		if len(d.suspects[f].appearances) >= minEnds {
			d.enqueue(f)
		}
	}
}
