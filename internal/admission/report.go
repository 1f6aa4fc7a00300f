package admission

import (
	"math"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// OnReport takes a load report of an owned endpoint. It tells whether the endpoint
// was found cold.
func (s *State) OnReport(now time.Time, r fleet.LoadReport, out *wire.Outbox) bool {
	e := s.endpoints[r.Endpoint]
	if e == nil {
		return false
	}
	e.misses = 0
	measured := now.Add(-r.Age)
	if measured.Before(e.measured) || measured.Before(s.resumed) {
		return false
	}
	first := e.measured.IsZero()
	e.measured = measured
	e.report = r
	e.doubt = false
	cold := false
	if first && e.handed.IsZero() {
		s.firstSight(now, e)
	} else {
		cold = s.observe(now, e, r.Incarnation)
	}
	s.endRamp(e)
	s.setForeign(e, r, measured)
	s.dropLost(now, e, r, measured)
	s.pump(now, e, out)
	s.publish(now, e)
	return cold
}

// OnPause says that this process was paused until now, for longer than PauseSlack. The
// leases that ended meanwhile still counted, so that reports of that time cannot be
// compared with the count.
func (s *State) OnPause(now time.Time) { s.resumed = now.Add(historySlack) }

// setForeign takes the load beyond this router's leases from a report, as the pool is
// told and as admission reckons with, which must not be too low. The count of
// leases at the time of the report is known as a range only, and an ending of a foreign
// request that was heard shortly after the report may be part of it or not. What
// admission reckons with rises no more than that demands, and falls only after
// several reports allow it: a lease whose grant was lost on the way counts, but starts
// when its holder asks again. A report that was measured before the former owner handed
// over knows less than that owner did, and one that was measured before leases came to
// count as foreign says nothing about these.
func (s *State) setForeign(e *endpoint, r fleet.LoadReport, measured time.Time) {
	if measured.Before(e.handed) || measured.Before(e.orphaned.Add(historySlack)) {
		return
	}
	e.handed = time.Time{}
	from, to := measured.Add(-historySlack), measured.Add(historySlack)
	load := r.Running + r.Queued
	least := load - e.history.peak(from, to) - e.former.since(measured)
	most := load - e.history.trough(from, to) - e.former.since(to)
	e.likely = max(least, 0)
	e.foreign = max(e.foreign, least)
	e.foreign -= e.excess.note(e.foreign-max(most, 0), fallReports)
}

// dropLost forgets leases whose release was lost, as happens while the network is cut:
// so many of the oldest as the count exceeded the load in each of several reports. The
// releases that came since the report may be those that were late.
func (s *State) dropLost(now time.Time, e *endpoint, r fleet.LoadReport, measured time.Time) {
	from, to := measured.Add(-historySlack), measured.Add(historySlack)
	extra := e.history.trough(from, to) - r.Running - r.Queued
	for range e.lost.note(extra, lostReports) - e.aged.since(from) {
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
	if at.IsZero() || now.Sub(at) < lostAge {
		return
	}
	delete(e.leases, oldest)
	e.history.add(now, len(e.leases))
	s.stats.Lost++
}

// firstSight decides whether an endpoint is cold that this router has just begun to own.
func (s *State) firstSight(now time.Time, e *endpoint) {
	e.inc = e.report.Incarnation
	ep := s.view.Endpoint(e.id)
	if ep != nil && ep.Capacity > 0 && e.report.Capacity >= ep.Capacity {
		return // it says itself that it bears the full load
	}
	e.coldSince = now
	e.rampBase = max(s.opts.RampStart, e.report.Running)
	known, ok := s.pool.Known(now, e.hash)
	if ok && known.Inc == uint32(e.inc) && known.Limit < math.MaxInt32 {
		e.rampBase = max(e.rampBase, int(known.Limit))
	}
}

// endRamp ends the ramp of an endpoint that says itself how far it is from its capacity:
// what it reports bounds its load from then on. A ramp beside that would leave to others
// what the endpoint can bear.
func (s *State) endRamp(e *endpoint) {
	ep := s.view.Endpoint(e.id)
	if ep != nil && e.report.Incarnation == e.inc && e.report.Capacity > 0 && e.report.Capacity < ep.Capacity {
		e.coldSince = time.Time{}
	}
}

// observe compares the incarnation that an endpoint showed with the known one. A new
// one starts the ramp. It tells whether it did.
func (s *State) observe(now time.Time, e *endpoint, inc fleet.Incarnation) bool {
	if inc == 0 || inc <= e.inc {
		return false
	}
	known := e.inc != 0
	e.inc = inc
	if !known {
		return false
	}
	e.coldSince = now
	e.rampBase = s.opts.RampStart
	e.breaker.succeeded()
	return true
}

// OnPollFailed counts a failed poll of an owned endpoint. It tells whether the endpoint
// counts as silent from now on.
func (s *State) OnPollFailed(id fleet.EndpointID) bool {
	e := s.endpoints[id]
	if e == nil {
		return false
	}
	e.misses++
	return e.misses == silentPolls
}
