package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	// minProbeInterval is the mean time between the first failed connection to an endpoint and the
	// earliest next probe.
	minProbeInterval = 200 * time.Millisecond
	// maxProbeInterval bounds that time, which doubles with each failed probe.
	maxProbeInterval = 800 * time.Millisecond
	// failureReportTTL is how long a failed connection is reported to peers.
	failureReportTTL = 600 * time.Millisecond
	// failureResultWeight is the weight of the newest result in the moving average of an
	// endpoint's failure rate.
	failureResultWeight = 0.2
	// failureRateLimit is the failure rate at which an endpoint is avoided. It is several times
	// the rate of healthy endpoints.
	failureRateLimit = 0.35
	// failureAvoidInterval is how long an endpoint is avoided for its failure rate.
	failureAvoidInterval = 1500 * time.Millisecond
	// recentResponseInterval is how long after a response or a successful probe an endpoint counts as
	// reachable, so that Suspect starts no probe.
	recentResponseInterval = 400 * time.Millisecond
	// refusalAvoidInterval is how long an endpoint that refused a request is avoided. Some of its
	// running requests end within this time and free capacity.
	refusalAvoidInterval = 60 * time.Millisecond
)

// health is the failure detector's state for one endpoint.
type health struct {
	down                bool             // last connection failed, in this process or as reported by a peer
	timedOut            bool             // that connection timed out
	ownDownAt           boottime.Instant // last failed connection of this process; 0: none since it was last up
	consecutiveFailures int              // failed connections in a row
	nextProbe           boottime.Instant // earliest time of the next probe while down
	probing             bool
	failureRate         float64          // exponentially weighted moving average over the results, 0 to 1
	avoidUntil          boottime.Instant // because of its failure rate or a refused request
	lastSuccess         boottime.Instant // last response or successful probe
	downSince           boottime.Instant
}

// markDown records a failed connection to an endpoint, by this process (own) or reported by a peer,
// and schedules the next probe with exponential backoff.
func (s *State) markDown(now boottime.Instant, e *endpoint, timedOut, own bool) {
	h := &e.health
	if !h.down {
		h.downSince = now
		s.log(event.EndpointDown, "endpoint", e.ID, "addr", e.Addr, "silent", timedOut, "own_finding", own, "in_flight", e.inFlight)
	}
	h.down, h.timedOut = true, timedOut
	e.suspectRestart(now)
	if own {
		h.ownDownAt = now
		s.peerLoads.statusVersion++
	}
	interval := min(minProbeInterval<<min(h.consecutiveFailures, 8), maxProbeInterval)
	h.consecutiveFailures++
	h.nextProbe = now.Add(s.jitter(interval))
	if !own {
		return
	}
	s.assumeColdStart(now, e)
	if timedOut {
		s.signalUnreachable(e)
		return
	}
	s.noteProcessEnded(now, e)
}

// markUp records a successful connection to an endpoint.
func (s *State) markUp(now boottime.Instant, e *endpoint) {
	h := &e.health
	if !h.down {
		return
	}
	s.log(event.EndpointUp, "endpoint", e.ID, "addr", e.Addr, "down_ms", now.Sub(h.downSince).Milliseconds())
	h.down, h.timedOut, h.consecutiveFailures, h.ownDownAt = false, false, 0, 0
	e.suspectRestart(now)
	s.peerLoads.statusVersion++
	s.assumeColdStart(now, e)
}

// assumeColdStart treats an endpoint with a cold-start limit that is or was down as one that has just
// started.
func (s *State) assumeColdStart(now boottime.Instant, e *endpoint) {
	if svc := s.service(e); svc != nil && svc.ColdRequestsPerSecond > 0 {
		e.coldStart.until = max(e.coldStart.until, now.Add(svc.ColdStartDuration))
		e.incarnationKnownSince = now
	}
}

// recordResult updates the endpoint's failure rate with one result.
func (s *State) recordResult(now boottime.Instant, e *endpoint, ok bool) {
	h := &e.health
	if ok {
		h.failureRate *= 1 - failureResultWeight
		h.lastSuccess = now
		return
	}
	e.outlier.recordFailure(now)
	s.peerLoads.statusVersion++
	h.failureRate += failureResultWeight * (1 - h.failureRate)
	if h.failureRate > failureRateLimit && now.Sub(h.avoidUntil) >= 0 {
		h.avoidUntil = now.Add(failureAvoidInterval)
		s.log(event.EndpointFailing, "endpoint", e.ID, "failure_rate", h.failureRate, "avoided_ms", failureAvoidInterval.Milliseconds())
		h.failureRate = failureRateLimit / 2 // further failures are needed to avoid it again
	}
}

// tickProbe starts a probe of a usable down endpoint if the backoff has passed and a request might
// have been sent to the endpoint since the last probe.
func (s *State) tickProbe(now boottime.Instant, e *endpoint) {
	h := &e.health
	if !h.down || h.probing || !e.probeRequested || now.Before(h.nextProbe) || !s.usable(now, e) {
		return
	}
	e.probeRequested = false
	s.probe(e)
}

func (s *State) probe(e *endpoint) {
	e.health.probing = true
	s.emit(ProbeEndpoint{ID: e.ID, Addr: e.Addr})
}

// Suspect handles an attempt without a response for longer than usual. It starts a probe of the
// endpoint, unless the endpoint is down, is being probed or has responded recently.
func (s *State) Suspect(now boottime.Instant, a *Attempt) {
	h := &a.endpoint.health
	if h.probing || h.down || now.Sub(h.lastSuccess) < recentResponseInterval {
		return
	}
	s.probe(a.endpoint)
}

// ProbeResult is the result of a connection attempt requested by ProbeEndpoint.
type ProbeResult uint8

// Results of a probe.
const (
	ProbeConnected ProbeResult = iota + 1
	ProbeConnectionRefused
	ProbeTimedOut
)

// ProbeDone handles the result of a probe.
func (s *State) ProbeDone(now boottime.Instant, id fleet.EndpointID, r ProbeResult) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	e.health.probing = false
	if r == ProbeConnected {
		if e.Incarnation == 0 {
			e.processIsAlive(now)
		}
		e.health.lastSuccess = now
		s.markUp(now, e)
		return
	}
	s.markDown(now, e, r == ProbeTimedOut, true)
}

// receiveFailureReports handles a peer's report of endpoints that it could not connect to. An
// endpoint that has not responded to this process since the reported failure is marked as down. The
// peer may be the partitioned side, so the next request that might use the endpoint causes a probe.
func (s *State) receiveFailureReports(now boottime.Instant, reports []wire.FailureReport) {
	for _, d := range reports {
		e := s.endpointByShortID(d.Endpoint)
		if e == nil || e.health.down {
			continue
		}
		at := now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
		if e.health.lastSuccess < at {
			s.markDown(now, e, d.NoResponse, false)
		}
	}
}

// endpointByShortID returns the endpoint with an ID as used in messages to peers, or nil.
func (s *State) endpointByShortID(short uint32) *endpoint {
	return s.endpointsByShort[short]
}

// ownFailureReports returns the endpoints to which this process itself recently failed to
// connect.
func (s *State) ownFailureReports(now boottime.Instant) []wire.FailureReport {
	var out []wire.FailureReport
	for _, e := range s.endpointList {
		h := &e.health
		if h.ownDownAt != 0 && now.Sub(h.ownDownAt) <= failureReportTTL {
			out = append(out, wire.FailureReport{Endpoint: e.shortID(), AgeMS: uint32(now.Sub(h.ownDownAt) / time.Millisecond), NoResponse: h.timedOut})
		}
	}
	return out
}
