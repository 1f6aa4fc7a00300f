package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// probes is the state of the periodic exchange of revisions and content hashes.
type probes struct {
	localAt  time.Time // of the next one within the data centre
	remoteAt time.Time // of the next ones with the other data centres
	local    uint64
	remote   uint64
}

// tickProbes tells one feed's position to one instance of the data centre and, as a
// reader, to one instance of each other data centre, in turn. An instance that is
// behind pulls; one that is ahead, or differs, tells so.
func (s *State) tickProbes(now time.Time, out *wire.Outbox) {
	p := &s.probes
	if p.localAt.IsZero() {
		s.firstProbes(now)
	}
	if !now.Before(p.localAt) {
		p.localAt = now.Add(s.opts.ProbeInterval)
		s.probeIn(s.dc, p.local, out)
		p.local++
	}
	if !now.Before(p.remoteAt) && s.IsReader(now) {
		p.remoteAt = now.Add(s.opts.RemoteProbeInterval)
		for _, dc := range s.otherDataCentres() {
			s.probeIn(dc, p.remote, out)
		}
		p.remote++
	}
}

// firstProbes spreads the instances' probes over the period.
func (s *State) firstProbes(now time.Time) {
	h := fleet.Hash(string(s.self))
	s.probes.local, s.probes.remote = h, h
	s.probes.localAt = now.Add(s.opts.ProbeInterval * time.Duration(h%64) / 64)
	s.probes.remoteAt = now.Add(s.opts.RemoteProbeInterval * time.Duration(h%64) / 64)
}

// probeIn tells one instance of a data centre, chosen by the turn.
func (s *State) probeIn(dc fleet.DataCentreID, turn uint64, out *wire.Outbox) {
	ids := s.readersOf(dc)
	if len(ids) == 0 {
		return
	}
	v := &s.values[turn%feedCount]
	s.push(ids[(turn/feedCount)%uint64(len(ids))], v.position(), out)
}
