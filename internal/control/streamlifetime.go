package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

const (
	// streamLifetimeFactor times the longest timeout of a route with resumable streams is how long a stream
	// may last, over all requests of its caller.
	streamLifetimeFactor = 2
	minStreamLifetime    = 15 * time.Second
	maxStreamLifetime    = 2 * time.Minute
)

// adoptStreamLifetime derives how long streams may last from the routes. A shorter lifetime applies once the streams
// that were admitted before have ended.
func (s *State) adoptStreamLifetime(now boottime.Instant, c *routing.Config) {
	longest := time.Duration(0)
	for i := range c.Routes {
		if c.Routes[i].Resumable {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	o := &s.origins
	lifetime := min(max(streamLifetimeFactor*longest, minStreamLifetime), maxStreamLifetime)
	switch {
	case lifetime >= o.streamLifetime:
		o.streamLifetime, o.shorterLifetime = lifetime, 0
	case lifetime != o.shorterLifetime:
		o.shorterLifetime, o.shorterFrom = lifetime, now.Add(o.streamLifetime)
	}
}

// tickStreamLifetime applies a shorter lifetime that is due.
func (s *State) tickStreamLifetime(now boottime.Instant) {
	if o := &s.origins; o.shorterLifetime != 0 && now >= o.shorterFrom {
		o.streamLifetime, o.shorterLifetime = o.shorterLifetime, 0
	}
}
