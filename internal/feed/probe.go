package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// probeState schedules the periodic exchange of digests (anti-entropy).
type probeState struct {
	nextLocal  time.Time // next exchange within the data centre
	nextRemote time.Time // next exchanges with the other data centres
	localTurn  uint64
	remoteTurn uint64
}

// tickProbes sends the digest of one feed to one instance of the data centre and, on a reader, to
// one instance of each other data centre, in rotation. The receiver pulls if it is behind, resolves
// the conflict if its content differs at the same revision, and treats the sender as a lagging peer
// if it is ahead.
func (s *State) tickProbes(now time.Time, out *wire.Outbox) {
	p := &s.probes
	if p.nextLocal.IsZero() {
		s.staggerProbes(now)
	}
	if !now.Before(p.nextLocal) {
		p.nextLocal = now.Add(s.opts.AntiEntropyInterval)
		s.probeDataCentre(s.dc, p.localTurn, out)
		p.localTurn++
	}
	if !now.Before(p.nextRemote) && s.IsReader(now) {
		p.nextRemote = now.Add(s.opts.RemoteAntiEntropyInterval)
		for _, dc := range s.otherDataCentres() {
			s.probeDataCentre(dc, p.remoteTurn, out)
		}
		p.remoteTurn++
	}
}

// staggerProbes sets the first probe times, spread over the interval by the hash of the instance.
func (s *State) staggerProbes(now time.Time) {
	h := fleet.Hash(string(s.self))
	s.probes.localTurn, s.probes.remoteTurn = h, h
	s.probes.nextLocal = now.Add(s.opts.AntiEntropyInterval * time.Duration(h%64) / 64)
	s.probes.nextRemote = now.Add(s.opts.RemoteAntiEntropyInterval * time.Duration(h%64) / 64)
}

// probeDataCentre sends a digest to one instance of a data centre. The turn selects the feed and
// the instance.
func (s *State) probeDataCentre(dc fleet.DataCentreID, turn uint64, out *wire.Outbox) {
	ids := s.instancesByReaderWeight(dc)
	if len(ids) == 0 {
		return
	}
	v := &s.values[turn%feedCount]
	s.push(ids[(turn/feedCount)%uint64(len(ids))], v.digest(), out)
}
