package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// crashExpiryInterval is the time between two removals of old evidence.
	crashExpiryInterval = time.Second
	// trialRetryAfter is the mean retry-after of a request of which another attempt is on trial.
	trialRetryAfter = 400 * time.Millisecond
)

// crashes is what this process knows about the ends of endpoint processes and the requests that cause them.
type crashes struct {
	detector  *crasher.Detector
	outbox    crashOutbox
	reported  []crasher.End // by other gateways, within reportCheckTime
	expiredAt boottime.Instant
}

// suspected reports whether the end of a process counts against a request.
func (s *State) suspected(now boottime.Instant, f crasher.Fingerprint) bool {
	_, suspected := s.crashes.detector.Progress(now, f)
	return suspected
}

// settleCrashes begins the blocks that are due and tells the other gateways.
func (s *State) settleCrashes(now boottime.Instant) {
	s.settleCauses(now)
	for _, b := range s.crashes.detector.Settle(now, s.usableEndpoints(now)) {
		s.crashes.outbox.addBlocked(now, b.Request, b.Until)
		s.log(event.RequestBlockBegan, "fingerprint", b.Request, "ends", len(b.Ends), "evidence", s.CrashEvidence(now, &b.Decision), "chance", b.Chance, "blocked_for_ms", b.Length.Milliseconds())
	}
}

// usableEndpoints returns a function that counts the endpoints of a service that can be used and are not down, by the hash of its ID.
func (s *State) usableEndpoints(now boottime.Instant) func(uint32) int {
	return func(service uint32) int {
		n := 0
		for _, e := range s.endpointList {
			if e.serviceHash == service && s.usable(now, e) && !e.health.down {
				n++
			}
		}
		return n
	}
}

// noteSuspicion records in a new attempt whether its request is suspected.
func (s *State) noteSuspicion(now boottime.Instant, a *Attempt) {
	known, suspected := s.crashes.detector.Progress(now, a.Request)
	a.Suspected, a.SuspectedProgress = suspected, uint64(known)
}

// RequestProgressed records that an attempt has brought an event of its stream. A request that gets further than at the
// ends that count against it is cleared.
func (s *State) RequestProgressed(now boottime.Instant, a *Attempt, progress uint64) {
	if known, suspected := s.crashes.detector.Progress(now, a.Request); suspected && progress > uint64(known) {
		s.clearRequest(now, a, "progress")
	}
}

// requestCompleted clears a request to which an endpoint has responded.
func (s *State) requestCompleted(now boottime.Instant, a *Attempt) {
	if a.Request != 0 {
		s.crashes.detector.Completed(now, a.Request, uint32(a.version))
	}
	if s.suspected(now, a.Request) {
		s.clearRequest(now, a, "completed")
	}
}

// clearRequest clears the request of an attempt of the ends at the software version that it runs at.
func (s *State) clearRequest(now boottime.Instant, a *Attempt, why string) {
	version := uint32(a.version)
	s.crashes.detector.ClearAt(now, a.Request, version, now)
	s.crashes.outbox.addCleared(crasher.Exoneration{Request: a.Request, Version: version, At: now})
	s.log(event.RequestCleared, "fingerprint", a.Request, "version", a.Version, "why", why)
}

// applyDecision restricts a placement to what may be done with its request, and returns a placement with a reason if the
// request must not run now.
func (s *State) applyDecision(now boottime.Instant, req PlacementRequest) (PlacementRequest, Placement) {
	shared, _ := s.decideShared(now, req.Shares, req.Service)
	own := shared
	if shared.Action == crasher.Run {
		own = s.decide(now, &req)
	}
	req, denied := restrict(req, shared, own)
	if denied.RetryAfter > 0 {
		denied.RetryAfter = s.jitterRetryAfter(denied.RetryAfter)
	}
	return req, denied
}

// peekDecision is applyDecision without effects: blocks that are due do not begin, and the retry-after is the mean.
func (s *State) peekDecision(now boottime.Instant, req PlacementRequest) (PlacementRequest, Placement) {
	var shared crasher.Decision
	if s.crashes.detector.KnowsAny(req.Shares) {
		shared, _ = s.crashes.detector.DecideShared(now, req.Shares, s.offer(now, req.Service))
	}
	own := shared
	if shared.Action == crasher.Run {
		own = s.crashes.detector.Decide(now, req.Request, s.offer(now, req.Service))
	}
	return restrict(req, shared, own)
}

