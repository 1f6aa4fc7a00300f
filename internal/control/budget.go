package control

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/retry"
)

// retryBudgetFraction is the fraction of the fleet's retry budget that is used. Requests in
// transit make the counts at the endpoints differ from those at the gateways; the unused rest keeps
// the retries that endpoints receive within the budget.
const retryBudgetFraction = 0.85

// retryWindow returns the sliding-window counts of requests and retries of a service.
func (s *State) retryWindow(service fleet.ServiceID) *retry.Window {
	w := s.retryWindows[service]
	if w == nil {
		w = retry.NewWindow(s.opts.RetryWindow)
		s.retryWindows[service] = w
	}
	return w
}

const (
	// retryResultWeight is the weight of the newest result in the exponentially weighted moving
	// average of the retry success rate.
	retryResultWeight = 0.1
	// initialRetrySuccessRate is the success rate that is assumed before the first retry.
	initialRetrySuccessRate = 0.5
	// minRetrySuccessRate is the success rate below which failures are attributed to the
	// requests and not to the endpoints: retries would cost capacity and budget without effect.
	minRetrySuccessRate = 0.15
	// lowSuccessRetryProbability is the probability of a retry below minRetrySuccessRate. These
	// retries detect when the success rate rises again.
	lowSuccessRetryProbability = 0.05
)

// AllowRetry reports whether a request whose last attempt ended with the given result may be
// sent to another endpoint. If so, it counts the retry against the budget. If retries after failures
// of endpoints rarely succeed, most of them are not allowed.
func (s *State) AllowRetry(now boottime.Instant, service fleet.ServiceID, lastResult AttemptResult) bool {
	if lastResult == EndpointFailed && s.retrySuccessRate(service) < minRetrySuccessRate && s.rng.Float64() >= lowSuccessRetryProbability {
		return false
	}
	ratio, extra := s.localRetryBudget()
	return s.retryWindow(service).AllowRetry(now, ratio, extra)
}

// PlaceRetry is Place for a request whose last attempt ended with the given result. The retry is counted against the
// budget if an endpoint is eligible; ReasonRetryBudget means that the budget does not allow it.
func (s *State) PlaceRetry(now boottime.Instant, req PlacementRequest, lastResult AttemptResult) Placement {
	resolved := s.atStreamVersion(now, req)
	if resolved.streamUnknown() {
		return Placement{Reason: ReasonOriginUnknown}
	}
	resolved, denied := s.applyDecision(now, resolved)
	if denied.Reason != ReasonNone {
		return denied
	}
	if s.anyEligible(now, resolved) && !s.AllowRetry(now, req.Service, lastResult) {
		return Placement{Reason: ReasonRetryBudget}
	}
	return s.Place(now, req)
}

// localRetryBudget returns the budget of this process: the ratio of retries to requests, and
// its part of the fleet's constant allowance beyond that ratio.
func (s *State) localRetryBudget() (ratio, extra float64) {
	return retryBudgetFraction * s.opts.RetryRatio, retryBudgetFraction * s.opts.RetryExtra / float64(s.fleetSize())
}

// retriesAllowed returns the number of retries that the budget allows for a number of requests.
func (s *State) retriesAllowed(requests int) float64 {
	ratio, extra := s.localRetryBudget()
	return ratio*float64(requests) + extra
}

// RecordRetryResult records whether a retry after an endpoint's own failure succeeded.
func (s *State) RecordRetryResult(service fleet.ServiceID, succeeded bool) {
	rate := s.retrySuccessRate(service) * (1 - retryResultWeight)
	if succeeded {
		rate += retryResultWeight
	}
	s.retrySuccessRates[service] = rate
}

func (s *State) retrySuccessRate(service fleet.ServiceID) float64 {
	if rate, ok := s.retrySuccessRates[service]; ok {
		return rate
	}
	return initialRetrySuccessRate
}
