package control

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// loads is what peers have in flight at endpoints.
type loads struct {
	version uint64         // rises when what peers are told changes
	stale   bool           // a peer has told something new
	peers   map[uint32]int // requests of all live peers, by the endpoint's short form
}

// toldTime is for how long what an endpoint said of its load counts.
const toldTime = 500 * time.Millisecond

// Load is what an endpoint says of itself.
type Load struct {
	Running int
	Waiting int
}

// told is the Load that an endpoint told last.
type told struct {
	Load
	at boottime.Instant
}

// ToldLoad takes what an endpoint said of its load with an answer.
func (s *State) ToldLoad(now boottime.Instant, t *Ticket, l Load) { t.e.told = told{Load: l, at: now} }

// load returns the requests that the fleet has at an endpoint, as far as it is known:
// what gateways count, or what the endpoint itself said a moment ago if that is more.
func (s *State) load(now boottime.Instant, e *endpoint) int {
	if s.loads.stale || s.loads.peers == nil {
		s.loads.peers = s.mesh.InFlight(now)
		s.loads.stale = false
	}
	counted := e.inFlight + s.loads.peers[e.short()]
	if now.Sub(e.told.at) <= toldTime {
		return max(counted, e.told.Running+e.told.Waiting)
	}
	return counted
}

// unseen estimates what peers have sent to an endpoint since they last told: as much as
// this process has, in half of that time. A single request tells nothing.
func (s *State) unseen(now boottime.Instant, e *endpoint) int {
	recent := 0
	for _, at := range e.cold.sends {
		if now.Sub(at) <= s.mesh.Period() {
			recent++
		}
	}
	return max(recent-1, 0) * s.mesh.Live(now) / 2
}

// queues tells whether requests waited at an endpoint a moment ago.
func (s *State) queues(now boottime.Instant, e *endpoint) bool {
	return now.Sub(e.told.at) <= toldTime && e.told.Waiting > 0
}

// uncertainty returns how many requests may have reached each of a number of endpoints
// since the counts of peers were made: smaller differences of load mean nothing.
func (s *State) uncertainty(now boottime.Instant, service fleet.ServiceID, endpoints int) int {
	requests, _ := s.window(service).Counts(now)
	perSecond := float64(requests*s.fleetSize()) / s.opts.RetryWindow.Seconds()
	return int(perSecond * s.mesh.Period().Seconds() / float64(max(endpoints, 1)))
}

// ownInFlight is what peers are told.
func (s *State) ownInFlight() wire.InFlight {
	out := wire.InFlight{}
	for _, e := range s.endpoints {
		if e.inFlight > 0 {
			out[e.short()] = uint16(min(e.inFlight, math.MaxUint16))
		}
	}
	return out
}
