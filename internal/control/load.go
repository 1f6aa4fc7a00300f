package control

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// peerLoads holds the version of this process's Status and the in-flight requests that peers report.
type peerLoads struct {
	statusVersion uint64         // version of this process's own Status; incremented when its content changes
	stale         bool           // a peer's status has arrived since byEndpoint was computed
	byEndpoint    map[uint32]int // requests of all live peers, by the endpoint's short ID
}

// loadReportTTL is how long an endpoint's own load report is used.
const loadReportTTL = 500 * time.Millisecond

// maxReportedLoad is the largest number of running or waiting requests that is believed of an endpoint; a report of more has
// none.
const maxReportedLoad = 10_000

// LoadReport is the number of running and waiting requests, and the speed, that an endpoint reports with its
// responses.
type LoadReport struct {
	Running int
	Waiting int
	Speed   int // how long work takes there, in percent of the usual time, 0: not reported
}

// reportedLoad is the latest LoadReport of an endpoint.
type reportedLoad struct {
	LoadReport
	at boottime.Instant
}

// ReportLoad records the load and the speed that an endpoint reported with a response.
func (s *State) ReportLoad(now boottime.Instant, a *Attempt, report LoadReport) {
	if report.Running > maxReportedLoad || report.Waiting > maxReportedLoad {
		report.Running, report.Waiting = 0, 0
	}
	if a.report.at == 0 {
		a.report = reportedLoad{LoadReport: report, at: now}
	}
	a.endpoint.reported = reportedLoad{LoadReport: report, at: now}
	s.noteSpeedReport(now, a.endpoint, report.Speed)
	s.reportSpeed(now, a.endpoint, report.Speed)
}

// load returns the estimated number of the fleet's requests at an endpoint: the sum of the
// gateways' counts, or the endpoint's own recent report if that is higher.
func (s *State) load(now boottime.Instant, e *endpoint) int {
	return e.loadAt(now, s.peerCounts(now))
}

// peerCounts returns the requests of all live peers, by the endpoint's short ID. The sums are kept until the next Status of a
// peer arrives.
func (s *State) peerCounts(now boottime.Instant) map[uint32]int {
	if s.peerLoads.stale || s.peerLoads.byEndpoint == nil {
		s.peerLoads.byEndpoint = s.mesh.InFlight(now)
		s.peerLoads.stale = false
	}
	return s.peerLoads.byEndpoint
}

// peekPeerCounts is peerCounts without effects.
func (s *State) peekPeerCounts(now boottime.Instant) map[uint32]int {
	if s.peerLoads.stale || s.peerLoads.byEndpoint == nil {
		return s.mesh.InFlight(now)
	}
	return s.peerLoads.byEndpoint
}

// loadAt is State.load with the requests of the peers.
func (e *endpoint) loadAt(now boottime.Instant, peerCounts map[uint32]int) int {
	counted := e.inFlight + peerCounts[e.shortID()]
	if now.Sub(e.reported.at) <= loadReportTTL {
		return max(counted, e.reported.Running+e.reported.Waiting)
	}
	return counted
}

// unreportedLoad estimates the requests that peers have sent to an endpoint since their last Status.
// It assumes that each peer sends as much as this process, for the mean age of its counts. A
// single send is no basis for an estimate and gives 0. Sends are recorded for coldSendWindow only, which
// is longer than twice that age in a fleet of any size with aggregators.
func (s *State) unreportedLoad(now boottime.Instant, e *endpoint) int {
	recent := 0
	for _, at := range e.coldStart.recentSends {
		if now.Sub(at) <= 2*s.mesh.LoadAge() {
			recent++
		}
	}
	if recent <= 1 {
		return 0
	}
	return (recent - 1) * s.mesh.LivePeers(now) / 2
}

// expectedArrivals returns how many requests for a service the fleet is expected to receive within
// the mean age of the peers' counts. It assumes that each gateway
// receives as many as this process.
func (s *State) expectedArrivals(now boottime.Instant, service fleet.ServiceID) float64 {
	requests := 0
	if w := s.retryWindows[service]; w != nil {
		requests, _ = w.Counts(now)
	}
	perSecond := float64(requests*s.fleetSize()) / s.opts.RetryWindow.Seconds()
	return perSecond * s.mesh.LoadAge().Seconds()
}

// waterFill distributes an amount over loads so that the lowest ones rise to a common level,
// and returns the share of each.
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

// ownInFlight returns the in-flight requests of this process by endpoint, as sent to peers.
func (s *State) ownInFlight() wire.Counts {
	out := wire.Counts{}
	for _, e := range s.endpoints {
		if e.inFlight > 0 {
			out[e.shortID()] = uint16(min(e.inFlight, math.MaxUint16))
		}
	}
	return out
}
