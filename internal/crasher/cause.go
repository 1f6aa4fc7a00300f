package crasher

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// occasionMargin is the time in which processes that end together count as one occasion: the loss of a host or a rack.
	occasionMargin = 50 * time.Millisecond
	// minOccasions is the number of occasions after which traits are taken for the cause.
	minOccasions = 3
	// minOtherEnds is how many of the ends must not have broken off the content that most of them broke off: otherwise that
	// content explains them.
	minOtherEnds = 2
	// minContents is the number of contents that accuse a trait by themselves: with fewer, frequent contents may be at all ends by
	// chance, unless each end came before the first event of an answer.
	minContents = 3
	// minSoundOtherEnds is the same for traits with which requests completed shortly before.
	minSoundOtherEnds = 4
	// tieEnds is the number of ends after which a trait is taken for the cause although one of other requests fits as well.
	tieEnds = 5
	// maxUnknownChance is maxChance for tieEnds and more ends of requests with traits that have not completed within soundTime.
	maxUnknownChance = 1e-3
	// firstCauseBlock is how long requests with a cause are blocked after minOccasions ends; twice as long after each further
	// end, up to maxCauseBlock. It is long because each probe costs a process, and a completion or an operator ends it sooner.
	firstCauseBlock = 24 * time.Hour
	maxCauseBlock   = 16 * 24 * time.Hour
	// reportDelay is the time after an end in which the reports of other gateways about the requests that it broke off have
	// arrived, also if the first message was lost.
	reportDelay = 60 * time.Millisecond
	// maxCauses bounds the causes that are known at a time.
	maxCauses = 64
)

// Cause is what requests share that end the processes which run them.
type Cause struct {
	Traits    []Trait // a request is blocked if it has all of them
	Caller    Caller  // and is of this caller, unless AnyCaller
	AnyCaller bool
	Software  []Software // at which it has ended processes
	Ends      []Evidence
	Contents  int     // that were broken off with these traits
	Chance    float64 // probability of that many ends without its doing, when the block began
	Until     boottime.Instant
	Length    time.Duration // of the block, from the last end
}

func (c *Cause) traits() []Trait {
	if c == nil {
		return nil
	}
	return c.Traits
}

// String returns the traits as text.
func (c *Cause) String() string {
	out := make([]string, len(c.Traits))
	for i, t := range c.Traits {
		out[i] = t.String()
	}
	return strings.Join(out, "+")
}

// Scope returns whose requests are blocked, as text.
func (c *Cause) Scope() string {
	if c.AnyCaller {
		return "all"
	}
	return fmt.Sprintf("%08x", uint32(c.Caller))
}

// Evidence describes the ends, for logs. name returns the ID of an endpoint, by its hash.
func (c *Cause) Evidence(now boottime.Instant, name func(endpoint uint32) string) string {
	return describeEnds(now, c.Ends, name)
}

// matches reports whether a request has what ends processes.
func (c *Cause) matches(s *Shares) bool {
	return (c.AnyCaller || c.Caller == s.Caller) && s.hasAll(c.Traits)
}

// same reports whether c blocks the same requests as another one.
func (c *Cause) same(other *Cause) bool {
	return c.AnyCaller == other.AnyCaller && (c.AnyCaller || c.Caller == other.Caller) && slices.Equal(c.Traits, other.Traits)
}

// continues reports whether c is what has become of a former cause after more evidence.
func (c *Cause) continues(former *Cause) bool {
	return slices.ContainsFunc(c.Traits, func(t Trait) bool { return slices.Contains(former.Traits, t) })
}

// DecideShared decides whether a request may run by what it shares with others that were broken off.
func (d *Detector) DecideShared(now boottime.Instant, s Shares, o Offer) (Decision, *Cause) {
	var avoid []Software
	for _, c := range d.shared.causes {
		if !now.Before(c.Until) || !c.matches(&s) {
			continue
		}
		if !d.runsElsewhere(c, o) {
			return Decision{Action: Blocked, Ends: c.Ends, Chance: c.Chance, Until: c.Until, Length: c.Length}, c
		}
		avoid = append(avoid, c.Software...)
	}
	if d.awaitsReports(now, s) {
		return Decision{Action: Pending}, nil
	}
	return Decision{Avoid: avoid}, nil
}

