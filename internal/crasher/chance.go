package crasher

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// hazardMargin is the time before the first and after the last end of a request in which the ends of other processes
	// are counted, to estimate how often processes end by themselves.
	hazardMargin = 5 * time.Second
	// hazardPrior is the number of ends that are assumed besides those counted.
	hazardPrior = 0.05
	// maxChance is the probability of a request's ends by chance up to which they are no chance.
	maxChance = 1e-4
	// groupMargin is the time between ends of processes that may have a common cause.
	groupMargin = 200 * time.Millisecond
	// minExposure is the least time that counts for one attempt.
	minExposure = 20 * time.Millisecond
)

// endsOfStrong returns the ends that broke off a request with at least minEnds ends.
func (d *Detector) endsOfStrong(now boottime.Instant) map[Process]bool {
	if d.ofStrong != nil {
		return d.ofStrong
	}
	strong := map[Process]bool{}
	for f, s := range d.suspects {
		if len(s.appearances) < minEnds {
			continue
		}
		if chain := d.chain(now, f, s); len(chain) >= minEnds {
			for _, a := range chain {
				strong[a.Process] = true
			}
		}
	}
	d.ofStrong = strong
	return strong
}

// chance returns the probability that one of the requests that were broken off at the time met as many ends as this one by
// chance, given how often the processes of its service end without it. The first end has made it one of them.
func (d *Detector) chance(now boottime.Instant, chain []appearance, endpoints int) float64 {
	h := d.hazard(now, chain, endpoints)
	chance := float64(d.suspectsBetween(h.from, h.to))
	for _, a := range chain[1:] {
		chance *= math.Min(h.at(a), 1)
	}
	return math.Min(chance, 1)
}

func (d *Detector) suspectsBetween(from, to boottime.Instant) int {
	n := 0
	for _, s := range d.suspects {
		if slices.ContainsFunc(s.appearances, func(a appearance) bool { return a.at >= from && a.at <= to }) {
			n++
		}
	}
	return n
}

// hazard tells how likely the process of an attempt ends without its doing.
type hazard struct {
	from, to  boottime.Instant
	ends      []boottime.Instant // in that time that broke off no other request with minEnds ends
	endpoints float64
}

func (d *Detector) hazard(now boottime.Instant, chain []appearance, endpoints int) hazard {
	last := chain[len(chain)-1]
	h := hazard{from: chain[0].at.Add(-hazardMargin), to: last.at.Add(hazardMargin), endpoints: float64(max(endpoints, 1))}
	strong := d.endsOfStrong(now)
	for p, e := range d.ends {
		if !strong[p] && e.counts(d.ends[last.Process].Service) && e.at >= h.from && e.at <= h.to {
			h.ends = append(h.ends, e.at)
		}
	}
	return h
}

// at returns the expected number of ends during an attempt: from the mean rate, or from the ends close to its own if there
// are more, because processes may end in groups.
func (h hazard) at(a appearance) float64 {
	ran := max(a.ran, minExposure)
	mean := (float64(len(h.ends)) + hazardPrior) / h.to.Sub(h.from).Seconds() * ran.Seconds()
	from, to, close := a.at.Add(-ran-groupMargin), a.at.Add(groupMargin), 0
	for _, at := range h.ends {
		if at >= from && at <= to {
			close++
		}
	}
	return max(mean, float64(close)) / h.endpoints
}

// counts reports whether an end shows how often the processes of a service end by themselves, as far as known.
func (e *endOfProcess) counts(service uint32) bool {
	return e.Service == service && e.at > e.refutedUntil && !e.isExplained()
}
