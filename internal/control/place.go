package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// shunBase is how long an endpoint is avoided after one failure; it doubles with each
// further one up to shunMax.
const (
	shunBase = 300 * time.Millisecond
	shunMax  = 3 * time.Second
)

// Placement names the endpoint for one attempt.
type Placement struct {
	Reason     Reason // set when there is none
	RetryAfter time.Duration
	Endpoint   fleet.EndpointID
	Addr       string
	Load       int // requests of this process there, with this one
}

// Place chooses an endpoint of a service for a request and counts it there until
// Ended. Endpoints in tried are left out.
func (s *State) Place(now boottime.Instant, service fleet.ServiceID, affinity uint64, tried []fleet.EndpointID) Placement {
	e := s.choose(now, service, affinity, tried)
	if e == nil {
		return Placement{Reason: ReasonNoEndpoint, RetryAfter: comeBackLater}
	}
	e.inFlight++
	return Placement{Endpoint: e.ID, Addr: e.Addr, Load: e.inFlight}
}

func (s *State) choose(now boottime.Instant, service fleet.ServiceID, affinity uint64, tried []fleet.EndpointID) *endpoint {
	var cands []*endpoint
	total := 0
	for _, e := range s.services[service] {
		if !s.usable(e) || contains(tried, e.ID) {
			continue
		}
		if now.Before(e.shunUntil) {
			continue
		}
		cands = append(cands, e)
		total += e.inFlight
	}
	if len(cands) == 0 {
		return nil
	}
	if affinity == 0 {
		return s.leastLoaded(cands)
	}
	bound := s.opts.LoadMultiple*float64(total)/float64(len(cands)) + s.opts.LoadSlack
	var best *endpoint
	var bestWeight uint64
	for _, e := range cands {
		if float64(e.inFlight+1) > bound {
			continue
		}
		if w := fleet.Weight(affinity, e.hash); best == nil || w > bestWeight {
			best, bestWeight = e, w
		}
	}
	if best == nil {
		return s.leastLoaded(cands)
	}
	return best
}

// leastLoaded prefers the own data centre among equals.
func (s *State) leastLoaded(cands []*endpoint) *endpoint {
	var best *endpoint
	start := s.rng.IntN(len(cands))
	for i := range cands {
		e := cands[(start+i)%len(cands)]
		if best == nil || s.lighter(e, best) {
			best = e
		}
	}
	return best
}

func (s *State) lighter(a, b *endpoint) bool {
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	return a.DataCentre == s.opts.DataCentre && b.DataCentre != s.opts.DataCentre
}

func contains(ids []fleet.EndpointID, id fleet.EndpointID) bool {
	for _, t := range ids {
		if t == id {
			return true
		}
	}
	return false
}

// Result is what became of an attempt.
type Result uint8

// The results of an attempt.
const (
	Answered    Result = iota + 1 // a whole answer came
	Unreachable                   // no connection could be made
	Broken                        // the connection broke, or what came is no answer
	Full                          // the endpoint refused the request
	Misplaced                     // another endpoint has the address
	Cancelled                     // the caller left, or the time was over
)

// Ended takes the result of the attempt that Place counted.
func (s *State) Ended(now boottime.Instant, id fleet.EndpointID, r Result) {
	e := s.endpoints[id]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	switch r {
	case Answered:
		e.failures = 0
	case Unreachable, Broken, Full:
		e.shunUntil = now.Add(min(shunBase<<min(e.failures, 10), shunMax))
		e.failures++
	case Misplaced:
		e.misplaced = true
	}
}
