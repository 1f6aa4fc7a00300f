package crasher

import (
	"cmp"
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// Suspicion is what is known against a request that must not run, or only apart from others.
type Suspicion struct {
	Request  Fingerprint
	Decision // as for an attempt that were made now
}

// listed is a request with enough ends to be listed.
type listed struct {
	request Fingerprint
	blocked bool // a block is in force
	last    appearance
}

// List returns up to limit requests that are blocked or on trial: those with a block in force first, of each kind those with
// the latest ends first. offer returns what a service offers.
func (d *Detector) List(now boottime.Instant, limit int, offer func(service uint32) Offer) []Suspicion {
	listable := d.listable(now)
	slices.SortFunc(listable, func(a, b listed) int {
		if a.blocked != b.blocked {
			return firstIf(a.blocked)
		}
		return cmp.Or(cmp.Compare(b.last.at, a.last.at), cmp.Compare(a.request, b.request))
	})
	var out []Suspicion
	for _, c := range listable[:min(len(listable), limit)] {
		service := d.ends[c.last.Process].Service
		out = append(out, Suspicion{Request: c.request, Decision: d.Decide(now, c.request, offer(service))})
	}
	return out
}

// listable returns the requests with enough ends to be on trial.
func (d *Detector) listable(now boottime.Instant) []listed {
	var out []listed
	for f, s := range d.suspects {
		if len(s.appearances) < minEnds-1 {
			continue
		}
		if chain := d.chain(now, f, s); len(chain) >= minEnds-1 {
			out = append(out, listed{request: f, blocked: now.Before(s.blockedUntil), last: chain[len(chain)-1]})
		}
	}
	return out
}

// firstIf returns the result of a comparison whose first operand goes first under a condition.
func firstIf(condition bool) int {
	if condition {
		return -1
	}
	return 1
}

// Block returns when the last block of a request began here and when it ends, or zeros if there was none.
func (d *Detector) Block(f Fingerprint) (began, until boottime.Instant) {
	s := d.suspects[f]
	if s == nil || s.blockedFor == 0 {
		return 0, 0
	}
	return s.blockedUntil.Add(-s.blockedFor), s.blockedUntil
}

// Blocked returns the number of requests with a block in force.
func (d *Detector) Blocked(now boottime.Instant) int {
	n := 0
	for _, s := range d.suspects {
		if now.Before(s.blockedUntil) {
			n++
		}
	}
	return n
}
