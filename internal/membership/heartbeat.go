package membership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// DueHeartbeats lets time pass and returns the instances to which a heartbeat must be sent
// now. The slice is valid until the next call.
func (s *State) DueHeartbeats(now time.Time) []fleet.InstanceID {
	s.ran(now)
	s.due = s.due[:0]
	for _, p := range s.order {
		if !p.listed {
			continue
		}
		s.judge(now, p)
		if s.heartbeatDue(now, p) {
			p.lastSent = now
			p.failures++
			s.due = append(s.due, p.id)
		}
	}
	return s.due
}

// judge updates one peer's state from the evidence and the time.
func (s *State) judge(now time.Time, p *peer) {
	switch {
	case p.local && !p.suspected:
		s.judgeAlive(now, p)
	case !p.local && p.suspected:
		s.retry(now, p)
	}
}

func (s *State) judgeAlive(now time.Time, p *peer) {
	silence := now.Sub(p.lastHeard)
	if silence >= s.period+s.opts.ProbeInterval {
		p.probing = true
	}
	if silence >= s.period+s.opts.SuspectAfter && p.failures >= suspectFailures {
		s.suspect(now, p)
		return
	}
	s.judgeFailures(now, p)
}

// retry ends the suspicion of an instance of another data centre, which gets no
// heartbeats and so has no other way to be heard again.
func (s *State) retry(now time.Time, p *peer) {
	if now.Sub(p.suspectedAt) < max(s.hold(p), s.opts.SuspicionHoldBase) {
		return
	}
	p.clear(now)
	p.failures = suspectFailures - 1
	s.recover(p)
}

func (s *State) heartbeatDue(now time.Time, p *peer) bool {
	if !p.local {
		return false
	}
	every := s.period
	if p.probing && !p.suspected {
		every = min(every, s.opts.ProbeInterval)
	}
	return now.Sub(p.lastSent) >= every
}
