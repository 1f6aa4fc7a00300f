package crasher

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// evidenceTTL is how long an end counts, and how long a request stays known after its last end.
	evidenceTTL = 10 * time.Minute
	// maxSuspects bounds the requests that a Detector knows. At some 300 bytes each these are about 1 MB.
	maxSuspects = 4096
	// evictedShare is the inverse of the share of the requests that is forgotten at a time.
	evictedShare = 8
	// maxProcesses bounds the ends of processes that a Detector knows.
	maxProcesses = 512
	// maxAppearances bounds the ends that are kept of one request.
	maxAppearances = 8
	// retoldMargin is more than the time by which news is dated too late after it has gone through several gateways.
	retoldMargin = 500 * time.Millisecond
	// anyVersion stands for all software versions in a exoneration.
	anyVersion = 0
	// maxExonerations bounds the versions at which a request is cleared.
	maxExonerations = 4
	// trialTime is how long a trial keeps other attempts of the same request from beginning, unless its result
	// is known sooner.
	trialTime = 2 * time.Second
)

// Detector collects evidence and decides which requests are blocked.
type Detector struct {
	suspects  map[Fingerprint]*suspect
	ends      map[Process]*endOfProcess
	unsettled []Fingerprint                 // requests that Settle has to look at, in this order
	queued    map[Fingerprint]bool          // the same
	sound     map[soundRun]boottime.Instant // latest completions
	onTrial   map[Process]int               // see endsOnTrial; nil: to be counted
	ofStrong  map[Process]bool              // see endsOfStrong; nil: to be found
	shared    *sharedEvidence
	joinedAt  boottime.Instant // see Joined; 0: not
}

// New returns a Detector without evidence.
func New() *Detector {
	return &Detector{suspects: map[Fingerprint]*suspect{}, ends: map[Process]*endOfProcess{}, queued: map[Fingerprint]bool{}, sound: map[soundRun]boottime.Instant{}, shared: newSharedEvidence()}
}

// Joined records that this gateway has started while others went on. It knows few completions: for newcomerTime after the first call,
// others decide what is blocked.
func (d *Detector) Joined(now boottime.Instant) {
	if d.joinedAt == 0 {
		d.joinedAt = now
	}
}

// Knows reports whether an end is known that broke off a request, also if it no longer counts.
func (d *Detector) Knows(f Fingerprint) bool { return d.suspects[f] != nil }

// Empty reports whether there is no evidence against any request.
func (d *Detector) Empty() bool { return len(d.suspects) == 0 }

// Len returns the number of known requests and of known ends of processes.
func (d *Detector) Len() (requests, ends int) { return len(d.suspects), len(d.ends) }

// Ended adds the end of a process as a gateway has seen it, and reports whether it says anything new. Reports of several
// gateways about the same process add up; repeated ones have no effect.
func (d *Detector) Ended(now boottime.Instant, e End) bool {
	if now.Sub(e.At) > 2*maxCauseBlock {
		return false
	}
	end, changed := d.endOf(e.Process, e.Software, e.At)
	if e.At <= end.refutedUntil {
		return false
	}
	if end.at <= end.refutedUntil {
		end.Software, end.at, end.requests, changed = e.Software, e.At, 0, true
		d.dropHolders(e.Process, end)
	}
	if len(e.Cause) > 0 {
		end.toldCause = e.Cause
	}
	changed = d.addHolders(now, e.Process, end, e.Broken) || changed
	if now.Sub(e.At) > evidenceTTL+maxBlock {
		return changed
	}
	for _, b := range e.Broken {
		if b.Request != 0 && d.addAppearance(now, e, b, end.refutedUntil) {
			end.requests++
			changed = true
		}
	}
	return changed
}

// endOf returns what is known of the end of a process, and whether it was not known before.
func (d *Detector) endOf(p Process, s Software, at boottime.Instant) (*endOfProcess, bool) {
	if known := d.ends[p]; known != nil {
		return known, false
	}
	d.makeRoomForEnd()
	end := &endOfProcess{Software: s, at: at, process: p}
	d.ends[p] = end
	return end, true
}

