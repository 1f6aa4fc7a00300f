package control

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// coldSendWindow is the sliding window in which sends to a cold endpoint are counted: one second,
// plus an allowance for network delays: requests sent further apart may arrive within one second.
const coldSendWindow = 1200 * time.Millisecond

// coldStart holds the end of an endpoint's cold start and the recent sends of this process to it.
type coldStart struct {
	until       boottime.Instant
	recentSends []boottime.Instant // send times, oldest first; those before the coldSendWindow of the last one are dropped
}

// coldSendLimit returns how many requests this process may send to a cold endpoint per
// coldSendWindow, so that all gateways together stay within the service's ColdRequestsPerSecond. If
// there are more gateways than requests per second, only the gateways that rank first by rendezvous
// hashing on the endpoint may send, one request each.
func (s *State) coldSendLimit(e *endpoint) int {
	svc := s.service(e)
	if svc == nil || svc.ColdRequestsPerSecond <= 0 {
		return unlimitedSends
	}
	fleetLimit := int(svc.ColdRequestsPerSecond)
	if perGateway := fleetLimit / s.fleetSize(); perGateway > 0 {
		return perGateway
	}
	if s.join.seedReplied && s.mesh.MemberRank(e.hash) < fleetLimit {
		return 1
	}
	return 0
}

const unlimitedSends = 1 << 30

// admitsColdSend reports whether this process may send one more request to an endpoint. It is
// always true for endpoints that are not cold.
func (s *State) admitsColdSend(now boottime.Instant, e *endpoint) bool {
	if !now.Before(e.coldStart.until) {
		return true
	}
	return e.coldStart.sendsInWindow(now) < s.coldSendLimit(e)
}

// sendsInWindow returns the number of sends within the last coldSendWindow.
func (c *coldStart) sendsInWindow(now boottime.Instant) int {
	for i, at := range c.recentSends {
		if now.Sub(at) < coldSendWindow {
			return len(c.recentSends) - i
		}
	}
	return 0
}

func (c *coldStart) dropOldSends(now boottime.Instant) {
	for len(c.recentSends) > 0 && now.Sub(c.recentSends[0]) >= coldSendWindow {
		c.recentSends = c.recentSends[1:]
	}
}

// recordSend counts a request. Sends to endpoints that are not cold are recorded as well, because an
// endpoint may report later that it is cold, and because unreportedLoad uses them.
func (c *coldStart) recordSend(now boottime.Instant) {
	c.dropOldSends(now)
	c.recentSends = append(c.recentSends, now)
}
