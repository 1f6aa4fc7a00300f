package crasher

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// sharedTTL is how long an end counts against the traits of the requests that it broke off.
	sharedTTL = time.Hour
	// maxHolders bounds the requests that are kept of one end, and maxSharedTraits the traits of all requests of all ends. At
	// some 32 bytes each, with their index, these are about 1 MB.
	maxHolders      = 256
	maxSharedTraits = 32768
	// maxPendingCompletions bounds the completions that wait to be told to other gateways.
	maxPendingCompletions = 256
)

// holder is a request that the end of a process broke off, with what it may share with others.
type holder struct {
	content Fingerprint
	Shares
	events uint32 // of its response that had arrived, by the attempt that was broken off
	ran    time.Duration
}

// traitEvidence is what is known about a trait of a request that an end broke off.
type traitEvidence struct {
	ends      []Process
	content   Fingerprint                 // of one of the requests
	shared    bool                        // a request of another content has the trait, too
	completed map[uint32]boottime.Instant // latest known completion by the software version, as told among gateways; see anyVersion
}

// sharedEvidence is what is known about traits that requests which were broken off share.
type sharedEvidence struct {
	traits          map[Trait]*traitEvidence
	entries         int         // traits of all requests of all ends
	sharedTraits    int         // traits of requests of several contents
	own             completions // of requests of this gateway
	completed, sent recentRequests
	pending         map[TraitCompletion]boottime.Instant // completions to be told, without their time, since when
	causes          []*Cause
	dirty           bool // the causes must be looked for again

	settledAt boottime.Instant // when they were looked for
}

func newSharedEvidence() *sharedEvidence {
	return &sharedEvidence{traits: map[Trait]*traitEvidence{}, pending: map[TraitCompletion]boottime.Instant{}}
}

// addHolders adds requests with traits to the end of a process, and reports whether any was not known.
func (d *Detector) addHolders(now boottime.Instant, p Process, end *endOfProcess, broken []Broken) bool {
	added := false
	for _, b := range broken {
		if len(b.Traits) == 0 || b.Request == 0 || len(end.holders) >= maxHolders {
			continue
		}
		if slices.ContainsFunc(end.holders, func(h holder) bool { return h.content == b.Request }) {
			continue
		}
		h := holder{content: b.Request, Shares: b.Shares.normalized(), events: b.Events, ran: b.Ran}
		end.holders = append(end.holders, h)
		added = true
		d.shared.entries += len(h.Traits)
		for _, t := range h.Traits {
			d.indexHolder(now, t, &h, p, end)
		}
	}
	if added {
		d.shared.dirty = true
		d.makeRoomForTraits(p)
	}
	return added
}

// indexHolder adds an end with one of its requests to those of a trait.
func (d *Detector) indexHolder(now boottime.Instant, t Trait, h *holder, p Process, end *endOfProcess) {
	ev := d.shared.traits[t]
	if ev == nil {
		ev = &traitEvidence{content: h.content, completed: map[uint32]boottime.Instant{}}
		d.shared.traits[t] = ev
	}
	if ev.content != h.content && !ev.shared {
		ev.shared = true
		d.shared.sharedTraits++
	}
	if slices.Contains(ev.ends, p) {
		return
	}
	ev.ends = append(ev.ends, p)
	if own := d.shared.own.last(t, end.Version); len(ev.ends) > 1 && own > ev.completed[end.Version] && now.Sub(own) <= soundTime {
		d.tell(now, t, end.Version)
	}
}

// KnowsAny reports whether an end is known that broke off a request with one of some traits.
func (d *Detector) KnowsAny(s Shares) bool {
	for _, t := range s.Traits {
		if d.shared.traits[t] != nil {
			return true
		}
	}
	return false
}

// TraitsSent records that this gateway has sent a request.
func (d *Detector) TraitsSent(now boottime.Instant, s Shares) { d.shared.sent.add(s, anyVersion, now) }