// suspectOf returns what is known of a request.
func (d *Detector) suspectOf(now boottime.Instant, f Fingerprint) *suspect {
	s := d.suspects[f]
	if s == nil {
		d.makeRoomForSuspect()
		s = &suspect{}
		d.suspects[f] = s
	}
	s.lastSeen = max(s.lastSeen, now)
	return s
}

// addAppearance adds a request's part in an end, and reports whether it was not known. An appearance of the same process
// that has been refuted is replaced.
func (d *Detector) addAppearance(now boottime.Instant, e End, b Broken, refutedUntil boottime.Instant) bool {
	s := d.suspectOf(now, b.Request)
	s.appearances = slices.DeleteFunc(s.appearances, func(a appearance) bool { return a.Process == e.Process && a.at <= refutedUntil })
	for i := range s.appearances {
		known := &s.appearances[i]
		if known.Process != e.Process {
			continue
		}
		further := b.Progress > known.progress
		known.progress = max(known.progress, b.Progress)
		return further
	}
	if len(s.appearances) == maxAppearances && e.At <= s.appearances[0].at {
		return false
	}
	s.trialUntil = 0
	d.unsettle(b.Request)
	s.appearances = append(s.appearances, appearance{Process: e.Process, at: e.At, progress: b.Progress, ran: b.Ran})
	slices.SortFunc(s.appearances, func(a, b appearance) int { return cmp.Compare(a.at, b.at) })
	if extra := len(s.appearances) - maxAppearances; extra > 0 {
		s.appearances = slices.Delete(s.appearances, 0, extra)
	}
	return true
}

// Refute withdraws the ends of a process up to a time at which it showed a sign of life, also those that will be reported
// later. It reports whether that was not known; a time that is little later than a known one is the same news, told by another
// way.
func (d *Detector) Refute(now boottime.Instant, p Process, aliveAt boottime.Instant) bool {
	end, _ := d.endOf(p, Software{}, now)
	if aliveAt <= end.refutedUntil {
		return false
	}
	news := end.refutedUntil == 0 || aliveAt > end.refutedUntil.Add(retoldMargin)
	end.refutedUntil = aliveAt
	d.shared.dirty = d.shared.dirty || len(end.holders) > 0
	d.unsettleStrong()
	return news
}

// Clear clears a request of all ends before a time, by an operator's word.
func (d *Detector) Clear(now boottime.Instant, f Fingerprint, at boottime.Instant) {
	d.clear(now, f, anyVersion, at)
}

// ClearAt clears a request of the ends before a time at one software version, because it has completed there, or has got
// further than at any of them.
func (d *Detector) ClearAt(now boottime.Instant, f Fingerprint, version uint32, at boottime.Instant) {
	d.clear(now, f, version, at)
}

// ClearByReport applies a exoneration of another gateway, at all versions for version 0. It reports whether that was not known; a
// time that is little later than a known one is the same exoneration, told by another way.
func (d *Detector) ClearByReport(now boottime.Instant, f Fingerprint, version uint32, at boottime.Instant) bool {
	if s := d.suspects[f]; s != nil && s.exonerations[version] != 0 && at <= s.exonerations[version].Add(retoldMargin) {
		return false
	}
	d.clear(now, f, version, at)
	return true
}

// clear voids ends of a request. A block ends with it unless enough ends remain.
func (d *Detector) clear(now boottime.Instant, f Fingerprint, version uint32, at boottime.Instant) {
	s := d.suspectOf(now, f)
	if at <= s.exonerations[version] || version != anyVersion && s.exonerations[version] == 0 && len(s.exonerations) >= maxExonerations {
		return
	}
	if s.exonerations == nil {
		s.exonerations = map[uint32]boottime.Instant{}
	}
	s.exonerations[version] = at
	s.trialUntil = 0
	if len(d.chain(now, f, s)) < minEnds-1 {
		d.endBlock(f, s)
	}
	d.unsettleStrong()
}

// endBlock ends a block and the suspicion after a block after it. The request no longer explains any end.
func (d *Detector) endBlock(f Fingerprint, s *suspect) {
	s.blockedUntil, s.blockedFor, s.reportedUntil = 0, 0, 0
	for _, e := range d.ends {
		if e.content == f {
			e.content = 0
		}
	}
}

