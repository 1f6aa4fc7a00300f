package control

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Numbers of gateways that are expected to tell the others of the same completion, or of the same cause, at once.
const completionTellers, causeTellers = 6, 6

// settleCauses looks for what requests that crash endpoints share.
func (s *State) settleCauses(now boottime.Instant) {
	changed, refuted := s.crashes.detector.SettleCauses(now, s.usableEndpoints(now))
	for _, c := range changed {
		former := ""
		if c.Former != nil {
			former = c.Former.String()
		}
		s.tellCause(c.Cause)
		s.log(event.CrashCauseFound, "cause", c.String(), "caller", c.Scope(), "former", former, "ends", len(c.Ends), "contents", c.Contents,
			"evidence", c.Evidence(now, s.endpointName), "chance", c.Chance, "blocked_for_ms", c.Length.Milliseconds())
	}
	for _, c := range refuted {
		s.log(event.CrashCauseRefuted, "cause", c.String(), "caller", c.Scope(), "ends", len(c.Ends))
	}
}

// tellCause tells other gateways the evidence for a cause, which some of them may have missed. Most gateways find a cause by
// themselves at about the same time: a few of them tell.
func (s *State) tellCause(c *crasher.Cause) {
	if s.rng.IntN(s.mesh.Size()) >= causeTellers {
		return
	}
	for _, e := range s.crashes.detector.EndsOf(c) {
		s.crashes.outbox.addEnd(e)
	}
}

// attemptCompleted records that an endpoint has responded to a request.
func (s *State) attemptCompleted(now boottime.Instant, a *Attempt) {
	s.crashes.detector.TraitsCompleted(now, a.Shares, uint32(a.version))
}

// AttemptSurvived records that an attempt has brought a number of events and goes on: what its request shares with others did not end
// the endpoint's process.
func (s *State) AttemptSurvived(now boottime.Instant, a *Attempt, events uint32) {
	s.crashes.detector.TraitsSurvived(now, a.Shares, uint32(a.version), events)
}

// decideShared decides whether a request may run by what it shares with others, and returns the cause if it may not.
func (s *State) decideShared(now boottime.Instant, shares crasher.Shares, service fleet.ServiceID) (crasher.Decision, *crasher.Cause) {
	if !s.crashes.detector.KnowsAny(shares) {
		return crasher.Decision{}, nil
	}
	s.settleCauses(now)
	return s.crashes.detector.DecideShared(now, shares, s.offer(now, service))
}

// CrashCause returns what a request shares with others that crash endpoints, or nil if it may run.
func (s *State) CrashCause(now boottime.Instant, shares crasher.Shares, service fleet.ServiceID) *crasher.Cause {
	_, cause := s.decideShared(now, shares, service)
	return cause
}

// CauseEvidence describes the ends of a cause, for logs.
func (s *State) CauseEvidence(now boottime.Instant, c *crasher.Cause) string {
	return c.Evidence(now, s.endpointName)
}

// LiftCause makes the ends until now not count against a trait by an operator's word, here and at the other gateways. It reports
// whether any did.
func (s *State) LiftCause(now boottime.Instant, t crasher.Trait) bool {
	lifted := s.crashes.detector.Lift(now, t)
	for _, l := range lifted {
		s.crashes.outbox.fresh.completed = append(s.crashes.outbox.fresh.completed, crasher.TraitCompletion{Trait: l, At: now})
	}
	s.settleCauses(now)
	return len(lifted) > 0
}

// queueCompletions queues the completions that other gateways are to be told. All gateways at which requests with a popular trait
// complete hear of an end at about the same time: a few of them tell at once, the others if nobody has.
func (s *State) queueCompletions(now boottime.Instant) {
	if !s.crashes.detector.HasNews() {
		return
	}
	all := s.rng.IntN(s.mesh.Size()) < completionTellers
	o := &s.crashes.outbox
	o.fresh.completed = append(o.fresh.completed, s.crashes.detector.TakeCompletions(now, all)...)
}

// applyCompletions applies completions that another gateway has told, and reports whether any was not known.
func (s *State) applyCompletions(now boottime.Instant, told []wire.CompletedTrait) bool {
	changed := false
	for _, t := range told {
		c := crasher.TraitCompletion{Trait: decodeTrait(t.Trait), Version: t.Version, At: instantOf(now, t.AgeMS)}
		changed = s.crashes.detector.TraitCompletedByReport(now, c) || changed
	}
	return changed
}

func decodeTrait(t wire.Trait) crasher.Trait {
	return crasher.Trait{Kind: crasher.TraitKind(t.Kind), ID: t.ID}
}

func encodeTrait(t crasher.Trait) wire.Trait { return wire.Trait{Kind: uint8(t.Kind), ID: t.ID} }

func decodeShares(r *wire.BrokenRequest) crasher.Shares {
	return crasher.Shares{Caller: crasher.Caller(r.Caller), Traits: decodeTraits(r.Traits)}
}

func decodeTraits(traits []wire.Trait) []crasher.Trait {
	var out []crasher.Trait
	for _, t := range traits[:min(len(traits), crasher.MaxTraits)] {
		out = append(out, decodeTrait(t))
	}
	return out
}

func encodeTraits(traits []crasher.Trait) []wire.Trait {
	out := make([]wire.Trait, len(traits))
	for i, t := range traits {
		out[i] = encodeTrait(t)
	}
	return out
}

// CauseDump is what requests share that crash endpoints.
type CauseDump struct {
	Cause        string    `json:"cause"`  // traits that a blocked request has, as "part:ID+part:ID"
	Caller       string    `json:"caller"` // hash of the workspace whose requests are blocked, or "all"
	Contents     int       `json:"contents"`
	BlockedForMS int64     `json:"blocked_for_ms"`
	BlockLeftMS  int64     `json:"block_left_ms"`
	Chance       float64   `json:"chance"` // probability of that many ends without its doing, when the block began
	Ends         []EndDump `json:"ends"`
}

func (s *State) dumpCauses(now boottime.Instant) []CauseDump {
	out := []CauseDump{}
	for _, c := range s.crashes.detector.Causes(now) {
		d := CauseDump{Cause: c.String(), Caller: c.Scope(), Contents: c.Contents, BlockedForMS: c.Length.Milliseconds(), BlockLeftMS: c.Until.Sub(now).Milliseconds(), Chance: c.Chance}
		d.Ends = s.dumpEnds(now, c.Ends)
		out = append(out, d)
	}
	return out
}

func (s *State) dumpEnds(now boottime.Instant, ends []crasher.Evidence) []EndDump {
	out := []EndDump{}
	for _, e := range ends {
		out = append(out, EndDump{
			Endpoint: s.endpointName(e.Endpoint), Incarnation: uint64(e.Incarnation), AgeMS: now.Sub(e.At).Milliseconds(),
			AfterEvents: e.Progress, RanMS: e.Ran.Milliseconds(), Others: e.Others,
		})
	}
	return out
}

// suspectedAttempt reports whether an end counts against an attempt's request or against what it shares with others.
func (s *State) suspectedAttempt(now boottime.Instant, a *Attempt) bool {
	return s.suspected(now, a.Request) || s.crashes.detector.SuspectsAny(now, a.Shares)
}

// brokenBy describes an attempt that was broken off, for the evidence.
func brokenBy(now boottime.Instant, a *Attempt, progress uint64) crasher.Broken {
	return crasher.Broken{
		Request:  a.Request,
		Progress: uint32(min(progress, maxProgress)),
		Ran:      now.Sub(a.sentAt),
		Shares:   a.Shares,
		Events:   uint32(min(a.events.Load(), maxProgress)),
	}
}
