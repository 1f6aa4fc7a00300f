package membership

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// suspectFailures is how many heartbeats and requests must stay unanswered in a
// row before an instance is suspected.
const suspectFailures = 3

// OnMessage notes a message of an instance. It returns false when the message comes
// from an earlier run than the latest known one and must be ignored.
func (s *State) OnMessage(now time.Time, id fleet.InstanceID, inc fleet.Incarnation) bool {
	p := s.peers[id]
	if p == nil {
		return true
	}
	if inc < p.incarnation {
		return false
	}
	if inc > p.incarnation {
		s.restarted(p, inc)
	}
	p.clear(now)
	if p.suspected && s.mayRecover(now, p) {
		s.recover(p)
	}
	return true
}

// restarted takes note of a later run, which inherits nothing from the earlier one.
func (s *State) restarted(p *peer, inc fleet.Incarnation) {
	first := p.incarnation == 0
	p.incarnation = inc
	if first {
		return
	}
	s.record(p.id, Restarted)
	s.setLeaving(p, p.listLeaving, false)
	p.flaps = 0
}

// OnTimeout notes that a request to an instance timed out.
func (s *State) OnTimeout(now time.Time, id fleet.InstanceID) {
	s.ran(now)
	p := s.peers[id]
	if p == nil || !p.listed || p.suspected {
		return
	}
	if p.failedAt.IsZero() {
		p.failedAt = now
	}
	p.failures++
	p.probing = p.local
	s.judgeFailures(now, p)
}

// judgeFailures suspects a peer whose requests time out and that stayed silent since
// the first of them.
func (s *State) judgeFailures(now time.Time, p *peer) {
	if p.failures < suspectFailures || p.failedAt.IsZero() {
		return
	}
	if now.Sub(p.failedAt) >= s.opts.MinSilence {
		s.suspect(now, p)
	}
}

// OnPeerSuspicion notes that another instance suspects one. It is no evidence: it only has
// the instance probed earlier.
func (s *State) OnPeerSuspicion(now time.Time, id fleet.InstanceID) {
	p := s.peers[id]
	if p == nil || !p.listed || p.suspected || !p.local {
		return
	}
	if now.Sub(p.lastHeard) >= s.opts.ProbeInterval {
		p.probing = true
	}
}

// OnLeaving notes that the current run of an instance said that it stops.
func (s *State) OnLeaving(_ time.Time, id fleet.InstanceID) {
	if p := s.peers[id]; p != nil {
		s.setLeaving(p, p.listLeaving, true)
	}
}

// OnPause forgets the silence and failures of all instances: this process did not
// run for the gap, so that it could not hear them.
func (s *State) OnPause(now time.Time, _ time.Duration) {
	for _, p := range s.order {
		p.clear(now)
	}
}

// ran notices a pause of which nobody told.
func (s *State) ran(now time.Time) {
	if gap := now.Sub(s.ranAt); !s.ranAt.IsZero() && gap >= s.opts.MinSilence {
		s.OnPause(now, gap)
	}
	s.ranAt = now
}

// clear forgets the silence and failures of a peer.
func (p *peer) clear(now time.Time) {
	p.lastHeard = now
	p.failures = 0
	p.failedAt = time.Time{}
	p.probing = false
}

// suspect marks a peer as believed dead and counts the flap.
func (s *State) suspect(now time.Time, p *peer) {
	s.forgetFlaps(now, p)
	p.suspected = true
	p.suspectedAt = now
	p.flaps++
	p.flapAt = now
	s.version++
	s.record(p.id, Suspected)
}

func (s *State) recover(p *peer) {
	p.suspected = false
	s.version++
	s.record(p.id, Recovered)
}

func (s *State) forgetFlaps(now time.Time, p *peer) {
	n := int(now.Sub(p.flapAt) / s.opts.FlapWindow)
	if n <= 0 {
		return
	}
	p.flaps = max(0, p.flaps-n)
	p.flapAt = now
}

// mayRecover tells whether the time for which a flapping peer stays suspected has passed.
func (s *State) mayRecover(now time.Time, p *peer) bool {
	return now.Sub(p.suspectedAt) >= s.hold(p)
}

// hold is zero for the first suspicion and doubles with each further one.
func (s *State) hold(p *peer) time.Duration {
	if p.flaps <= 1 {
		return 0
	}
	d := s.opts.SuspicionHoldBase
	for i := 2; i < p.flaps && d < s.opts.SuspicionHoldMax; i++ {
		d *= 2
	}
	return min(d, s.opts.SuspicionHoldMax)
}
