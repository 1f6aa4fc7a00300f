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

// Retry tells whether a request that was sent to an endpoint may be sent to another one,
// and counts it if so.
func (s *State) Retry(now boottime.Instant, service fleet.ServiceID) bool {
	extra := budgetMargin * s.opts.RetryExtra / float64(s.fleetSize())
	return s.window(service).Retry(now, budgetMargin*s.opts.RetryRatio, extra)
}
