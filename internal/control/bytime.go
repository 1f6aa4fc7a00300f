package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// speedReportPeriod is how long after a report of a speed the endpoints of a service count as uneven.
	speedReportPeriod = 10 * time.Second
	// consideredByTime is the number of endpoints, from the first of the rendezvous order on, that a request with an
	// affinity is weighed for. Package cost considers as many.
	consideredByTime = 4
)

// uneven reports whether the endpoints of a service say how fast they work. Only then is a request placed by
// estimated time: without their speeds, the number of requests is as good a measure, and it is known sooner.
func (s *State) uneven(now boottime.Instant, service fleet.ServiceID) bool {
	l := s.serviceLoads[service]
	return l != nil && l.speedReportedAt != 0 && now.Sub(l.speedReportedAt) < speedReportPeriod
}

// noteSpeedReport records that an endpoint has reported its speed.
func (s *State) noteSpeedReport(now boottime.Instant, e *endpoint, percent int) {
	if percent != 0 {
		s.serviceLoadOf(e.Service).speedReportedAt = now
	}
}

// timesAt returns the estimated times of a request at a candidate with a position in its rendezvous order.
func (s *State) timesAt(now boottime.Instant, req *PlacementRequest, w *weighing, x *candidate, rank int) cost.Times {
	b := w.backlog.Endpoint(now, x.shortID())
	return w.cost.At(cost.Candidate{
		Rank:          rank,
		Local:         x.DataCentre == s.opts.Self.DataCentre,
		Speed:         b.Speed,
		SpeedAge:      b.SpeedAge,
		PendingRead:   b.PendingRead,
		Load:          x.load + x.unreported,
		Slots:         x.Capacity,
		MayHaveCached: req.Affinity != 0 && rank == 0 && now.Sub(x.incarnationKnownSince) >= cacheWarmupTime,
	})
}

// chooseByTime returns the candidate at which a request with an affinity is expected to do best, among the first ones of
// its rendezvous order within the load bound.
func (s *State) chooseByTime(now boottime.Instant, req *PlacementRequest, w *weighing) *candidate {
	var order [consideredByTime]*candidate
	n := 0
	for i := range w.candidates {
		if x := &w.candidates[i]; x.excluded == NotExcluded {
			n = insertByWeight(order[:], n, x)
		}
	}
	var times [consideredByTime]cost.Times
	var ranks [consideredByTime]int
	for i, x := range order[:n] {
		times[i], ranks[i] = s.timesAt(now, req, w, x, i), i
		x.times = &times[i]
	}
	chosen := cost.Choose(req.Goal, times[:n], ranks[:n], req.Affinity^uint64(req.Request))
	if chosen < 0 {
		return nil
	}
	return order[chosen]
}

// insertByWeight inserts a candidate into the n candidates with the highest weights, in descending order, and returns
// their number.
func insertByWeight(order []*candidate, n int, x *candidate) int {
	if n < len(order) {
		n++
	} else if order[n-1].weight >= x.weight {
		return n
	}
	i := n - 1
	for ; i > 0 && (order[i-1] == nil || order[i-1].weight < x.weight); i-- {
		order[i] = order[i-1]
	}
	order[i] = x
	return n
}

// workload returns the load of a candidate with the request, less one, in requests of usual length.
func (w *weighing) workload(now boottime.Instant, x *candidate) float64 {
	b := w.backlog.Endpoint(now, x.shortID())
	return float64(x.load+x.unreported+1)*cost.ExpectedSpeed(b.Speed, b.SpeedAge) - 1
}

// promptSent records the prefill time that a new attempt adds to its endpoint, if the endpoints of its service are uneven.
func (s *State) promptSent(now boottime.Instant, a *Attempt, w *weighing) {
	if !s.uneven(now, a.endpoint.Service) || a.cost.PromptTokens == 0 {
		return
	}
	read := w.cost.ReadUncached
	for i := range w.candidates {
		if x := &w.candidates[i]; x.endpoint == a.endpoint && x.times != nil {
			read = x.times.Read
		}
	}
	s.PromptSent(now, a, read)
}

// AttemptEstimate is what an attempt was estimated to cost when it was placed. Times are 0 where they are not known.
type AttemptEstimate struct {
	Read, Hold time.Duration // at an idle endpoint of usual speed: until the first event if nothing is cached, and for which a slot is held

	FirstEvent time.Duration    // until the first event at the chosen endpoint, of an attempt that was placed by estimated time
	RunnerUp   fleet.EndpointID // the fastest of the other endpoints that were compared; "": there is none
	RunnerUpAt time.Duration    // until the first event there
}

// estimateAt returns the estimate of an attempt at an endpoint.
func (w *weighing) estimateAt(e *endpoint) AttemptEstimate {
	a := AttemptEstimate{Read: w.cost.ReadUncached, Hold: w.cost.Hold}
	if w.rule != ruleAffinity {
		return a
	}
	for i := range w.candidates {
		switch x := &w.candidates[i]; {
		case x.times == nil:
		case x.endpoint == e:
			a.FirstEvent = x.times.Total
		case a.RunnerUp == "" || x.times.Total < a.RunnerUpAt:
			a.RunnerUp, a.RunnerUpAt = x.ID, x.times.Total
		}
	}
	return a
}

// learnCost learns from a complete response, and records how far off the estimate was.
func (s *State) learnCost(now boottime.Instant, a *Attempt) {
	if a.startedAt == 0 || a.cost.Service == "" {
		return
	}
	events := int(a.events.Load())
	if a.stream && events == 0 {
		return // an error, which tells nothing about the cost
	}
	relativeError, ok := s.costs.Observe(cost.Observation{
		Request:     a.cost,
		Cached:      a.cached,
		Speed:       float64(a.report.Speed) / percent,
		Waited:      a.report.Waiting > 0 || a.endpoint.Capacity > 0 && a.Load > a.endpoint.Capacity,
		PendingRead: a.pendingRead,
		First:       a.startedAt.Sub(a.sentAt),
		Total:       now.Sub(a.sentAt),
		Events:      events,
		Stream:      events > 0,
	})
	if ok {
		s.emit(EstimateError{Service: a.endpoint.Service, RelativeError: relativeError})
	}
}

// percent is the usual speed of an endpoint in its reports.
const percent = 100
