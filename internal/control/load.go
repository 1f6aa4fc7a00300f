package control

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// peerLoads is what peers have in flight at endpoints.
type peerLoads struct {
	statusVersion uint64         // rises when what peers are told changes
	stale         bool           // a peer has told something new
	byEndpoint    map[uint32]int // requests of all live peers, by the endpoint's short form
}

// loadReportTTL is for how long what an endpoint said of its load counts.
const loadReportTTL = 500 * time.Millisecond

// LoadReport is what an endpoint says of itself.
type LoadReport struct {
	Running int
	Waiting int
}

// reportedLoad is the Load that an endpoint told last.
type reportedLoad struct {
	LoadReport
	at boottime.Instant
}

// ReportLoad takes what an endpoint said of its load with an answer.
func (s *State) ReportLoad(now boottime.Instant, t *Attempt, l LoadReport) {
	t.endpoint.reported = reportedLoad{LoadReport: l, at: now}
}

// load returns the requests that the fleet has at an endpoint, as far as it is known:
// what gateways count, or what the endpoint itself said a moment ago if that is more.
func (s *State) load(now boottime.Instant, e *endpoint) int {
	if s.peerLoads.stale || s.peerLoads.byEndpoint == nil {
		s.peerLoads.byEndpoint = s.mesh.InFlight(now)
		s.peerLoads.stale = false
	}
	counted := e.inFlight + s.peerLoads.byEndpoint[e.shortID()]
	if now.Sub(e.reported.at) <= loadReportTTL {
		return max(counted, e.reported.Running+e.reported.Waiting)
	}
	return counted
}

// unreportedLoad estimates what peers have sent to an endpoint since they last told: as much as
// this process has, in half of that time. A single request tells nothing.
func (s *State) unreportedLoad(now boottime.Instant, e *endpoint) int {
	recent := 0
	for _, at := range e.coldStart.sends {
		if now.Sub(at) <= s.mesh.StatusInterval() {
			recent++
		}
	}
	if recent <= 1 {
		return 0
	}
	return (recent - 1) * s.mesh.LivePeers(now) / 2
}

// expectedArrivals returns how many requests for a service the fleet gets in the mean age of the
// counts of peers.
func (s *State) expectedArrivals(now boottime.Instant, service fleet.ServiceID) float64 {
	requests, _ := s.retryWindow(service).Counts(now)
	perSecond := float64(requests*s.fleetSize()) / s.opts.RetryWindow.Seconds()
	return perSecond * s.mesh.StatusInterval().Seconds() / 2
}

// waterFill returns how much of an amount each of some loads gets when it is poured over them
// so that the lowest fill up to a common level.
func waterFill(loads []float64, amount float64) []float64 {
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
			out[e.shortID()] = uint16(min(e.inFlight, math.MaxUint16))
		}
	}
	return out
}
