package admission

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OnReport handles a load report of an owned endpoint. It returns true when the report shows a
// new incarnation, which starts the cold-start ramp.
func (s *State) OnReport(now time.Time, r fleet.LoadReport, out *wire.Outbox) bool {
	e := s.endpoints[r.Endpoint]
	if e == nil {
		return false
	}
	e.failedPolls = 0
	measured := now.Add(-r.Age)
	if measured.Before(e.measured) || measured.Before(s.reportsValidFrom) {
		return false
	}
	first := e.measured.IsZero()
	e.measured = measured
	e.report = r
	e.restartSuspected = false
	cold := false
	if first && e.handedOverAt.IsZero() {
		s.initRamp(now, e)
	} else {
		cold = s.observeIncarnation(now, e, r.Incarnation)
	}
	s.endRamp(e)
	s.updateForeign(e, r, measured)
	s.dropLostLeases(now, e, r, measured)
	s.admitQueued(now, e, out)
	s.publish(now, e)
	return cold
}

// OnPause must be called after this process was paused for longer than MaxUnnoticedPause.
// Leases that ended during the pause were still counted, so reports that were measured during
// it cannot be compared with the count and are ignored.
func (s *State) OnPause(now time.Time) { s.reportsValidFrom = now.Add(reportAgeTolerance) }

// updateForeign derives the range of the foreign load from a report: foreignLow, which is
// sent to the pool, and foreign, which admission uses and which must not be too low. The lease
// count at the time of the report is known only as a range, and a report may or may not include
// a foreign request whose end was received shortly after it. foreign rises only to the lower
// bound that the report proves, and falls only after several reports allow it, because a lease
// whose grant was lost in transit is counted but runs only once its holder repeats the request.
// Reports that were measured before the handover, or before leases were turned into foreign
// load, are ignored, because they do not cover that load.
func (s *State) updateForeign(e *endpoint, r fleet.LoadReport, measured time.Time) {
	if measured.Before(e.handedOverAt) || measured.Before(e.orphanedAt.Add(reportAgeTolerance)) {
		return
	}
	e.handedOverAt = time.Time{}
	from, to := measured.Add(-reportAgeTolerance), measured.Add(reportAgeTolerance)
	load := r.Running + r.Queued
	least := load - e.history.peak(from, to) - e.formerEnded.countSince(measured)
	most := load - e.history.trough(from, to) - e.formerEnded.countSince(to)
	e.foreignLow = max(least, 0)
	e.foreign = max(e.foreign, least)
	e.foreign -= e.foreignExcess.note(e.foreign-max(most, 0), foreignDropReports)
}

// dropLostLeases drops leases whose release was lost, for instance in a network partition: as
// many of the oldest ones as the count exceeded the load in each of several reports. Releases
// of old leases since the report are subtracted, because they may account for the excess.
func (s *State) dropLostLeases(now time.Time, e *endpoint, r fleet.LoadReport, measured time.Time) {
	from, to := measured.Add(-reportAgeTolerance), measured.Add(reportAgeTolerance)
	extra := e.history.trough(from, to) - r.Running - r.Queued
	for range e.lostLeases.note(extra, lostReleaseReports) - e.agedEnded.countSince(from) {
		s.dropOldest(now, e)
	}
}

func (s *State) dropOldest(now time.Time, e *endpoint) {
	var oldest leaseKey
	var at time.Time
	for k, l := range e.leases {
		if at.IsZero() || l.granted.Before(at) || (l.granted.Equal(at) && k.before(oldest)) {
			oldest, at = k, l.granted
		}
	}
	if at.IsZero() || now.Sub(at) < minLostLeaseAge {
		return
	}
	delete(e.leases, oldest)
	e.history.add(now, len(e.leases))
	s.stats.Lost++
}

// initRamp decides on the first report of a newly owned endpoint whether it is cold. The ramp of
// a cold one starts at its running requests or at the limit that the former owner published.
func (s *State) initRamp(now time.Time, e *endpoint) {
	e.inc = e.report.Incarnation
	ep := s.view.Endpoint(e.id)
	if ep != nil && ep.Capacity > 0 && e.report.Capacity >= ep.Capacity {
		return // the endpoint reports its full capacity
	}
	e.rampStartedAt = now
	e.rampBase = max(s.opts.RampStart, e.report.Running)
	known, ok := s.pool.Known(now, e.hash)
	if ok && known.IncarnationLow == uint32(e.inc) && known.Limit < math.MaxInt32 {
		e.rampBase = max(e.rampBase, int(known.Limit))
	}
}

// endRamp ends the ramp of an endpoint that reports a reduced capacity. The reported capacity
// bounds its load from then on; a ramp in addition would shift load to other endpoints
// that this one can carry.
func (s *State) endRamp(e *endpoint) {
	ep := s.view.Endpoint(e.id)
	if ep != nil && e.report.Incarnation == e.inc && e.report.Capacity > 0 && e.report.Capacity < ep.Capacity {
		e.rampStartedAt = time.Time{}
	}
}

// observeIncarnation updates the incarnation of an endpoint. A change from a known to a later
// incarnation starts the ramp; it returns whether that happened.
func (s *State) observeIncarnation(now time.Time, e *endpoint, inc fleet.Incarnation) bool {
	if inc == 0 || inc <= e.inc {
		return false
	}
	known := e.inc != 0
	e.inc = inc
	if !known {
		return false
	}
	e.rampStartedAt = now
	e.rampBase = s.opts.RampStart
	e.breaker.succeeded()
	return true
}

// OnPollFailed counts a failed poll of an owned endpoint. It returns true when the endpoint
// has just become unavailable.
func (s *State) OnPollFailed(id fleet.EndpointID) bool {
	e := s.endpoints[id]
	if e == nil {
		return false
	}
	e.failedPolls++
	return e.failedPolls == maxFailedPolls
}