// restrict restricts a placement by the decisions about what its request shares with others and about the request itself. A
// rejection has the mean retry-after.
func restrict(req PlacementRequest, shared, own crasher.Decision) (PlacementRequest, Placement) {
	req.avoid = shared.Avoid
	switch own.Action {
	case crasher.Blocked:
		return req, Placement{Reason: ReasonCrashesEndpoints}
	case crasher.Pending:
		return req, Placement{Reason: ReasonOnTrial, RetryAfter: trialRetryAfter, Pending: true}
	case crasher.Waiting:
		return req, Placement{Reason: ReasonOnTrial, RetryAfter: trialRetryAfter}
	case crasher.OnTrial:
		req.onTrial, req.avoid = true, append(shared.Avoid, own.Avoid...)
	}
	return req, Placement{}
}

// decide decides whether a request may run at the service's endpoints.
func (s *State) decide(now boottime.Instant, req *PlacementRequest) crasher.Decision {
	if !s.crashes.detector.Knows(req.Request) {
		return crasher.Decision{}
	}
	s.settleCrashes(now)
	return s.crashes.detector.Decide(now, req.Request, s.offer(now, req.Service))
}

func (s *State) offer(now boottime.Instant, service fleet.ServiceID) crasher.Offer {
	var o crasher.Offer
	for _, e := range s.services[service] {
		if s.usable(now, e) {
			o.Endpoints++
			o.Software = append(o.Software, e.software())
		}
	}
	return o
}

// beginTrial records and tells the other gateways that an attempt on trial begins.
func (s *State) beginTrial(now boottime.Instant, f crasher.Fingerprint, e *endpoint) {
	s.crashes.detector.NoteTrial(now, f, e.shortID())
	s.crashes.outbox.addTrial(f, e.shortID())
	s.log(event.RequestOnTrial, "fingerprint", f, "endpoint", e.ID, "load", e.inFlight)
	s.flushCrashes(now)
}

// chooseForTrial picks an endpoint for an attempt on trial. Requests that the same end broke off are kept apart: gateways agree
// on the order of the endpoints for them. A request without such others goes where few requests run.
func (s *State) chooseForTrial(now boottime.Instant, f crasher.Fingerprint, c *endpointClasses) *endpoint {
	rank, count, last := s.crashes.detector.TrialRank(now, f)
	if count <= 1 {
		return s.chooseIdle(now, f, c)
	}
	key := fleet.Weight(uint64(last.Endpoint), uint64(last.Incarnation))
	candidates := c.eligible()
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Compare(fleet.Weight(key, b.hash), fleet.Weight(key, a.hash))
	})
	return candidates[rank%len(candidates)].endpoint
}

// chooseIdle picks an endpoint without an attempt on trial, as far as there is one, of those with at most the median load, by
// rendezvous hashing over the request.
func (s *State) chooseIdle(now boottime.Instant, f crasher.Fingerprint, c *endpointClasses) *endpoint {
	onTrial := s.crashes.detector.TrialEndpoints(now)
	candidates := slices.DeleteFunc(c.eligible(), func(e *candidate) bool { return onTrial[e.shortID()] })
	if len(candidates) == 0 {
		candidates = c.eligible()
	}
	loads := make([]int, len(candidates))
	for i, e := range candidates {
		loads[i] = e.load
	}
	slices.Sort(loads)
	median := loads[len(loads)/2]
	var best *endpoint
	var bestWeight uint64
	for _, e := range candidates {
		weight := fleet.Weight(uint64(f), e.hash)
		if e.load <= median && (best == nil || weight > bestWeight) {
			best, bestWeight = e.endpoint, weight
		}
	}
	return best
}

// Unblock clears a request by an operator's word, here and at the other gateways. It reports whether anything is known
// against it; otherwise it has no effect.
func (s *State) Unblock(now boottime.Instant, f crasher.Fingerprint) bool {
	if !s.suspected(now, f) {
		return false
	}
	s.crashes.detector.Clear(now, f, now)
	s.crashes.outbox.addCleared(crasher.Exoneration{Request: f, At: now})
	s.log(event.RequestCleared, "fingerprint", f, "why", "lifted")
	return true
}

// CrashDecision returns the decision about a request with its evidence.
func (s *State) CrashDecision(now boottime.Instant, f crasher.Fingerprint, service fleet.ServiceID) crasher.Decision {
	return s.decide(now, &PlacementRequest{Request: f, Service: service})
}

// tickCrashes removes old evidence and sends news.
func (s *State) tickCrashes(now boottime.Instant) {
	if now.Sub(s.crashes.expiredAt) >= crashExpiryInterval {
		s.crashes.expiredAt = now
		s.crashes.detector.Expire(now)
	}
	s.checkReportedEnds(now)
	s.settleCrashes(now)
	s.flushCrashes(now)
	s.syncCrashes(now)
	s.askForEvidence(now)
}
