package crasher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// minEnds is the number of ends after which a request is blocked.
	minEnds = 3
	// contestTime is the time in which a request that shares some ends with a deadly request has run again.
	contestTime = 2 * time.Second
	// holdTime is how long a request with minEnds ends that isn't blocked may not run. It is twice as long after each further
	// end.
	holdTime = 10 * time.Second
)

// Action says whether a request may run.
type Action uint8

// Decisions.
const (
	Run     Action = iota // nothing speaks against it, or too little
	OnTrial               // it may run apart from other requests, one attempt at a time
	Waiting               // another attempt of it is on trial
	Pending               // more evidence about its last end may arrive, see settleDelay
	Blocked               // it must not run
)

// String returns the decision's stable name in logs and dumps.
func (d Action) String() string {
	switch d {
	case Run:
		return "run"
	case OnTrial:
		return "on_trial"
	case Waiting:
		return "waiting"
	case Pending:
		return "pending"
	case Blocked:
		return "blocked"
	default:
		return "invalid"
	}
}

// Decision is the decision about a request, with its evidence.
type Decision struct {
	Action
	Ends   []Evidence // that count against it
	Avoid  []Software // at which it has ended processes
	Chance float64    // probability of that many ends without its doing
	Until  boottime.Instant
	Length time.Duration // of the block
}

// Evidence is one end of a process that counts against a request.
type Evidence struct {
	Process
	Software
	At       boottime.Instant
	Progress uint32
	Ran      time.Duration
	Others   int // other requests that it broke off, as far as known
}

// Evidence describes the ends that count against a request, for logs. name returns the ID of an endpoint, by its hash.
func (v *Decision) Evidence(now boottime.Instant, name func(endpoint uint32) string) string {
	return describeEnds(now, v.Ends, name)
}

func describeEnds(now boottime.Instant, ends []Evidence, name func(endpoint uint32) string) string {
	out := make([]string, len(ends))
	for i, e := range ends {
		out[i] = fmt.Sprintf("endpoint=%s/%d age_ms=%d after_events=%d ran_ms=%d others=%d", name(e.Endpoint), e.Incarnation, now.Sub(e.At).Milliseconds(),
			e.Progress, e.Ran.Milliseconds(), e.Others)
	}
	return strings.Join(out, "; ")
}

// Offer is what the service of a request offers.
type Offer struct {
	Endpoints int        // that can be used
	Software  []Software // at least one endpoint has each of them
}

// Decide decides whether a request may run.
func (d *Detector) Decide(now boottime.Instant, f Fingerprint, o Offer) Decision {
	s := d.suspects[f]
	if s == nil {
		return Decision{}
	}
	chain := d.chain(now, f, s)
	v := Decision{Ends: d.evidence(chain)}
	if len(chain) < minEnds-1 {
		return v
	}
	v.Avoid = softwareOf(v.Ends)
	v.Chance = d.chance(now, chain, o.Endpoints)
	switch {
	case now.Before(s.blockedUntil) && !offersOther(o, v.Avoid):
		v.Action, v.Until, v.Length = Blocked, s.blockedUntil, s.blockedFor
	case unsettled(now, chain):
		v.Action = Pending
	case now.Before(s.trialUntil), held(now, chain):
		v.Action = Waiting
	default:
		v.Action = OnTrial
	}
	if !offersOther(o, v.Avoid) {
		v.Avoid = nil
	}
	return v
}

// chain returns the ends that count against a request: those since it was cleared, after which it got no further, and which
// no other request explains.
func (d *Detector) chain(now boottime.Instant, f Fingerprint, s *suspect) []appearance {
	var chain []appearance
	furthest := uint32(0)
	for _, a := range s.appearances {
		end := d.ends[a.Process]
		if end == nil || a.at <= end.refutedUntil || end.content != 0 && end.content != f || end.cause != nil {
			continue
		}
		if a.at <= s.clearedUntil(end.Version) || now.Sub(max(a.at, s.blockedUntil, s.reportedUntil)) > evidenceTTL {
			continue
		}
		if a.progress > furthest+progressSlack {
			chain = chain[:0]
		}
		furthest = max(furthest, a.progress)
		chain = append(chain, a)
	}
	return chain
}

