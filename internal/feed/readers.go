package feed

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// readersPerDataCentre is how many instances of a data centre watch the platform
// at all times. One more does in turn.
const readersPerDataCentre = 2

var readerKey = fleet.Hash("feed-reader")

// IsReader tells whether this process watches the platform: while nobody else would
// bring it the values, when it is one of the readers of its data centre, and in its
// turn. All instances take turns, so that a data centre whose readers are cut off
// from the platform, or see a stale one, still learns what any other of it can read.
func (s *State) IsReader(now time.Time) bool {
	if !s.Ready() || s.view.Instance(s.self) == nil {
		return true
	}
	return s.isLastingReader() || s.isTurn(now)
}

func (s *State) isTurn(now time.Time) bool {
	ins := s.view.InstancesIn(s.dc)
	turn := now.UnixNano() / int64(s.opts.ReaderRotation)
	return ins[turn%int64(len(ins))].ID == s.self
}

func (s *State) isLastingReader() bool {
	w := fleet.Weight(readerKey, s.view.InstanceHash(s.self))
	above, usable := 0, 0
	for _, in := range s.view.InstancesIn(s.dc) {
		if in.ID == s.self || !s.usable(in) {
			continue
		}
		usable++
		if fleet.Weight(readerKey, s.view.InstanceHash(in.ID)) > w {
			above++
		}
	}
	if s.view.Instance(s.self).Leaving {
		return usable == 0
	}
	return above < readersPerDataCentre
}

func (s *State) usable(in *fleet.Instance) bool { return !in.Leaving && s.opts.Usable(in.ID) }

// readersOf returns the usable instances of a data centre, its readers first.
func (s *State) readersOf(dc fleet.DataCentreID) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, in := range s.view.InstancesIn(dc) {
		if in.ID != s.self && s.usable(in) {
			ids = append(ids, in.ID)
		}
	}
	sort.SliceStable(ids, func(i, j int) bool { return s.readerWeight(ids[i]) > s.readerWeight(ids[j]) })
	return ids
}

func (s *State) readerWeight(id fleet.InstanceID) uint64 {
	return fleet.Weight(readerKey, s.view.InstanceHash(id))
}

// otherDataCentres returns the data centres of the instance list except this
// process's own, sorted.
func (s *State) otherDataCentres() []fleet.DataCentreID {
	var dcs []fleet.DataCentreID
	seen := map[fleet.DataCentreID]bool{s.dc: true}
	for i := range s.view.Instances.Instances {
		dc := s.view.Instances.Instances[i].DataCentre
		if !seen[dc] {
			seen[dc] = true
			dcs = append(dcs, dc)
		}
	}
	sort.Slice(dcs, func(i, j int) bool { return dcs[i] < dcs[j] })
	return dcs
}
