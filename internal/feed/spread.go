package feed

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// fanout is the number of instances of its data centre to which a process passes on
// a change that it adopted.
const fanout = 3

// spread passes a change on to the fanout successors of this process in the
// generalized de Bruijn graph over the usable instances of the data centre. From
// whichever instance a change starts, it reaches all in ceil(log n) hops to the base
// fanout, and each sends and receives it at most fanout times. Of a large change
// only the position is sent: a peer that has not got the change yet then pulls it.
func (s *State) spread(now time.Time, v *value, from fleet.InstanceID, out *wire.Outbox) {
	d := v.latest()
	if deltaSize(&d) > s.opts.MaxPushBytes {
		d = v.position()
	}
	for _, id := range s.successors() {
		if id != from {
			s.push(id, d, out)
		}
	}
	if !s.IsReader(now) {
		return
	}
	for _, dc := range s.otherDataCentres() {
		if ids := s.readersOf(dc); len(ids) > 0 && ids[0] != from {
			s.push(ids[0], d, out)
		}
	}
}

// successors returns the instances to which this process passes on changes.
func (s *State) successors() []fleet.InstanceID {
	ring, pos := s.ring()
	n := len(ring)
	var ids []fleet.InstanceID
	for a := 0; a < min(fanout, n); a++ {
		id := ring[(fanout*pos+a)%n]
		if id != s.self {
			ids = append(ids, id)
		}
	}
	return ids
}

// ring returns the usable instances of the data centre with this process, sorted,
// and this process's position.
func (s *State) ring() ([]fleet.InstanceID, int) {
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

// behindPeers remembers which peers' headers showed lower revisions.
type behindPeers struct {
	peers map[fleet.InstanceID]*behindPeer
}

type behindPeer struct {
	since  [feedCount]time.Time // zero when not behind
	pushed [feedCount]time.Time
}

// maxBehind bounds the peers remembered, listed or not.
const maxBehind = 1024

func (b *behindPeers) note(now time.Time, id fleet.InstanceID, feed int, behind bool) {
	p := b.peers[id]
	if p == nil {
		if !behind || len(b.peers) >= maxBehind {
			return
		}
		p = &behindPeer{}
		if b.peers == nil {
			b.peers = map[fleet.InstanceID]*behindPeer{}
		}
		b.peers[id] = p
	}
	switch {
	case !behind:
		p.since[feed] = time.Time{}
	case p.since[feed].IsZero():
		p.since[feed] = now
	}
}

// retain forgets peers that the list no longer names.
func (b *behindPeers) retain(v *fleet.View) {
	for id := range b.peers {
		if v.Instance(id) == nil {
			delete(b.peers, id)
		}
	}
}

// pushBehind tells the peers that have been behind for a while.
func (s *State) pushBehind(now time.Time, out *wire.Outbox) {
	if len(s.behind.peers) == 0 {
		return
	}
	ids := make([]fleet.InstanceID, 0, len(s.behind.peers))
	for id := range s.behind.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		s.pushBehindPeer(now, id, out)
	}
}

func (s *State) pushBehindPeer(now time.Time, id fleet.InstanceID, out *wire.Outbox) {
	p := s.behind.peers[id]
	idle := true
	for i := range s.values {
		if p.since[i].IsZero() {
			idle = idle && now.Sub(p.pushed[i]) >= s.opts.PushInterval
			continue
		}
		idle = false
		if now.Sub(p.since[i]) < s.opts.PushDelay || now.Sub(p.pushed[i]) < s.opts.PushInterval {
			continue
		}
		p.pushed[i] = now
		p.since[i] = time.Time{}
		s.push(id, s.values[i].position(), out)
	}
	if idle {
		delete(s.behind.peers, id)
	}
}