// Exoneration is the time until which the ends of a request at a software version, or at any, don't count against it.
type Exoneration struct {
	Request Fingerprint
	Version uint32 // 0: any
	At      boottime.Instant
}

// Exonerations returns up to limit exonerations of requests that several ends broke off, the latest first.
func (d *Detector) Exonerations(now boottime.Instant, limit int) []Exoneration {
	var out []Exoneration
	for f, s := range d.suspects {
		for version, at := range s.exonerations {
			if len(s.appearances) >= minEnds-1 && now.Sub(at) <= evidenceTTL {
				out = append(out, Exoneration{f, version, at})
			}
		}
	}
	slices.SortFunc(out, func(a, b Exoneration) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Version, b.Version))
	})
	return out[:min(len(out), limit)]
}

// Report records that a gateway blocks a request from a time until another one, and reports whether it was not blocked here. It
// has no effect on a request of which no end is known here, or that was cleared since.
func (d *Detector) Report(f Fingerprint, at, until boottime.Instant) bool {
	s := d.suspects[f]
	if s == nil || at <= s.exonerations[anyVersion] || until <= s.reportedUntil.Add(retoldMargin) {
		return false
	}
	news := s.reportedUntil == 0 && s.blockedUntil == 0
	s.reportedUntil = until
	d.unsettle(f)
	return news
}

// NoteTrial records that an attempt of a request that is on trial begins at an endpoint, sent by this gateway or another one.
// It reports whether no other one was known to run.
func (d *Detector) NoteTrial(now boottime.Instant, f Fingerprint, endpoint uint32) bool {
	s := d.suspects[f]
	if s == nil || now.Before(s.trialUntil) {
		return false
	}
	s.trialUntil, s.trialAt = now.Add(trialTime), endpoint
	return true
}

// TrialEndpoints returns the endpoints that are known to run an attempt on trial.
func (d *Detector) TrialEndpoints(now boottime.Instant) map[uint32]bool {
	out := map[uint32]bool{}
	for _, s := range d.suspects {
		if now.Before(s.trialUntil) {
			out[s.trialAt] = true
		}
	}
	return out
}

// Strong returns the evidence against up to limit requests that are on trial or blocked, the latest first, and which of
// them are blocked.
func (d *Detector) Strong(now boottime.Instant, limit int) (ends []End, blocked []Fingerprint) {
	var strong []Fingerprint
	for f, s := range d.suspects {
		if len(d.chain(now, f, s)) >= minEnds-1 {
			strong = append(strong, f)
		}
	}
	slices.SortFunc(strong, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(d.suspects[b].lastSeen, d.suspects[a].lastSeen), cmp.Compare(a, b))
	})
	for _, f := range strong[:min(len(strong), limit)] {
		s := d.suspects[f]
		for _, a := range d.chain(now, f, s) {
			e := End{Process: a.Process, Software: d.ends[a.Process].Software, At: a.at}
			e.Broken = []Broken{{Request: f, Progress: a.progress, Ran: a.ran}}
			ends = append(ends, e)
		}
		if now.Before(s.blockedUntil) {
			blocked = append(blocked, f)
		}
	}
	return ends, blocked
}

// Progress returns how far a request may get without being cleared of the ends that count against it, and whether any does.
func (d *Detector) Progress(now boottime.Instant, f Fingerprint) (uint32, bool) {
	s := d.suspects[f]
	if s == nil {
		return 0, false
	}
	most := uint32(0)
	chain := d.chain(now, f, s)
	for _, a := range chain {
		most = max(most, a.progress)
	}
	return most + progressSlack, len(chain) > 0
}

// Expire forgets evidence that no longer counts, and makes Settle look again at requests that wait, see contestTime. It is to
// be called every second.
func (d *Detector) Expire(now boottime.Instant) {
	d.unsettleStrong()
	for f, s := range d.suspects {
		if now.Sub(max(s.lastSeen, s.blockedUntil, s.reportedUntil)) > evidenceTTL {
			delete(d.suspects, f)
		}
	}
	for p, e := range d.ends {
		if now.Sub(e.at) > evidenceTTL && d.suspects[e.content] == nil && len(e.holders) == 0 {
			d.forgetEnd(p)
		}
	}
	d.expireShared(now)
}