// TraitsCompleted records that a request of this gateway has completed at a software version. Ends until now don't count against
// its traits there.
func (d *Detector) TraitsCompleted(now boottime.Instant, s Shares, version uint32) {
	d.shared.completed.add(s, version, now)
	for _, t := range s.Traits {
		d.shared.own.add(t, version, now)
		d.shared.own.add(t, anyVersion, now)
		d.noteSound(now, t, version)
	}
}

// noteSound is called after a completion of a trait at a software version. If more than one end is known, other gateways are told.
func (d *Detector) noteSound(now boottime.Instant, t Trait, version uint32) {
	ev := d.shared.traits[t]
	if ev == nil || !d.anyEndBetween(ev, version, ev.completed[version], now) {
		return
	}
	d.shared.dirty = true
	if len(ev.ends) > 1 {
		d.tell(now, t, version)
	}
}

// anyEndBetween reports whether an end that counts against a trait at a software version, or anyVersion, happened after a time until another.
func (d *Detector) anyEndBetween(ev *traitEvidence, version uint32, after, until boottime.Instant) bool {
	return slices.ContainsFunc(ev.ends, func(p Process) bool {
		e := d.ends[p]
		return e != nil && (version == anyVersion || e.Version == version) && e.at > after && e.at <= until
	})
}

// TraitsSurvived records that an attempt of a request with some traits has brought a number of events and goes on. Its traits are not
// the cause of ends that came earlier in a response.
func (d *Detector) TraitsSurvived(now boottime.Instant, s Shares, version uint32, events uint32) {
	for _, t := range s.Traits {
		if d.shared.traits[t] != nil && d.latestEvents(t, version)+progressSlack < events {
			d.shared.own.add(t, version, now)
			d.noteSound(now, t, version)
		}
	}
}

// latestEvents returns the most events that a request with a trait had brought at an end at a software version.
func (d *Detector) latestEvents(t Trait, version uint32) uint32 {
	most := uint32(0)
	for _, p := range d.shared.traits[t].ends {
		e := d.ends[p]
		if e == nil || e.Version != version {
			continue
		}
		for i := range e.holders {
			if h := &e.holders[i]; h.has(t) {
				most = max(most, h.events)
			}
		}
	}
	return most
}

// tell makes the latest completion of a trait known to other gateways.
func (d *Detector) tell(now boottime.Instant, t Trait, version uint32) {
	key := TraitCompletion{Trait: t, Version: version}
	if _, waits := d.shared.pending[key]; !waits && len(d.shared.pending) < maxPendingCompletions {
		d.shared.pending[key] = now
	}
}

// HasNews reports whether there are completions that other gateways may have to be told.
func (d *Detector) HasNews() bool { return len(d.shared.pending) > 0 }