// tied reports whether another request was broken off by the same ends.
func (d *Detector) tied(now boottime.Instant, f Fingerprint, chain []appearance) bool {
	for g, s := range d.suspects {
		if g == f || len(s.appearances) < len(chain) {
			continue
		}
		if other := d.chain(now, g, s); containsAll(other, chain) && d.contests(g, other) {
			return true
		}
	}
	return false
}

func containsAll(chain, ends []appearance) bool {
	for _, a := range ends {
		found := false
		for _, b := range chain {
			found = found || b.Process == a.Process
		}
		if !found {
			return false
		}
	}
	return true
}

// endsOnTrial returns, for each end, how many requests with at least minEnds-1 ends it broke off.
func (d *Detector) endsOnTrial(now boottime.Instant) map[Process]int {
	if d.onTrial != nil {
		return d.onTrial
	}
	d.onTrial = map[Process]int{}
	for f, s := range d.suspects {
		if len(s.appearances) < minEnds-1 {
			continue
		}
		if chain := d.chain(now, f, s); d.contests(f, chain) {
			for _, a := range chain {
				d.onTrial[a.Process]++
			}
		}
	}
	return d.onTrial
}

// uncontested returns how many of a request's ends broke off no other request with at least minEnds-1 ends. After
// contestTime, a request whose ends are all among this one's no longer counts: it would have ended another process.
func (d *Detector) uncontested(now boottime.Instant, f Fingerprint, chain []appearance) int {
	sharedBy := func(p Process) bool { return d.endsOnTrial(now)[p] > 1 }
	if now.Sub(chain[len(chain)-1].at) >= contestTime {
		sharedBy = d.sharedWithOthers(now, f, chain)
	}
	n := 0
	for _, a := range chain {
		if !sharedBy(a.Process) {
			n++
		}
	}
	return n
}

// sharedWithOthers returns whether a process's end broke off another request with at least minEnds-1 ends, of which one is
// not in a chain.
func (d *Detector) sharedWithOthers(now boottime.Instant, f Fingerprint, chain []appearance) func(Process) bool {
	shared := map[Process]bool{}
	for g, s := range d.suspects {
		if g == f || len(s.appearances) < minEnds-1 {
			continue
		}
		other := d.chain(now, g, s)
		if !d.contests(g, other) || containsAll(chain, other) {
			continue
		}
		for _, a := range other {
			shared[a.Process] = true
		}
	}
	return func(p Process) bool { return shared[p] }
}

// held reports whether a request with minEnds ends that isn't blocked has to wait until more is known about those that
// share its ends.
func held(now boottime.Instant, chain []appearance) bool {
	more := len(chain) - minEnds
	return more >= 0 && now.Sub(chain[len(chain)-1].at) < holdTime<<more
}

func (d *Detector) evidence(chain []appearance) []Evidence {
	out := make([]Evidence, len(chain))
	for i, a := range chain {
		end := d.ends[a.Process]
		out[i] = Evidence{Process: a.Process, Software: end.Software, At: a.at, Progress: a.progress, Ran: a.ran, Others: end.requests - 1}
	}
	return out
}

func softwareOf(ends []Evidence) []Software {
	var out []Software
	for _, e := range ends {
		if !contains(out, e.Software) {
			out = append(out, e.Software)
		}
	}
	return out
}

// offersOther reports whether a service offers a software version that is not in a list, whatever the service: a route
// that is moved to another service does not make a difference.
func offersOther(o Offer, list []Software) bool {
	for _, s := range o.Software {
		if !slices.ContainsFunc(list, func(known Software) bool { return known.Version == s.Version }) {
			return true
		}
	}
	return false
}

func contains(list []Software, s Software) bool {
	for _, known := range list {
		if known == s {
			return true
		}
	}
	return false
}
