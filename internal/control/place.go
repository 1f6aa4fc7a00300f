package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// downRetryAfter is when a caller should return for whom no endpoint is up: those
	// that are down are tried again within it.
	downRetryAfter = 700 * time.Millisecond
	// refusedRetryAfter is when a caller should return whom full endpoints refused.
	refusedRetryAfter = 250 * time.Millisecond
)

// Attempt counts one attempt at its endpoint until Ended.
type Attempt struct {
	Endpoint        fleet.EndpointID
	Addr            string
	CacheSourceAddr string          // address of an endpoint that may hold more of the prompt, "" for none
	Load            int             // requests that the fleet has there, with this one
	MeanLoad        float64         // of the endpoints that could be chosen
	Candidates      int             // how many could be chosen
	EndpointLost    <-chan struct{} // closed when the endpoint is found to be gone without a word

	endpoint     *endpoint
	endpointLost chan struct{}
}

// Placement names the endpoint for one attempt, or says why there is none.
type Placement struct {
	Reason     Reason
	RetryAfter time.Duration
	Attempt    *Attempt
}

// PlacementRequest is what Place needs of a request.
type PlacementRequest struct {
	Service  fleet.ServiceID
	Affinity uint64             // hash of the shared parts of the prompt, 0: none
	Tried    []fleet.EndpointID // left out
}

// Place chooses an endpoint for a request and counts the request there until Ended.
func (s *State) Place(now boottime.Instant, w PlacementRequest) Placement {
	c := s.candidates(now, w)
	if len(c.eligible) == 0 {
		p := c.refusal()
		p.RetryAfter = s.jitterRetryAfter(p.RetryAfter)
		for _, e := range c.down {
			e.probeWanted = true
		}
		return p
	}
	e := s.choose(now, w, c)
	e.inFlight++
	e.coldStart.recordSend(now)
	s.peerLoads.statusVersion++
	t := &Attempt{Endpoint: e.ID, Addr: e.Addr, Load: s.load(now, e), MeanLoad: c.meanLoad(), Candidates: len(c.eligible), endpoint: e, endpointLost: make(chan struct{})}
	t.EndpointLost = t.endpointLost
	t.CacheSourceAddr = s.cacheSource(now, w.Affinity, e)
	e.attempts[t] = true
	return Placement{Attempt: t}
}

// candidates are the endpoints of a service that a request may go to.
type candidates struct {
	eligible     []candidate // those that may take it now
	eligibleLoad int         // of their loads
	listedCount  int         // endpoints of the service, whatever their state
	listedLoad   int         // requests at all of them
	down         []*endpoint // those that are down
	triedCount   int
}

// candidate is an endpoint with the requests that the fleet has there.
type candidate struct {
	*endpoint
	load int
}

func (c *candidates) meanLoad() float64 {
	return float64(c.eligibleLoad) / float64(max(len(c.eligible), 1))
}

func (c *candidates) refusal() Placement {
	if len(c.down) > 0 && c.triedCount == 0 {
		return Placement{Reason: ReasonNoEndpoint, RetryAfter: downRetryAfter}
	}
	return Placement{Reason: ReasonNoEndpoint, RetryAfter: refusedRetryAfter}
}

// candidates prefers endpoints without recent failures, and takes those that are
// avoided for them only when there are no others.
func (s *State) candidates(now boottime.Instant, w PlacementRequest) candidates {
	var c candidates
	var avoided []candidate
	for _, e := range s.services[w.Service] {
		load := s.load(now, e)
		if e.listed {
			c.listedCount++
			c.listedLoad += load
		}
		switch {
		case !s.usable(now, e):
		case slices.Contains(w.Tried, e.ID):
			c.triedCount++
		case e.health.down:
			c.down = append(c.down, e)
		case !s.admitsColdSend(now, e):
		case now.Before(e.health.avoidUntil):
			avoided = append(avoided, candidate{e, load})
		default:
			c.eligible = append(c.eligible, candidate{e, load})
		}
	}
	if len(c.eligible) == 0 {
		c.eligible = avoided
	}
	for _, e := range c.eligible {
		c.eligibleLoad += e.load
	}
	return c
}
