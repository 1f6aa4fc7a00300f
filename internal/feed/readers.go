package feed

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// permanentReadersPerDataCentre is how many instances of a data centre poll the platform at all
// times. One further instance polls it in rotation.
const permanentReadersPerDataCentre = 2

// readerHashSeed is the key for which the instances are ranked by rendezvous hashing.
var readerHashSeed = fleet.Hash("feed-reader")

// IsReader reports whether this instance polls the platform: while it is not ready, while it is not
// listed, as a permanent reader, or during its turn as the rotating reader. An instance that is not
// ready or not listed may have no other source. The rotation covers permanent readers that cannot
// reach the platform or read a stale replica of it.
func (s *State) IsReader(now time.Time) bool {
	if !s.Ready() || s.view.Instance(s.self) == nil {
		return true
	}
	return s.isPermanentReader() || s.isRotatingReader(now)
}

func (s *State) isRotatingReader(now time.Time) bool {
	ins := s.view.InstancesIn(s.dc)
	turn := now.UnixNano() / int64(s.opts.ReaderRotation)
	return ins[turn%int64(len(ins))].ID == s.self
}

// isPermanentReader reports whether this instance is among the usable instances of its data centre
// with the highest weights (rendezvous hashing). A leaving instance is a reader only if no other
// instance is usable.
func (s *State) isPermanentReader() bool {
	w := fleet.Weight(readerHashSeed, s.view.InstanceHash(s.self))
	higher, usable := 0, 0
	for _, in := range s.view.InstancesIn(s.dc) {
		if in.ID == s.self || !s.usable(in) {
			continue
		}
		usable++
		if fleet.Weight(readerHashSeed, s.view.InstanceHash(in.ID)) > w {
			higher++
		}
	}
	if s.view.Instance(s.self).Leaving {
		return usable == 0
	}
	return higher < permanentReadersPerDataCentre
}

func (s *State) usable(in *fleet.Instance) bool { return !in.Leaving && s.opts.Usable(in.ID) }

// instancesByReaderWeight returns the usable instances of a data centre except this one, by
// descending reader weight: permanent readers come first.
func (s *State) instancesByReaderWeight(dc fleet.DataCentreID) []fleet.InstanceID {
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
	return fleet.Weight(readerHashSeed, s.view.InstanceHash(id))
}

// otherDataCentres returns the data centres of the instance list except the local one, sorted.
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
