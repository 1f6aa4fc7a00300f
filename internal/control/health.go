package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// minDown is the time between a failed connection to an endpoint and the next try.
	minDown = 200 * time.Millisecond
	// maxDown bounds that time as it doubles with each failed try.
	maxDown = 800 * time.Millisecond
	// tellDown is for how long peers are told of a failed connection.
	tellDown = 600 * time.Millisecond
	// failureWeight is the weight of the newest result in an endpoint's rate of failures.
	failureWeight = 0.2
	// failureLimit is the rate of failures at which an endpoint is avoided: several times
	// what sound endpoints show.
	failureLimit = 0.35
	// avoidTime is for how long an endpoint is avoided for its rate of failures.
	avoidTime = 1500 * time.Millisecond
	// recentAnswer is for how long an answer or a connection shows that an endpoint is
	// there.
	recentAnswer = 400 * time.Millisecond
	// fullTime is for how long an endpoint that refused a request is avoided: a few
	// requests end in it.
	fullTime = 60 * time.Millisecond
)

// health is what this process has seen of an endpoint's failures.
type health struct {
	down       bool             // the last connection to it failed
	silent     bool             // and nothing came back
	foundDown  boottime.Instant // by this process, 0: not
	tries      int              // failed connections in a row
	nextTry    boottime.Instant // of a connection while it is down
	probing    bool
	failures   float64          // rate among the last results, 0 to 1
	avoidUntil boottime.Instant // for its rate of failures, or because it was full
	lastGood   boottime.Instant // when it last answered
	downSince  boottime.Instant
}

// markDown notes that no connection to an endpoint could be made.
func (s *State) markDown(now boottime.Instant, e *endpoint, silent, own bool) {
	h := &e.health
	if !h.down {
		h.downSince = now
		s.log(event.EndpointDown, "endpoint", e.ID, "addr", e.Addr, "silent", silent, "own_finding", own, "in_flight", e.inFlight)
	}
	h.down, h.silent = true, silent
	if own {
		h.foundDown = now
		s.loads.version++
	}
	pause := min(minDown<<min(h.tries, 8), maxDown)
	h.tries++
	h.nextTry = now.Add(s.jitter(pause))
	if !own {
		return
	}
	s.expectCold(now, e)
	if silent {
		s.abandon(e)
	}
}

// markUp notes that a connection to an endpoint was made.
func (s *State) markUp(now boottime.Instant, e *endpoint) {
	h := &e.health
	if !h.down {
		return
	}
	s.log(event.EndpointUp, "endpoint", e.ID, "addr", e.Addr, "down_ms", now.Sub(h.downSince).Milliseconds())
	h.down, h.silent, h.tries, h.foundDown = false, false, 0, 0
	s.loads.version++
	s.expectCold(now, e)
}

// expectCold treats an endpoint that was down as one that has just started.
func (s *State) expectCold(now boottime.Instant, e *endpoint) {
	if svc := s.service(e); svc != nil && svc.ColdRequestsPerSecond > 0 {
		e.cold.until = max(e.cold.until, now.Add(svc.ColdStartDuration))
		e.since = now
	}
}

// result takes a success or failure into the endpoint's rate.
func (s *State) result(now boottime.Instant, e *endpoint, ok bool) {
	h := &e.health
	if ok {
		h.failures *= 1 - failureWeight
		h.lastGood = now
		return
	}
	h.failures += failureWeight * (1 - h.failures)
	if h.failures > failureLimit && now.Sub(h.avoidUntil) >= 0 {
		h.avoidUntil = now.Add(avoidTime)
		s.log(event.EndpointFailing, "endpoint", e.ID, "failure_rate", h.failures, "avoided_ms", avoidTime.Milliseconds())
		h.failures = failureLimit / 2 // the next failures decide anew
	}
}

// tickProbe asks for a connection to an endpoint that is down and to which a request would
// have gone since the last try.
func (s *State) tickProbe(now boottime.Instant, e *endpoint) {
	h := &e.health
	if !h.down || h.probing || !e.wanted || now.Before(h.nextTry) || !s.usable(now, e) {
		return
	}
	e.wanted = false
	s.probe(e)
}

func (s *State) probe(e *endpoint) {
	e.health.probing = true
	s.do(ProbeEndpoint{ID: e.ID, Addr: e.Addr})
}

// Suspect says that an endpoint has been silent to a request for longer than usual. A
// probe finds out whether it is there at all.
func (s *State) Suspect(now boottime.Instant, t *Attempt) {
	h := &t.e.health
	if h.probing || h.down || now.Sub(h.lastGood) < recentAnswer {
		return
	}
	s.probe(t.e)
}

// ProbeResult is what became of a connection that ProbeEndpoint asked for.
type ProbeResult uint8

// The results of a probe.
const (
	ProbeConnected ProbeResult = iota + 1
	ProbeRefused
	ProbeTimedOut
)

// ProbeDone takes the result of a probe.
func (s *State) ProbeDone(now boottime.Instant, id fleet.EndpointID, r ProbeResult) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	e.health.probing = false
	if r == ProbeConnected {
		e.health.lastGood = now
		s.markUp(now, e)
		return
	}
	s.markDown(now, e, r == ProbeTimedOut, true)
}

// hearDown takes what a peer could not reach. Unless this process has had an answer since,
// it counts as down here too until a request lacks it and a probe finds it: the peer
// itself may be cut off.
func (s *State) hearDown(now boottime.Instant, down []wire.FailureReport) {
	for _, d := range down {
		e := s.byShort(d.Endpoint)
		if e == nil || e.health.down {
			continue
		}
		at := now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
		if e.health.lastGood < at {
			s.markDown(now, e, d.NoResponse, false)
		}
	}
}

func (s *State) byShort(short uint32) *endpoint {
	for _, e := range s.endpoints {
		if e.short() == short {
			return e
		}
	}
	return nil
}

// ownDown is what this process could not reach itself a moment ago.
func (s *State) ownDown(now boottime.Instant) []wire.FailureReport {
	var out []wire.FailureReport
	for _, e := range s.endpoints {
		h := &e.health
		if h.foundDown != 0 && now.Sub(h.foundDown) <= tellDown {
			out = append(out, wire.FailureReport{Endpoint: e.short(), AgeMS: uint32(now.Sub(h.foundDown) / time.Millisecond), NoResponse: h.silent})
		}
	}
	return out
}
