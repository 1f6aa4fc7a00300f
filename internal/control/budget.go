package control

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/retry"
)

// budgetMargin is the part of the fleet's retry budget that is used: counts at the
// endpoints and here differ by what is on its way.
const budgetMargin = 0.85

func (s *State) window(service fleet.ServiceID) *retry.Window {
	w := s.retries[service]
	if w == nil {
		w = retry.NewWindow(s.opts.RetryWindow)
		s.retries[service] = w
	}
	return w
}

const (
	// gainWeight is the weight of the newest retry in the share of those that helped.
	gainWeight = 0.1
	// startGain is that share before any retry.
	startGain = 0.5
	// minGain is the share below which a failure is taken to lie in the requests and not
	// in the endpoints: retries cost work and budget and bring nothing.
	minGain = 0.15
	// tryAnyway is the probability of a retry below minGain, which finds out whether they
	// help again.
	tryAnyway = 0.05
)

// AllowRetry tells whether a request that was sent to an endpoint may be sent to another one,
// after the result there, and counts it if so.
func (s *State) AllowRetry(now boottime.Instant, service fleet.ServiceID, after Result) bool {
	if after == Failed && s.gain(service) < minGain && s.rng.Float64() >= tryAnyway {
		return false
	}
	ratio, extra := s.retryShare()
	return s.window(service).Retry(now, ratio, extra)
}

// retryShare returns the ratio of retries to requests that this process may make, and its
// part of the constant beyond that.
func (s *State) retryShare() (ratio, extra float64) {
	return budgetMargin * s.opts.RetryRatio, budgetMargin * s.opts.RetryExtra / float64(s.fleetSize())
}

func (s *State) retriesAllowed(requests int) float64 {
	ratio, extra := s.retryShare()
	return ratio*float64(requests) + extra
}

// RecordRetryResult takes whether a retry after an endpoint's own failure helped.
func (s *State) RecordRetryResult(service fleet.ServiceID, helped bool) {
	g := s.gain(service) * (1 - gainWeight)
	if helped {
		g += gainWeight
	}
	s.gains[service] = g
}

func (s *State) gain(service fleet.ServiceID) float64 {
	if g, ok := s.gains[service]; ok {
		return g
	}
	return startGain
}
