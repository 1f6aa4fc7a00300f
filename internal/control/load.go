package control

import (
	"math"
	"slices"
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

// LoadReport is what an endpoint says of itself.
type LoadReport struct {
	Running int
	Waiting int
}

// told is the Load that an endpoint told last.
type told struct {
	LoadReport
	at boottime.Instant
}

// ReportLoad takes what an endpoint said of its load with an answer.
func (s *State) ReportLoad(now boottime.Instant, t *Attempt, l LoadReport) {
	t.e.told = told{LoadReport: l, at: now}
}

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
		if now.Sub(at) <= s.mesh.StatusInterval() {
			recent++
		}
	}
	if recent <= 1 {
		return 0
	}
	return (recent - 1) * s.mesh.LivePeers(now) / 2
}

// arrivals returns how many requests for a service the fleet gets in the mean age of the
// counts of peers.
func (s *State) arrivals(now boottime.Instant, service fleet.ServiceID) float64 {
	requests, _ := s.window(service).Counts(now)
	perSecond := float64(requests*s.fleetSize()) / s.opts.RetryWindow.Seconds()
	return perSecond * s.mesh.StatusInterval().Seconds() / 2
}

// pour returns how much of an amount each of some loads gets when it is poured over them
// so that the lowest fill up to a common level.
func pour(loads []float64, amount float64) []float64 {
	sorted := slices.Clone(loads)
	slices.Sort(sorted)
	sum, level := 0.0, 0.0
	for n, l := range sorted {
		sum += l
		level = (sum + amount) / float64(n+1)
		if n+1 == len(sorted) || level <= sorted[n+1] {
			break
		}
	}
	shares := make([]float64, len(loads))
	for i, l := range loads {
		shares[i] = max(level-l, 0)
	}
	return shares
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
