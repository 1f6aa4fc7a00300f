package feed

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// fanout is the number of instances of the local data centre to which a process forwards each
// change that it adopts.
const fanout = 3

// disseminate pushes the last change to the fanout successors of this process in the generalized de
// Bruijn graph over the usable instances of the data centre. A change starting at any instance
// reaches all n instances in ceil(log_fanout n) hops, and each instance sends and receives it at
// most fanout times. For a large change only the digest is pushed; a peer that lacks the change
// then pulls it. Readers also push to one instance of each other data centre.
func (s *State) disseminate(now time.Time, v *value, from fleet.InstanceID, out *wire.Outbox) {
	d := v.lastDelta()
	if deltaSize(&d) > s.opts.MaxPushBytes {
		d = v.digest()
	}
	for _, id := range s.pushTargets() {
		if id != from {
			s.push(id, d, out)
		}
	}
	if !s.IsReader(now) {
		return
	}
	for _, dc := range s.otherDataCentres() {
		if ids := s.instancesByReaderWeight(dc); len(ids) > 0 && ids[0] != from {
			s.push(ids[0], d, out)
		}
	}
}

// pushTargets returns the successors of this process in the de Bruijn graph.
func (s *State) pushTargets() []fleet.InstanceID {
	instances, pos := s.localInstances()
	n := len(instances)
	var ids []fleet.InstanceID
	for a := 0; a < min(fanout, n); a++ {
		id := instances[(fanout*pos+a)%n]
		if id != s.self {
			ids = append(ids, id)
		}
	}
	return ids
}

// localInstances returns the usable instances of the data centre including this process, sorted by
// ID, and the index of this process.
func (s *State) localInstances() ([]fleet.InstanceID, int) {
	var ids []fleet.InstanceID
	for _, in := range s.view.InstancesIn(s.dc) {
		if in.ID != s.self && s.usable(in) {
			ids = append(ids, in.ID)
		}
	}
	pos := sort.Search(len(ids), func(i int) bool { return ids[i] > s.self })
	ids = append(ids, "")
	copy(ids[pos+1:], ids[pos:])
	ids[pos] = s.self
	return ids, pos
}

// laggingPeers records the peers whose headers show lower revisions.
type laggingPeers struct {
	peers map[fleet.InstanceID]*laggingPeer
}

type laggingPeer struct {
	laggingSince [feedCount]time.Time // zero when not behind
	pushedAt     [feedCount]time.Time
}

// maxLaggingPeers bounds the number of recorded peers, including those that are not in the instance
// list.
const maxLaggingPeers = 1024

func (l *laggingPeers) observe(now time.Time, id fleet.InstanceID, feed int, behind bool) {
	p := l.peers[id]
	if p == nil {
		if !behind || len(l.peers) >= maxLaggingPeers {
			return
		}
		p = &laggingPeer{}
		if l.peers == nil {
			l.peers = map[fleet.InstanceID]*laggingPeer{}
		}
		l.peers[id] = p
	}
	switch {
	case !behind:
		p.laggingSince[feed] = time.Time{}
	case p.laggingSince[feed].IsZero():
		p.laggingSince[feed] = now
	}
}

// retain removes peers that are not in the instance list.
func (l *laggingPeers) retain(v *fleet.View) {
	for id := range l.peers {
		if v.Instance(id) == nil {
			delete(l.peers, id)
		}
	}
}

// pushToLaggingPeers sends the local digests to peers that have been behind for PushDelay.
func (s *State) pushToLaggingPeers(now time.Time, out *wire.Outbox) {
	if len(s.lagging.peers) == 0 {
		return
	}
	ids := make([]fleet.InstanceID, 0, len(s.lagging.peers))
	for id := range s.lagging.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		s.pushToLaggingPeer(now, id, out)
	}
}

func (s *State) pushToLaggingPeer(now time.Time, id fleet.InstanceID, out *wire.Outbox) {
	p := s.lagging.peers[id]
	idle := true
	for i := range s.values {
		if p.laggingSince[i].IsZero() {
			idle = idle && now.Sub(p.pushedAt[i]) >= s.opts.LaggingDigestInterval
			continue
		}
		idle = false
		if now.Sub(p.laggingSince[i]) < s.opts.LaggingDigestDelay || now.Sub(p.pushedAt[i]) < s.opts.LaggingDigestInterval {
			continue
		}
		p.pushedAt[i] = now
		p.laggingSince[i] = time.Time{}
		s.push(id, s.values[i].digest(), out)
	}
	if idle {
		delete(s.lagging.peers, id)
	}
}