// runsElsewhere reports whether a service offers a software version at which requests with a cause have not ended any process, and
// have completed.
func (d *Detector) runsElsewhere(c *Cause, o Offer) bool {
	return slices.ContainsFunc(o.Software, func(offered Software) bool {
		if slices.ContainsFunc(c.Software, func(bad Software) bool { return bad.Version == offered.Version }) {
			return false
		}
		return !slices.ContainsFunc(c.Traits, func(t Trait) bool { return d.completedAt(t, offered.Version) == 0 })
	})
}

// awaitsReports reports whether a cause may be found among the traits of a request as soon as the reports of other gateways about a
// recent end have arrived and have been looked at.
func (d *Detector) awaitsReports(now boottime.Instant, s Shares) bool {
	for _, t := range s.Traits {
		ev := d.shared.traits[t]
		if ev == nil || len(ev.ends) < minEnds {
			continue
		}
		c := d.candidateOf(now, t, now)
		if !c.enough() {
			continue
		}
		age := now.Sub(c.chain[len(c.chain)-1].at)
		if age < reportDelay || d.shared.dirty && age < reportDelay+settleInterval {
			return true
		}
	}
	return false
}

// SuspectsAny reports whether an end counts against one of the traits of a request.
func (d *Detector) SuspectsAny(now boottime.Instant, s Shares) bool {
	return slices.ContainsFunc(s.Traits, func(t Trait) bool { return len(d.chainOf(now, t)) > 0 })
}

// Causes returns the causes whose blocks are in force.
func (d *Detector) Causes(now boottime.Instant) []*Cause {
	return slices.DeleteFunc(slices.Clone(d.shared.causes), func(c *Cause) bool { return !now.Before(c.Until) })
}

// SharedEnds returns up to limit ends that are put down to causes, or that broke off different requests with a trait that may become one,
// the latest first, with only these requests.
func (d *Detector) SharedEnds(now boottime.Instant, limit int) []End {
	known := map[Process]*End{}
	for _, c := range d.shared.causes {
		for _, e := range c.Ends {
			d.addHoldersTo(known, e.Process, c.Traits)
		}
	}
	for _, t := range d.sortedTraits(minEnds - 1) {
		c := d.candidateOf(now, t, now)
		if len(c.chain) < minEnds-1 || c.others == 0 {
			continue
		}
		for _, e := range c.chain {
			d.addHoldersTo(known, e.process, []Trait{t})
		}
	}
	out := make([]End, 0, len(known))
	for _, e := range known {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b End) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return out[:min(len(out), limit)]
}

// EndsOf returns the ends of a cause with only the requests that have its traits.
func (d *Detector) EndsOf(c *Cause) []End {
	known := map[Process]*End{}
	var out []End
	for _, e := range c.Ends {
		d.addHoldersTo(known, e.Process, c.Traits)
		if end := known[e.Process]; end != nil {
			out = append(out, *end)
		}
	}
	return out
}

// addHoldersTo adds the requests with all of some traits that an end broke off.
func (d *Detector) addHoldersTo(known map[Process]*End, p Process, traits []Trait) {
	e := d.ends[p]
	if e == nil {
		return
	}
	if known[p] == nil {
		known[p] = &End{Process: p, Software: e.Software, At: e.at, Cause: e.cause.traits()}
	}
	for _, h := range e.holders {
		added := slices.ContainsFunc(known[p].Broken, func(b Broken) bool { return b.Request == h.content })
		if !added && h.hasAll(traits) {
			known[p].Broken = append(known[p].Broken, Broken{Request: h.content, Shares: d.withoutSound(h.Shares, e), Events: h.events, Ran: h.ran})
		}
	}
}

// withoutSound returns what a request that an end broke off shares with others without the traits that are known to be sound: a gateway
// that is told of the end may not know that.
func (d *Detector) withoutSound(s Shares, e *endOfProcess) Shares {
	end := []*endOfProcess{e}
	s.Traits = slices.DeleteFunc(slices.Clone(s.Traits), func(t Trait) bool { return d.completedSince(t, end, soundTime) })
	return s
}
