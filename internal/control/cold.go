package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// coldSendWindow is the span in which sends to a cold endpoint are counted: a second, and
// the time by which requests that left apart may arrive together.
const coldSendWindow = 1200 * time.Millisecond

// coldStart is how long an endpoint is cold, and what this process sent it meanwhile.
type coldStart struct {
	until boottime.Instant
	sends []boottime.Instant // within the last coldWindow, oldest first
}

// coldSendLimit is this process's part of the rate that a cold endpoint bears: so many
// requests a second that all gateways together stay within it. Where there are more
// gateways than requests a second, only the first ones of an order of the endpoint's own
// may send, one each.
func (s *State) coldSendLimit(e *endpoint) int {
	svc := s.service(e)
	if svc == nil || svc.ColdPerSecond <= 0 {
		return unlimitedSends
	}
	fleetLimit := int(svc.ColdPerSecond)
	if perGateway := fleetLimit / s.fleetSize(); perGateway > 0 {
		return perGateway
	}
	if s.join.seedReplied && s.mesh.MemberRank(e.hash) < fleetLimit {
		return 1
	}
	return 0
}

const unlimitedSends = 1 << 30

// admitsColdSend tells whether an endpoint, if it is cold, bears one more request of this process.
func (s *State) admitsColdSend(now boottime.Instant, e *endpoint) bool {
	if !now.Before(e.coldStart.until) {
		return true
	}
	e.coldStart.expire(now)
	return len(e.coldStart.sends) < s.coldSendLimit(e)
}

func (c *coldStart) expire(now boottime.Instant) {
	for len(c.sends) > 0 && now.Sub(c.sends[0]) >= coldSendWindow {
		c.sends = c.sends[1:]
	}
}

// sent counts a request. Sends to endpoints that are not cold count as well: they may
// turn out to be cold a moment later.
func (c *coldStart) recordSend(now boottime.Instant) {
	c.expire(now)
	c.sends = append(c.sends, now)
}
