package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// minProbeInterval is the time between a failed connection to an endpoint and the next try.
	minProbeInterval = 200 * time.Millisecond
	// maxProbeInterval bounds that time as it doubles with each failed try.
	maxProbeInterval = 800 * time.Millisecond
	// failureReportTTL is for how long peers are told of a failed connection.
	failureReportTTL = 600 * time.Millisecond
	// failureResultWeight is the weight of the newest result in an endpoint's rate of failures.
	failureResultWeight = 0.2
	// failureRateLimit is the rate of failures at which an endpoint is avoided: several times
	// what sound endpoints show.
	failureRateLimit = 0.35
	// failureAvoidInterval is for how long an endpoint is avoided for its rate of failures.
	failureAvoidInterval = 1500 * time.Millisecond
	// recentAnswerInterval is for how long an answer or a connection shows that an endpoint is
	// there.
	recentAnswerInterval = 400 * time.Millisecond
	// refusalAvoidInterval is for how long an endpoint that refused a request is avoided: a few
	// requests end in it.
	refusalAvoidInterval = 60 * time.Millisecond
)

// health is what this process has seen of an endpoint's failures.
type health struct {
	down                bool             // the last connection to it failed
	timedOut            bool             // and nothing came back
	ownDownAt           boottime.Instant // by this process, 0: not
	consecutiveFailures int              // failed connections in a row
	nextProbe           boottime.Instant // of a connection while it is down
	probing             bool
	failureRate         float64          // rate among the last results, 0 to 1
	avoidUntil          boottime.Instant // for its rate of failures, or because it was full
	lastSuccess         boottime.Instant // when it last answered
	downSince           boottime.Instant
}

// markDown notes that no connection to an endpoint could be made.
func (s *State) markDown(now boottime.Instant, e *endpoint, silent, own bool) {
	h := &e.health
	if !h.down {
		h.downSince = now
		s.log(event.EndpointDown, "endpoint", e.ID, "addr", e.Addr, "silent", silent, "own_finding", own, "in_flight", e.inFlight)
	}
	h.down, h.timedOut = true, silent
	if own {
		h.ownDownAt = now
		s.peerLoads.statusVersion++
	}
	pause := min(minProbeInterval<<min(h.consecutiveFailures, 8), maxProbeInterval)
	h.consecutiveFailures++
	h.nextProbe = now.Add(s.jitter(pause))
	if !own {
		return
	}
	s.assumeColdStart(now, e)
	if silent {
		s.closeEndpointLost(e)
	}
}

// markUp notes that a connection to an endpoint was made.
func (s *State) markUp(now boottime.Instant, e *endpoint) {
	h := &e.health
	if !h.down {
		return
	}
	s.log(event.EndpointUp, "endpoint", e.ID, "addr", e.Addr, "down_ms", now.Sub(h.downSince).Milliseconds())
	h.down, h.timedOut, h.consecutiveFailures, h.ownDownAt = false, false, 0, 0
	s.peerLoads.statusVersion++
	s.assumeColdStart(now, e)
}

// assumeColdStart treats an endpoint that was down as one that has just started.
func (s *State) assumeColdStart(now boottime.Instant, e *endpoint) {
	if svc := s.service(e); svc != nil && svc.ColdPerSecond > 0 {
		e.coldStart.until = max(e.coldStart.until, now.Add(svc.ColdFor))
		e.runKnownSince = now
	}
}

// recordResult takes a success or failure into the endpoint's rate.
func (s *State) recordResult(now boottime.Instant, e *endpoint, ok bool) {
	h := &e.health
	if ok {
		h.failureRate *= 1 - failureResultWeight
		h.lastSuccess = now
		return
	}
	h.failureRate += failureResultWeight * (1 - h.failureRate)
	if h.failureRate > failureRateLimit && now.Sub(h.avoidUntil) >= 0 {
		h.avoidUntil = now.Add(failureAvoidInterval)
		s.log(event.EndpointFailing, "endpoint", e.ID, "failure_rate", h.failureRate, "avoided_ms", failureAvoidInterval.Milliseconds())
		h.failureRate = failureRateLimit / 2 // the next failures decide anew
	}
}

// tickProbe asks for a connection to an endpoint that is down and to which a request would
// have gone since the last try.
func (s *State) tickProbe(now boottime.Instant, e *endpoint) {
	h := &e.health
	if !h.down || h.probing || !e.probeWanted || now.Before(h.nextProbe) || !s.usable(now, e) {
		return
	}
	e.probeWanted = false
	s.probe(e)
}

func (s *State) probe(e *endpoint) {
	e.health.probing = true
	s.emit(ProbeEndpoint{ID: e.ID, Addr: e.Addr})
}

// Suspect says that an endpoint has been silent to a request for longer than usual. A
// probe finds out whether it is there at all.
func (s *State) Suspect(now boottime.Instant, t *Attempt) {
	h := &t.endpoint.health
	if h.probing || h.down || now.Sub(h.lastSuccess) < recentAnswerInterval {
		return
	}
	s.probe(t.endpoint)
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
		e.health.lastSuccess = now
		s.markUp(now, e)
		return
	}
	s.markDown(now, e, r == ProbeTimedOut, true)
}

// receiveFailureReports takes what a peer could not reach. Unless this process has had an answer since,
// it counts as down here too until a request lacks it and a probe finds it: the peer
// itself may be cut off.
func (s *State) receiveFailureReports(now boottime.Instant, down []wire.Down) {
	for _, d := range down {
		e := s.endpointByShortID(d.Endpoint)
		if e == nil || e.health.down {
			continue
		}
		at := now.Add(-time.Duration(d.AgeMs) * time.Millisecond)
		if e.health.lastSuccess < at {
			s.markDown(now, e, d.Silent, false)
		}
	}
}

func (s *State) endpointByShortID(short uint32) *endpoint {
	for _, e := range s.endpoints {
		if e.shortID() == short {
			return e
		}
	}
	return nil
}

// ownFailureReports is what this process could not reach itself a moment ago.
func (s *State) ownFailureReports(now boottime.Instant) []wire.Down {
	var out []wire.Down
	for _, e := range s.endpoints {
		h := &e.health
		if h.ownDownAt != 0 && now.Sub(h.ownDownAt) <= failureReportTTL {
			out = append(out, wire.Down{Endpoint: e.shortID(), AgeMs: uint32(now.Sub(h.ownDownAt) / time.Millisecond), Silent: h.timedOut})
		}
	}
	return out
}
