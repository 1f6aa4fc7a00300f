package crasher

import (
	"cmp"
	"maps"
	"slices"
)

// makeRoomForSuspect deletes some requests with the least evidence, of these those seen longest ago, if there is no room.
func (d *Detector) makeRoomForSuspect() {
	if len(d.suspects) < maxSuspects {
		return
	}
	weakest := slices.SortedFunc(maps.Keys(d.suspects), func(a, b Fingerprint) int {
		return cmp.Or(d.suspects[a].compareEvidence(d.suspects[b]), cmp.Compare(a, b))
	})
	for _, f := range weakest[:maxSuspects/evictedShare] {
		delete(d.suspects, f)
	}
}

// compareEvidence orders requests by the evidence against them, the least first.
func (s *suspect) compareEvidence(other *suspect) int {
	blocked := cmp.Compare(s.blockedUntil, other.blockedUntil)
	ends := cmp.Compare(len(s.appearances), len(other.appearances))
	return cmp.Or(blocked, ends, cmp.Compare(s.lastSeen, other.lastSeen))
}

// makeRoomForEnd deletes the oldest end if there is no room, preferably one that no blocked request explains.
func (d *Detector) makeRoomForEnd() {
	if len(d.ends) < maxProcesses {
		return
	}
	var oldest Process
	for p, e := range d.ends {
		if o := d.ends[oldest]; o == nil || e.goesBefore(o) {
			oldest = p
		}
	}
	d.forgetEnd(oldest)
}

// forgetEnd deletes what is known of the end of a process.
func (d *Detector) forgetEnd(p Process) {
	d.dropHolders(p, d.ends[p])
	delete(d.ends, p)
}

func (e *endOfProcess) goesBefore(other *endOfProcess) bool {
	if e.isExplained() != other.isExplained() {
		return other.isExplained()
	}
	return e.at < other.at
}

// isExplained reports whether it is known what has caused the end.
func (e *endOfProcess) isExplained() bool { return e.content != 0 || e.cause != nil }

// makeRoomForTraits forgets the requests of the oldest ends but one while there are too many traits, those of ends with a known
// cause last.
func (d *Detector) makeRoomForTraits(but Process) {
	for d.shared.entries > maxSharedTraits {
		var oldest Process
		for p, e := range d.ends {
			if len(e.holders) > 0 && p != but && (d.ends[oldest] == nil || e.goesBefore(d.ends[oldest])) {
				oldest = p
			}
		}
		if d.ends[oldest] == nil {
			return
		}
		d.dropHolders(oldest, d.ends[oldest])
	}
}

// dropHolders forgets the requests that an end broke off.
func (d *Detector) dropHolders(p Process, end *endOfProcess) {
	for _, h := range end.holders {
		d.shared.entries -= len(h.Traits)
		for _, t := range h.Traits {
			ev := d.shared.traits[t]
			if ev == nil {
				continue
			}
			ev.ends = slices.DeleteFunc(ev.ends, func(known Process) bool { return known == p })
			if len(ev.ends) == 0 {
				d.forgetTrait(t, ev)
			}
		}
	}
	end.holders = nil
	d.shared.dirty = true
}

func (d *Detector) forgetTrait(t Trait, ev *traitEvidence) {
	delete(d.shared.traits, t)
	if ev.shared {
		d.shared.sharedTraits--
	}
}
