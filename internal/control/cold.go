package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// coldWindow is the span in which sends to a cold endpoint are counted: a second, and
// the time by which requests that left apart may arrive together.
const coldWindow = 1200 * time.Millisecond

// coldness is how long an endpoint is cold, and what this process sent it meanwhile.
type coldness struct {
	until boottime.Instant
	sends []boottime.Instant // within the last coldWindow, oldest first
}

// coldShare is this process's part of the rate that a cold endpoint bears: so many
// requests a second that all gateways together stay within it. Where there are more
// gateways than requests a second, only the first ones of an order of the endpoint's own
// may send, one each.
func (s *State) coldShare(e *endpoint) int {
	svc := s.service(e)
	if svc == nil || svc.ColdRequestsPerSecond <= 0 {
		return noColdLimit
	}
	bears := int(svc.ColdRequestsPerSecond)
	if each := bears / s.fleetSize(); each > 0 {
		return each
	}
	if s.joined.answered && s.mesh.MemberRank(e.hash) < bears {
		return 1
	}
	return 0
}

const noColdLimit = 1 << 30

// coldRoom tells whether an endpoint, if it is cold, bears one more request of this process.
func (s *State) coldRoom(now boottime.Instant, e *endpoint) bool {
	if !now.Before(e.cold.until) {
		return true
	}
	e.cold.expire(now)
	return len(e.cold.sends) < s.coldShare(e)
}

func (c *coldness) expire(now boottime.Instant) {
	for len(c.sends) > 0 && now.Sub(c.sends[0]) >= coldWindow {
		c.sends = c.sends[1:]
	}
}

// sent counts a request. Sends to endpoints that are not cold count as well: they may
// turn out to be cold a moment later.
func (c *coldness) sent(now boottime.Instant) {
	c.expire(now)
	c.sends = append(c.sends, now)
}
