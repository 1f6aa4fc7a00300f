package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// comeBackWhenDown is when a caller should return for whom no endpoint is up: those
	// that are down are tried again within it.
	comeBackWhenDown = 700 * time.Millisecond
	// comeBackWhenFull is when a caller should return whom full endpoints refused.
	comeBackWhenFull = 250 * time.Millisecond
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

	e    *endpoint
	lost chan struct{}
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
	if len(c.able) == 0 {
		p := c.refusal()
		p.RetryAfter = s.spread(p.RetryAfter)
		for _, e := range c.dead {
			e.wanted = true
		}
		return p
	}
	e := s.choose(now, w, c)
	e.inFlight++
	e.cold.sent(now)
	s.loads.version++
	t := &Attempt{Endpoint: e.ID, Addr: e.Addr, Load: s.load(now, e), MeanLoad: c.mean(), Candidates: len(c.able), e: e, lost: make(chan struct{})}
	t.EndpointLost = t.lost
	t.CacheSourceAddr = s.fetchAt(now, w.Affinity, e)
	e.tickets[t] = true
	return Placement{Attempt: t}
}

// candidates are the endpoints of a service that a request may go to.
type candidates struct {
	able  []candidate // those that may take it now
	total int         // of their loads
	all   int         // endpoints of the service, whatever their state
	onAll int         // requests at all of them
	dead  []*endpoint // those that are down
	tried int
}

// candidate is an endpoint with the requests that the fleet has there.
type candidate struct {
	*endpoint
	load int
}

func (c *candidates) mean() float64 { return float64(c.total) / float64(max(len(c.able), 1)) }

func (c *candidates) refusal() Placement {
	if len(c.dead) > 0 && c.tried == 0 {
		return Placement{Reason: ReasonNoEndpoint, RetryAfter: comeBackWhenDown}
	}
	return Placement{Reason: ReasonNoEndpoint, RetryAfter: comeBackWhenFull}
}

// candidates prefers endpoints without recent failures, and takes those that are
// avoided for them only when there are no others.
func (s *State) candidates(now boottime.Instant, w PlacementRequest) candidates {
	var c candidates
	var avoided []candidate
	for _, e := range s.services[w.Service] {
		load := s.load(now, e)
		if e.listed {
			c.all++
			c.onAll += load
		}
		switch {
		case !s.usable(now, e):
		case slices.Contains(w.Tried, e.ID):
			c.tried++
		case e.health.down:
			c.dead = append(c.dead, e)
		case !s.coldRoom(now, e):
		case now.Before(e.health.avoidUntil):
			avoided = append(avoided, candidate{e, load})
		default:
			c.able = append(c.able, candidate{e, load})
		}
	}
	if len(c.able) == 0 {
		c.able = avoided
	}
	for _, e := range c.able {
		c.total += e.load
	}
	return c
}
