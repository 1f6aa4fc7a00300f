package mesh

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// aggregationInterval is the minimum time between two Status messages of a gateway to an
	// aggregator, and between two summaries of an aggregator to a peer.
	aggregationInterval = 160 * time.Millisecond
	// aggregationIntervalPerPeer limits the summaries of an aggregator to 330 per second.
	aggregationIntervalPerPeer = 3 * time.Millisecond
	// standbyInterval is the time between two Status messages of an aggregator other than the first
	// of its data centre to a peer that it watches.
	standbyInterval = 300 * time.Millisecond
	// keepAliveInterval is the time between two Status messages to a peer of a large fleet that is
	// not watched. They keep it a member.
	keepAliveInterval = 45 * time.Second
	// aggregatedMemberRetention is the memberRetention of a large fleet: three keep-alive intervals.
	aggregatedMemberRetention = 3 * keepAliveInterval
	// helloTimeout is how long a new member that has sent nothing is sent a Status at
	// downPeerInterval.
	helloTimeout = 10 * time.Second
	// helloSilence is the time without a message of a peer after which a Status to it has a Hello again: the peer's process may
	// have been replaced by one that does not know this gateway.
	helloSilence = 600 * time.Millisecond
)

// LoadAge returns the mean age of the peers' counts of requests in flight.
func (s *State) LoadAge() time.Duration {
	if s.aggregated() {
		return (aggregationInterval + 2*s.summaryInterval()) / 2
	}
	return s.statusInterval() / 2
}

// statusInterval returns the minimum time between two Status messages to one peer of a fleet without
// aggregators, which bounds the delay until peers are sent a change.
func (s *State) statusInterval() time.Duration {
	if s.Size() <= smallFleetSize {
		return minStatusInterval
	}
	return time.Duration(len(s.peers)) * statusIntervalPerPeer
}

// summaryInterval returns the time between two summaries of an aggregator to one peer.
func (s *State) summaryInterval() time.Duration {
	return max(aggregationInterval, time.Duration(s.LocalPeers())*aggregationIntervalPerPeer)
}

// downTimeout returns the time without a message after which a peer counts as down.
func (s *State) downTimeout() time.Duration {
	if s.aggregated() {
		return aggregatedMemberRetention
	}
	return downAfterIdleIntervals * s.idleInterval()
}

// idleInterval returns the time between two Status messages without a change.
func (s *State) idleInterval() time.Duration { return max(minIdleInterval, s.statusInterval()) }

func (s *State) memberRetention() time.Duration {
	if s.aggregated() {
		return aggregatedMemberRetention
	}
	return memberRetention
}

// sendInterval returns the time between two Status messages to a peer.
func (s *State) sendInterval(now boottime.Instant, p *peer, l LocalStatus) time.Duration {
	switch {
	case p.lastSent == 0:
		return 0
	case s.aggregated():
		return s.aggregatedSendInterval(now, p, l)
	case !s.live(now, p):
		return downPeerInterval
	case p.sentVersion != l.Version:
		return s.statusInterval()
	default:
		return s.idleInterval()
	}
}

func (s *State) aggregatedSendInterval(now boottime.Instant, p *peer, l LocalStatus) time.Duration {
	switch {
	case p.lastReceived == 0 && now.Sub(p.added) < helloTimeout, s.probes(p):
		return downPeerInterval
	case !s.watches(p):
		return keepAliveInterval
	case p.unresponsive:
		return downPeerInterval
	case s.isFirstAggregator():
		return s.summaryInterval()
	case s.isAggregator(p) && p.DataCentre == s.self.DataCentre:
		return s.reportInterval(p, l)
	default:
		return standbyInterval
	}
}

// reportInterval returns the time between two Status messages to an aggregator of this gateway's data
// centre.
func (s *State) reportInterval(p *peer, l LocalStatus) time.Duration {
	if p.sentVersion != l.Version {
		return aggregationInterval
	}
	return minIdleInterval
}

func (s *State) live(now boottime.Instant, p *peer) bool {
	return p.lastReceived != 0 && !p.unresponsive && now.Sub(p.lastReceived) <= s.downTimeout()
}
