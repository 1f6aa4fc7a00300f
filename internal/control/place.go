package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/origin"
)

const (
	// downRetryAfter is the mean retry-after of a request that no endpoint has been tried for, if
	// endpoints are down and none is eligible. Endpoints that are down are probed again within about
	// this time.
	downRetryAfter = 700 * time.Millisecond
	// noneEligibleRetryAfter is the mean retry-after in all other cases without an eligible endpoint,
	// for example after endpoints refused the request for lack of capacity.
	noneEligibleRetryAfter = 250 * time.Millisecond
	// versionGoneRetryAfter is the mean retry-after of a resumed stream whose version no endpoint offers. An
	// endpoint that crashed may be restarted with the same version within this time.
	versionGoneRetryAfter = 2 * time.Second
)

// Placement is the result of Place: an attempt, or the reason why there is none.
type Placement struct {
	Reason     Reason
	RetryAfter time.Duration
	Attempt    *Attempt
	Pending    bool // with a Reason: the decision is due within a moment, and the request may be placed again
}

// PlacementRequest holds the properties of a request that Place evaluates.
type PlacementRequest struct {
	Service  fleet.ServiceID
	Affinity uint64             // hash of the prompt's shared prefix; 0: none
	Tried    []fleet.EndpointID // endpoints that already had an attempt; they are not eligible
	Among    []fleet.EndpointID // if set, only these endpoints are eligible
	Version  origin.Version     // the only version at which the request may run; 0: any
	Stream   fleet.RequestID    // if set, the request goes on with this stream, of which this process has forwarded events

	Workspace fleet.WorkspaceID // "" for none
	Cost      cost.Request      // what is known about its size
	Goal      cost.Goal         // of its route

	Request crasher.Fingerprint // of the request's content, 0: not known
	Shares  crasher.Shares      // what the request may have in common with others

	onTrial    bool               // to be kept apart from other requests
	avoid      []crasher.Software // not eligible
	maxSilence time.Duration      // endpoints that have been silent for as long are not eligible; 0: no limit
}

// atStreamVersion sets the version of a request that goes on with a stream. It is 0 if that version is not certain.
func (s *State) atStreamVersion(now boottime.Instant, req PlacementRequest) PlacementRequest {
	if req.Stream != "" {
		req.Version = s.StreamVersion(now, req.Stream)
	}
	return req
}

// streamUnknown reports whether a request goes on with a stream whose version is not certain. It must be at its stream
// version.
func (r *PlacementRequest) streamUnknown() bool { return r.Stream != "" && r.Version == 0 }

// CouldPlace reports whether an endpoint exists that a request could be sent to later, although it may be down or
// unwilling now.
func (s *State) CouldPlace(now boottime.Instant, req PlacementRequest) bool {
	req = s.atStreamVersion(now, req)
	for _, e := range s.services[req.Service] {
		if s.usable(now, e) && req.mayRunAt(e) {
			return true
		}
	}
	return false
}

// mayRunAt reports whether a request may run at an endpoint by its version and the endpoints tried before.
func (r *PlacementRequest) mayRunAt(e *endpoint) bool {
	switch {
	case r.Version != 0 && e.version != r.Version:
		return false
	case len(r.Among) > 0 && !slices.Contains(r.Among, e.ID):
		return false
	default:
		return !slices.Contains(r.Tried, e.ID)
	}
}

// Place chooses an endpoint for a request and counts the attempt there until AttemptEnded.
func (s *State) Place(now boottime.Instant, req PlacementRequest) Placement {
	req = s.atStreamVersion(now, req)
	if req.streamUnknown() {
		return Placement{Reason: ReasonOriginUnknown}
	}
	req, denied := s.applyDecision(now, req)
	if denied.Reason != ReasonNone {
		return denied
	}
	s.refreshBacklog(now)
	w := s.weigh(now, req, s.inputs(now, req))
	w.requestProbes()
	if w.eligibleCount == 0 {
		p := s.rejection(now, req, &w.endpointClasses)
		p.RetryAfter = s.jitterRetryAfter(p.RetryAfter)
		return p
	}
	e := w.chosen
	if w.rule == ruleRandom {
		e = w.pick(s.rng.Float64())
	}
	if req.onTrial {
		s.beginTrial(now, req.Request, e)
	}
	e.inFlight++
	e.coldStart.recordSend(now)
	s.peerLoads.statusVersion++
	attempt := s.newAttempt(now, req, e, &w.endpointClasses)
	attempt.Estimate = w.estimateAt(e)
	s.noteSuspicion(now, attempt)
	s.crashes.detector.TraitsSent(now, req.Shares)
	attempt.CacheSourceAddr = s.cacheSource(now, req.Affinity, e)
	attempt.cached = req.Affinity != 0 && attempt.CacheSourceAddr == "" && now.Sub(e.incarnationKnownSince) >= cacheWarmupTime
	e.attempts[attempt] = true
	s.countWorkspace(attempt, 1)
	s.promptSent(now, attempt, &w)
	return Placement{Attempt: attempt}
}

// RetryAfter returns when a caller may come back whose request was refused although its endpoints were tried: d, or
// later if all endpoints want no requests for longer.
func (s *State) RetryAfter(now boottime.Instant, req PlacementRequest, d time.Duration) time.Duration {
	req.Tried = nil
	c := s.classify(now, req, s.inputs(now, req))
	if pause := c.commonPause(); pause > d {
		return s.jitterRetryAfter(pause)
	}
	return d
}
