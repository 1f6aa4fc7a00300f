package membership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// TakeDueHeartbeats evaluates all peers at now and returns the instances to which a heartbeat must
// be sent. The slice is valid until the next call.
func (s *State) TakeDueHeartbeats(now time.Time) []fleet.InstanceID {
	s.detectPause(now)
	s.due = s.due[:0]
	for _, p := range s.order {
		if !p.listed {
			continue
		}
		s.evaluate(now, p)
		if s.heartbeatDue(now, p) {
			p.lastSent = now
			p.failures++
			s.due = append(s.due, p.id)
		}
	}
	return s.due
}

// evaluate updates the suspicion of one peer.
func (s *State) evaluate(now time.Time, p *peer) {
	switch {
	case p.local && !p.suspected:
		s.evaluateAlive(now, p)
	case !p.local && p.suspected:
		s.endRemoteSuspicion(now, p)
	}
}

func (s *State) evaluateAlive(now time.Time, p *peer) {
	silence := now.Sub(p.lastReceived)
	if silence >= s.period+s.opts.ProbePeriod {
		p.probing = true
	}
	if silence >= s.period+s.opts.SuspectAfter && p.failures >= suspectFailures {
		s.suspect(now, p)
		return
	}
	s.evaluateFailures(now, p)
}

// endRemoteSuspicion ends the suspicion of an instance of another data centre after its hold.
// Such an instance gets no heartbeats, so no answer can end its suspicion. Its failure count
// restarts just below suspectFailures, so that it is suspected again after fewer failures.
func (s *State) endRemoteSuspicion(now time.Time, p *peer) {
	if now.Sub(p.suspectedAt) < max(s.suspicionHold(p), s.opts.HoldDownBase) {
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
		every = min(every, s.opts.ProbePeriod)
	}
	return now.Sub(p.lastSent) >= every
}
