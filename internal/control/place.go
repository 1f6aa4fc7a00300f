package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// downRetryAfter is the mean retry-after if endpoints are down and none is eligible.
	// Endpoints that are down are probed again within it.
	downRetryAfter = 700 * time.Millisecond
	// refusedRetryAfter is the mean retry-after in all other cases, such as endpoints that
	// refused the request for lack of capacity.
	refusedRetryAfter = 250 * time.Millisecond
)

// Attempt is one attempt of a request at an endpoint. It counts as in flight there until
// AttemptEnded.
type Attempt struct {
	Endpoint            fleet.EndpointID
	Addr                string
	CacheSourceAddr     string          // address of an endpoint that may have more of the prompt cached; "" for none
	Load                int             // the fleet's requests at the endpoint, including this one
	MeanLoad            float64         // mean load of the candidates
	EligibleCount       int             // number of endpoints that were eligible
	EndpointUnreachable <-chan struct{} // closed when a connection to the endpoint gets no reply

	endpoint     *endpoint
	endpointLost chan struct{}
}

// Placement is the result of Place: an attempt, or the reason why there is none.
type Placement struct {
	Reason     Reason
	RetryAfter time.Duration
	Attempt    *Attempt
}

// PlacementRequest holds the properties of a request that Place evaluates.
type PlacementRequest struct {
	Service  fleet.ServiceID
	Affinity uint64             // hash of the prompt's shared prefix; 0: none
	Tried    []fleet.EndpointID // endpoints to leave out
}

// Place chooses an endpoint for a request and counts the attempt there until AttemptEnded.
func (s *State) Place(now boottime.Instant, req PlacementRequest) Placement {
	c := s.candidates(now, req)
	if len(c.eligible) == 0 {
		p := c.refusal()
		p.RetryAfter = s.jitterRetryAfter(p.RetryAfter)
		for _, e := range c.down {
			e.probeWanted = true
		}
		return p
	}
	e := s.choose(now, req, c)
	e.inFlight++
	e.coldStart.recordSend(now)
	s.peerLoads.statusVersion++
	attempt := &Attempt{Endpoint: e.ID, Addr: e.Addr, Load: s.load(now, e), MeanLoad: c.meanLoad(), EligibleCount: len(c.eligible), endpoint: e, endpointLost: make(chan struct{})}
	attempt.EndpointUnreachable = attempt.endpointLost
	attempt.CacheSourceAddr = s.cacheSource(now, req.Affinity, e)
	e.attempts[attempt] = true
	return Placement{Attempt: attempt}
}

// candidates classifies the endpoints of a service for one request.
type candidates struct {
	eligible     []candidate // may receive the request now
	eligibleLoad int         // sum of their loads
	listedCount  int         // listed endpoints of the service, in any state
	listedLoad   int         // sum of the loads of the listed endpoints
	down         []*endpoint // usable but down
	triedCount   int
}

// candidate is an endpoint with its estimated load.
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

// candidates classifies the endpoints of a service. Endpoints that are avoided for recent
// failures or refusals are eligible only if there are no others.
func (s *State) candidates(now boottime.Instant, req PlacementRequest) candidates {
	var c candidates
	var avoided []candidate
	for _, e := range s.services[req.Service] {
		load := s.load(now, e)
		if e.listed {
			c.listedCount++
			c.listedLoad += load
		}
		switch {
		case !s.usable(now, e):
		case slices.Contains(req.Tried, e.ID):
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
