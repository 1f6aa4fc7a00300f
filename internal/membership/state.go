package membership

import (
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// unlistedRetention is how long the state of an unlisted instance is kept, so that messages of
// an earlier incarnation are still rejected when an instance is briefly missing from the list.
const unlistedRetention = 5 * time.Minute

// State is the failure detector's state of all other instances.
type State struct {
	self fleet.InstanceID
	dc   fleet.DataCentreID
	opts Options

	peers       map[fleet.InstanceID]*peer
	order       []*peer // all peers, sorted by ID
	period      time.Duration
	selfLeaving bool
	lastRunAt   time.Time // time of the last call of DueHeartbeats or OnTimeout
	version     uint64
	transitions []Transition
	due         []fleet.InstanceID
}

// peer is the state of one other instance.
type peer struct {
	id               fleet.InstanceID
	incarnation      fleet.Incarnation
	local            bool // in the data centre of this process, with heartbeats
	listed           bool
	listedLeaving    bool // leaving according to the list
	announcedLeaving bool // the current run announced its shutdown
	unlistedAt       time.Time

	lastReceived   time.Time
	lastSent       time.Time // when the last heartbeat was sent
	probing        bool      // heartbeats are sent at ProbeInterval
	failures       int       // heartbeats and requests without an answer since lastReceived
	firstTimeoutAt time.Time // first request that timed out since lastReceived, zero: none

	suspected   bool
	suspectedAt time.Time
	flaps       int // suspicions, decayed by one per FlapWindow
	lastFlapAt  time.Time
}

// New returns a state without instances.
func New(self fleet.InstanceID, dc fleet.DataCentreID, opts Options) *State {
	s := &State{self: self, dc: dc, opts: opts.withDefaults()}
	s.peers = map[fleet.InstanceID]*peer{}
	s.period = s.opts.Period(1)
	return s
}

// SetView replaces the candidates by the platform's list.
func (s *State) SetView(now time.Time, v *fleet.View) {
	for _, p := range s.order {
		if p.listed && v.Instance(p.id) == nil {
			s.unlist(now, p)
		}
	}
	added := false
	for i := range v.Instances.Instances {
		added = s.list(now, &v.Instances.Instances[i]) || added
	}
	s.purgeUnlisted(now)
	if added {
		s.sortPeers()
	}
	s.period = s.opts.Period(len(v.InstancesIn(s.dc)))
}

func (s *State) list(now time.Time, in *fleet.Instance) (added bool) {
	if in.ID == s.self {
		s.selfLeaving = in.Leaving
		return false
	}
	p := s.peers[in.ID]
	if p == nil {
		p = &peer{id: in.ID}
		s.peers[in.ID] = p
		added = true
	}
	if !p.listed {
		s.track(now, p)
	}
	p.local = in.DataCentre == s.dc
	s.setLeaving(p, in.Leaving, p.announcedLeaving)
	return added
}

// track marks an instance as listed. It counts as alive until evidence of failure; one that
// was suspected before it left the list stays suspected.
func (s *State) track(now time.Time, p *peer) {
	p.listed = true
	if !p.suspected {
		p.clear(now)
	}
	s.version++
	s.record(p.id, Listed)
}

func (s *State) unlist(now time.Time, p *peer) {
	p.listed = false
	p.unlistedAt = now
	s.version++
	s.record(p.id, Unlisted)
}

// purgeUnlisted drops instances that left the list more than unlistedRetention ago.
func (s *State) purgeUnlisted(now time.Time) {
	kept := s.order[:0]
	for _, p := range s.order {
		if !p.listed && now.Sub(p.unlistedAt) > unlistedRetention {
			delete(s.peers, p.id)
			continue
		}
		kept = append(kept, p)
	}
	clear(s.order[len(kept):])
	s.order = kept
}

func (s *State) sortPeers() {
	s.order = s.order[:0]
	for _, p := range s.peers {
		s.order = append(s.order, p)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].id < s.order[j].id })
}

func (s *State) setLeaving(p *peer, listed, announced bool) {
	before := p.listedLeaving || p.announcedLeaving
	p.listedLeaving, p.announcedLeaving = listed, announced
	after := listed || announced
	if before == after {
		return
	}
	s.version++
	if after {
		s.record(p.id, Leaving)
	}
}
