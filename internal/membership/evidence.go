package membership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// suspectFailures is the number of consecutive unanswered heartbeats and requests after which
// an instance may be suspected.
const suspectFailures = 3

// OnMessage records a message from an instance. It returns false when the message comes from
// an earlier incarnation than the latest known one and must be ignored.
func (s *State) OnMessage(now time.Time, id fleet.InstanceID, inc fleet.Incarnation) bool {
	p := s.peers[id]
	if p == nil {
		return true
	}
	if inc < p.incarnation {
		return false
	}
	if inc > p.incarnation {
		s.onRestart(p, inc)
	}
	p.clear(now)
	if p.suspected && s.canRecover(now, p) {
		s.recover(p)
	}
	return true
}

// onRestart records a later incarnation and clears the leaving and flap state of the earlier
// one.
func (s *State) onRestart(p *peer, inc fleet.Incarnation) {
	first := p.incarnation == 0
	p.incarnation = inc
	if first {
		return
	}
	s.record(p.id, Restarted)
	s.setLeaving(p, p.listedLeaving, false)
	p.flaps = 0
}

// OnTimeout records that a request to an instance timed out.
func (s *State) OnTimeout(now time.Time, id fleet.InstanceID) {
	s.detectPause(now)
	p := s.peers[id]
	if p == nil || !p.listed || p.suspected {
		return
	}
	if p.firstTimeoutAt.IsZero() {
		p.firstTimeoutAt = now
	}
	p.failures++
	p.probing = p.local
	s.evaluateFailures(now, p)
}

// evaluateFailures suspects a peer with suspectFailures failures that has been silent for
// MinSilence since the first request that timed out.
func (s *State) evaluateFailures(now time.Time, p *peer) {
	if p.failures < suspectFailures || p.firstTimeoutAt.IsZero() {
		return
	}
	if now.Sub(p.firstTimeoutAt) >= s.opts.MinSilence {
		s.suspect(now, p)
	}
}

// OnPeerSuspicion records that another instance suspects id. This is not evidence of failure;
// the instance is only probed earlier.
func (s *State) OnPeerSuspicion(now time.Time, id fleet.InstanceID) {
	p := s.peers[id]
	if p == nil || !p.listed || p.suspected || !p.local {
		return
	}
	if now.Sub(p.lastReceived) >= s.opts.ProbePeriod {
		p.probing = true
	}
}

// OnLeaving records that the current run of an instance announced its shutdown.
func (s *State) OnLeaving(_ time.Time, id fleet.InstanceID) {
	if p := s.peers[id]; p != nil {
		s.setLeaving(p, p.listedLeaving, true)
	}
}

// OnPause resets the silence and failures of all instances: this process did not run during
// the gap and could not receive their messages.
func (s *State) OnPause(now time.Time, _ time.Duration) {
	for _, p := range s.order {
		p.clear(now)
	}
}

// detectPause calls OnPause when the time since the last call shows an unreported pause.
func (s *State) detectPause(now time.Time) {
	if gap := now.Sub(s.lastRunAt); !s.lastRunAt.IsZero() && gap >= s.opts.MinSilence {
		s.OnPause(now, gap)
	}
	s.lastRunAt = now
}

// clear resets the silence and failures of a peer.
func (p *peer) clear(now time.Time) {
	p.lastReceived = now
	p.failures = 0
	p.firstTimeoutAt = time.Time{}
	p.probing = false
}

// suspect marks a peer as suspected and counts a flap.
func (s *State) suspect(now time.Time, p *peer) {
	s.decayFlaps(now, p)
	p.suspected = true
	p.suspectedAt = now
	p.flaps++
	p.lastFlapAt = now
	s.version++
	s.record(p.id, Suspected)
}

func (s *State) recover(p *peer) {
	p.suspected = false
	s.version++
	s.record(p.id, Recovered)
}

func (s *State) decayFlaps(now time.Time, p *peer) {
	n := int(now.Sub(p.lastFlapAt) / s.opts.FlapWindow)
	if n <= 0 {
		return
	}
	p.flaps = max(0, p.flaps-n)
	p.lastFlapAt = now
}

// canRecover reports whether the suspicion hold of a flapping peer has elapsed.
func (s *State) canRecover(now time.Time, p *peer) bool {
	return now.Sub(p.suspectedAt) >= s.suspicionHold(p)
}

// suspicionHold returns the minimum duration of the current suspicion: zero for the first one,
// then doubling from SuspicionHoldBase up to SuspicionHoldMax.
func (s *State) suspicionHold(p *peer) time.Duration {
	if p.flaps <= 1 {
		return 0
	}
	d := s.opts.HoldDownBase
	for i := 2; i < p.flaps && d < s.opts.HoldDownMax; i++ {
		d *= 2
	}
	return min(d, s.opts.HoldDownMax)
}
