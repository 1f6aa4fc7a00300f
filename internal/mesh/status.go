package mesh

import (
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Outgoing is a message to be sent to a peer.
type Outgoing struct {
	To      fleet.InstanceID
	Addr    string
	Message wire.Message
}

// LocalStatus is the part of a Status that the caller provides.
type LocalStatus struct {
	Revision        fleet.Revision
	Confirmed       boottime.Instant // when the copy of the store was last confirmed to be current; zero: never
	Stopping        bool
	StoreUnreadable bool // a read of the store has failed recently
	InFlight        wire.Counts
	Failed          wire.Counts // recent failures of endpoints
	FailureReports  []wire.FailureReport
	RecentChanges   *wire.StoreUpdate // sent by Broadcast and Relay; nil: there are none, or they don't fit in a Status
	Backlog         Backlog           // of this gateway: recent reports, pending reads of 10 ms and more, and workspaces while a service is contended or queues requests
	Version         uint64            // rises with each change of a field above, except Confirmed
}

// Tick removes expired members and returns the Status messages that are due.
func (s *State) Tick(now boottime.Instant, l LocalStatus) []Outgoing {
	s.noteStopping(l.Stopping)
	s.removeExpired(now)
	s.watchPeers(now)
	var all *sums
	var out []Outgoing
	ownBacklog := sync.OnceValue(func() *wire.Backlog { return s.ownBacklog(now, l) })
	for _, p := range s.sortedPeers {
		if now.Sub(p.lastSent) < s.sendInterval(now, p, l) {
			continue
		}
		p.lastSent = now
		p.sentVersion = l.Version
		m := s.status(now, p, l)
		if s.watches(p) && !p.unresponsive {
			if all == nil {
				all = s.computeSums(now, l)
			}
			m.FailureReports = s.forwardedFailures(now, p, m.FailureReports)
			s.addSummary(&m, p, all)
		}
		if m.Summary == nil && (s.watches(p) || !s.aggregated()) {
			m.Backlog = ownBacklog()
		}
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: m})
	}
	return out
}

// Broadcast returns Status messages with the recent changes for the whole fleet: for each live
// peer of a small fleet, otherwise for the live peers of this gateway's data centre and the
// aggregators of the others. Without a change since the last Broadcast (changed is false), only the
// aggregators of a large fleet are sent a Status; theirs soon follow to the others.
func (s *State) Broadcast(now boottime.Instant, l LocalStatus, changed bool) []Outgoing {
	s.noteStopping(l.Stopping)
	if !s.aggregated() {
		return s.statusesWithChanges(now, l, func(*peer) bool { return true })
	}
	return s.statusesWithChanges(now, l, func(p *peer) bool {
		return changed && p.DataCentre == s.self.DataCentre || s.isAggregator(p)
	})
}

// Relay returns the Status messages that forward changes received from another data centre to
// the live peers of this gateway's data centre. It returns none if this gateway is not an aggregator.
func (s *State) Relay(now boottime.Instant, from fleet.InstanceID, l LocalStatus) []Outgoing {
	p := s.peers[from]
	if !s.aggregated() || p == nil || p.DataCentre == s.self.DataCentre || !s.isAggregator(s.self) {
		return nil
	}
	return s.statusesWithChanges(now, l, func(p *peer) bool { return p.DataCentre == s.self.DataCentre })
}

func (s *State) statusesWithChanges(now boottime.Instant, l LocalStatus, include func(*peer) bool) []Outgoing {
	var out []Outgoing
	for _, p := range s.sortedPeers {
		if !s.live(now, p) || !include(p) {
			continue
		}
		p.lastSent = now
		p.sentVersion = l.Version
		m := s.status(now, p, l)
		if m.Update = l.RecentChanges; m.Update == nil {
			m.Backlog = s.ownBacklog(now, l)
		}
		out = append(out, Outgoing{To: p.ID, Addr: p.Addr, Message: m})
	}
	return out
}

func (s *State) status(now boottime.Instant, p *peer, l LocalStatus) wire.Status {
	s.rememberCounts(now, l.InFlight)
	m := wire.Status{
		Timestamp:       s.timestamp(now),
		Revision:        l.Revision,
		Stopping:        l.Stopping,
		StoreUnreadable: l.StoreUnreadable,
		InFlight:        l.InFlight,
		Failed:          highestCounts(l.Failed, maxFailedEndpoints),
		FailureReports:  latestFailures(l.FailureReports),
	}
	if p.lastReceived != 0 {
		m.Echo = p.status.Timestamp
		m.EchoAgeMS = uint64(now.Sub(p.lastReceived) / time.Millisecond)
	}
	if p.lastReceived == 0 || now.Sub(p.lastReceived) > helloSilence {
		m.Hello = &wire.Hello{DataCentre: s.self.DataCentre, Addr: s.self.Addr, Control: s.self.ControlAddr, CPUMillis: s.self.CPUMillis}
	}
	if l.Confirmed != 0 {
		m.Confirmed = true
		m.ConfirmedAgeMS = uint64(now.Sub(l.Confirmed)/time.Millisecond) + 1
	}
	return m
}
