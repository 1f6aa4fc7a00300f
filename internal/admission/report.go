package admission

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OnReport handles a load report of an owned endpoint. It returns true if the report shows a later
// incarnation than the known one, which starts the cold-start ramp.
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
	soleOwner := s.soleOwnerSinceReport(now, e)
	if !soleOwner && !e.coversDroppedLeases(measured) {
		return false // the requests of other owners cannot be told from those of the dropped leases
	}
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
	s.updateForeign(e, r, measured, soleOwner)
	s.dropLostLeases(now, e, r, measured)
	s.admitQueued(now, e, out)
	s.publish(now, e)
	return cold
}

// OnPause must be called after this process was paused for longer than MaxUnnoticedPause.
// Leases that ended during the pause were still counted, so reports that were measured during
// it cannot be compared with the count and are ignored.
func (s *State) OnPause(now time.Time) { s.reportsValidFrom = now.Add(reportAgeTolerance) }

// soleOwnerSinceReport reports whether no other owner can have admitted requests since the last report was
// measured, or since a later handover: the votes that this router has not held without interruption are too
// few for another owner to use any part of the limit.
func (s *State) soleOwnerSinceReport(now time.Time, e *endpoint) bool {
	since := e.measured
	if e.handedOverAt.After(since) {
		since = e.handedOverAt
	}
	return !since.IsZero() && ownership.UsableFraction(1-s.owners.VoteShareSince(now, e.res, since)) <= roundingTolerance
}

// coversDroppedLeases reports whether a report was measured after the foreign load was last raised by
// dropped leases.
func (e *endpoint) coversDroppedLeases(measured time.Time) bool {
	return !measured.Before(e.foreignAddedAt.Add(reportAgeTolerance))
}

// updateForeign updates the foreign load from a report. The range of the foreign load is the reported
// load minus the range of the lease count around the measurement, minus the foreign requests whose
// end was received since. An end received within reportAgeTolerance of the measurement counts only for
// the lower bound, because the report may or may not include that request.
//
// foreignMin is set to the lower bound of that range. foreignMax rises immediately: to the lower bound if
// soleOwner is set, because leases of this router account for the rest of the range, and otherwise to the
// upper bound. It falls only if it exceeds the upper bound in foreignDropReports consecutive reports, and
// then by the smallest excess: a lease whose grant was lost in transit is counted, but its request runs
// only after the holder has repeated the lease request.
func (s *State) updateForeign(e *endpoint, r fleet.LoadReport, measured time.Time, soleOwner bool) {
	// An earlier report does not cover the load of the handover or of the dropped leases.
	if measured.Before(e.handedOverAt) || !e.coversDroppedLeases(measured) {
		return
	}
	e.handedOverAt = time.Time{}
	from, to := measured.Add(-reportAgeTolerance), measured.Add(reportAgeTolerance)
	load := r.Running + r.Queued
	low := load - e.history.peak(from, to) - e.formerEnded.countSince(measured)
	high := load - e.history.trough(from, to) - e.formerEnded.countSince(to)
	e.foreignMin = max(low, 0)
	if soleOwner {
		e.foreignMax = max(e.foreignMax, low)
	} else {
		e.foreignMax = max(e.foreignMax, high)
	}
	e.foreignMax -= e.foreignExcess.add(e.foreignMax-max(high, 0), foreignDropReports)
}

// dropLostLeases drops leases whose release was lost, for instance in a network partition. It drops
// the oldest leases, as many as the smallest excess of the lease count over the reported load in
// lostReleaseReports consecutive reports. Releases of old leases since the report are subtracted,
// because they may account for the excess.
func (s *State) dropLostLeases(now time.Time, e *endpoint, r fleet.LoadReport, measured time.Time) {
	from, to := measured.Add(-reportAgeTolerance), measured.Add(reportAgeTolerance)
	excess := e.history.trough(from, to) - r.Running - r.Queued
	for range e.lostLeases.add(excess, lostReleaseReports) - e.agedEnded.countSince(from) {
		s.dropOldest(now, e)
	}
}

// dropOldest drops the oldest lease if it is at least minLostLeaseAge old.
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

// initRamp starts the ramp of a newly owned endpoint at its first report, unless it reports its full
// capacity. The ramp starts at the highest of RampStart, its running requests and the limit that the
// former owner published for the same incarnation.
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

// endRamp ends the ramp of an endpoint that reports a reduced capacity. The reported capacity bounds
// its load from then on; a ramp in addition would refuse load that the endpoint can carry.
func (s *State) endRamp(e *endpoint) {
	ep := s.view.Endpoint(e.id)
	if ep != nil && e.report.Incarnation == e.inc && e.report.Capacity > 0 && e.report.Capacity < ep.Capacity {
		e.rampStartedAt = time.Time{}
	}
}

// observeIncarnation records the incarnation of an endpoint. A change from a known to a later
// incarnation starts the ramp; the result is whether that happened.
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

// OnPollFailed counts a failed poll of an owned endpoint. It returns true if the endpoint has just
// become unavailable.
func (s *State) OnPollFailed(id fleet.EndpointID) bool {
	e := s.endpoints[id]
	if e == nil {
		return false
	}
	e.failedPolls++
	return e.failedPolls == maxFailedPolls
}