// TakeCompletions returns the completions that other gateways are to be told: all, or only those that have waited for
// retellTime without being told by another gateway.
func (d *Detector) TakeCompletions(now boottime.Instant, all bool) []TraitCompletion {
	var out []TraitCompletion
	for key, since := range d.shared.pending {
		if !all && now.Sub(since) < retellTime {
			continue
		}
		delete(d.shared.pending, key)
		ev := d.shared.traits[key.Trait]
		own := d.shared.own.last(key.Trait, key.Version)
		if ev == nil || own <= ev.completed[key.Version] {
			continue
		}
		ev.completed[key.Version] = own
		key.At = own
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b TraitCompletion) int {
		return cmp.Or(compareTraits(a.Trait, b.Trait), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// TraitCompletedByReport applies a completion that another gateway has told, and reports whether it excludes an end that was not excluded
// before, or is the first one: any other word of it is the same news, told by another way.
func (d *Detector) TraitCompletedByReport(now boottime.Instant, c TraitCompletion) bool {
	ev := d.shared.traits[c.Trait]
	if ev == nil || c.At <= ev.completed[c.Version] {
		return false
	}
	former := ev.completed[c.Version]
	ev.completed[c.Version] = c.At
	d.shared.dirty = true
	if own := d.shared.own.last(c.Trait, c.Version); !d.anyEndBetween(ev, c.Version, c.At, own) {
		delete(d.shared.pending, TraitCompletion{Trait: c.Trait, Version: c.Version})
	}
	return former == 0 || d.anyEndBetween(ev, c.Version, former, c.At)
}

// Lift makes the ends until now not count against a trait, and against those that it is blocked together with, by an operator's
// word. It returns the traits, or none if no end counts against the trait.
func (d *Detector) Lift(now boottime.Instant, t Trait) []Trait {
	if d.shared.traits[t] == nil {
		return nil
	}
	lifted := []Trait{t}
	for _, c := range d.shared.causes {
		if slices.Contains(c.Traits, t) {
			lifted = append(lifted, c.Traits...)
		}
	}
	slices.SortFunc(lifted, compareTraits)
	lifted = slices.Compact(lifted)
	for _, l := range lifted {
		if ev := d.shared.traits[l]; ev != nil {
			ev.completed[anyVersion] = now
		}
	}
	d.shared.dirty = true
	return lifted
}

// completedAt returns the time until which ends at a software version don't count against a trait.
func (d *Detector) completedAt(t Trait, version uint32) boottime.Instant {
	known := boottime.Instant(0)
	if ev := d.shared.traits[t]; ev != nil {
		known = max(ev.completed[version], ev.completed[anyVersion])
	}
	return max(known, d.shared.own.last(t, version))
}

// soundWithin reports whether a request with a trait completed within a time before an end or later, at any software version.
func (d *Detector) soundWithin(t Trait, end *endOfProcess, before time.Duration) bool {
	latest := d.shared.own.last(t, anyVersion)
	if ev := d.shared.traits[t]; ev != nil {
		for version, at := range ev.completed {
			if version != anyVersion { // an operator's word is no completion
				latest = max(latest, at)
			}
		}
	}
	return latest != 0 && latest >= end.at.Add(-before)
}

// expireShared forgets ends that no longer count against traits.
func (d *Detector) expireShared(now boottime.Instant) {
	for p, e := range d.ends {
		if len(e.holders) > 0 && now > e.sharedUntil() {
			d.dropHolders(p, e)
		}
	}
	d.shared.dirty = d.shared.dirty || len(d.shared.traits) > 0
}

// sharedUntil returns until when an end counts against traits.
func (e *endOfProcess) sharedUntil() boottime.Instant { return max(e.at.Add(sharedTTL), e.keptUntil) }

// chainOf returns the ends that count against a trait, in the order of time: those since the last completion of a request with it at
// their software version which nothing else explains.
func (d *Detector) chainOf(now boottime.Instant, t Trait) []*endOfProcess {
	ev := d.shared.traits[t]
	if ev == nil {
		return nil
	}
	var chain []*endOfProcess
	for _, p := range ev.ends {
		e := d.ends[p]
		if e == nil || e.at <= e.refutedUntil || e.explainedWithout(t) || e.at <= d.completedAt(t, e.Version) || now > e.sharedUntil() {
			continue
		}
		chain = append(chain, e)
	}
	slices.SortFunc(chain, func(a, b *endOfProcess) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.process.Endpoint, b.process.Endpoint), cmp.Compare(a.process.Incarnation, b.process.Incarnation))
	})
	return chain
}

// explainedWithout reports whether an end is put down to something that does not have a trait.
func (e *endOfProcess) explainedWithout(t Trait) bool {
	if e.cause != nil {
		return !slices.Contains(e.cause.Traits, t)
	}
	if e.content == 0 {
		return false
	}
	return !slices.ContainsFunc(e.holders, func(h holder) bool { return h.content == e.content && h.has(t) })
}

// sortedTraits returns the traits with at least a number of ends, in order.
func (d *Detector) sortedTraits(ends int) []Trait {
	var out []Trait
	for t, ev := range d.shared.traits {
		if len(ev.ends) >= ends {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, compareTraits)
	return out
}
