package control

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/retry"
)

// retryBudgetMargin is the part of the fleet's retry budget that is used: counts at the
// endpoints and here differ by what is on its way.
const retryBudgetMargin = 0.85

func (s *State) retryWindow(service fleet.ServiceID) *retry.Window {
	w := s.retries[service]
	if w == nil {
		w = retry.NewWindow(s.opts.RetryWindow)
		s.retries[service] = w
	}
	return w
}

const (
	// retryResultWeight is the weight of the newest retry in the share of those that helped.
	retryResultWeight = 0.1
	// initialRetrySuccessRate is that share before any retry.
	initialRetrySuccessRate = 0.5
	// minRetrySuccessRate is the share below which a failure is taken to lie in the requests and not
	// in the endpoints: retries cost work and budget and bring nothing.
	minRetrySuccessRate = 0.15
	// lowSuccessRetryProbability is the probability of a retry below minGain, which finds out whether they
	// help again.
	lowSuccessRetryProbability = 0.05
)

// AllowRetry tells whether a request that was sent to an endpoint may be sent to another one,
// after the result there, and counts it if so.
func (s *State) AllowRetry(now boottime.Instant, service fleet.ServiceID, after Result) bool {
	if after == Failed && s.retrySuccessRate(service) < minRetrySuccessRate && s.rng.Float64() >= lowSuccessRetryProbability {
		return false
	}
	ratio, extra := s.localRetryBudget()
	return s.retryWindow(service).Retry(now, ratio, extra)
}

// localRetryBudget returns the ratio of retries to requests that this process may make, and its
// part of the constant beyond that.
func (s *State) localRetryBudget() (ratio, extra float64) {
	return retryBudgetMargin * s.opts.RetryRatio, retryBudgetMargin * s.opts.RetryExtra / float64(s.fleetSize())
}

func (s *State) retriesAllowed(requests int) float64 {
	ratio, extra := s.localRetryBudget()
	return ratio*float64(requests) + extra
}

// RecordRetryResult takes whether a retry after an endpoint's own failure helped.
func (s *State) RecordRetryResult(service fleet.ServiceID, helped bool) {
	rate := s.retrySuccessRate(service) * (1 - retryResultWeight)
	if helped {
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
