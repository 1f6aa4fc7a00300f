package ownership

import (
	"maps"
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// KeySlots is the number of slots into which idempotency keys are hashed.
const KeySlots = 256

const (
	defaultPeriod   = 500 * time.Millisecond // between two claims to the same peer
	smallSize       = 9                      // instances of a small data centre
	smallTTLPeriods = 3                      // of a backing in a small data centre
	largeTTLPeriods = 2                      // the same in a large one
	promiseMargin   = 20 * time.Millisecond  // by which a backer's clock may run fast
	ttlTolerance    = time.Second            // by which a claim's TTL may exceed this router's own
	maxClaimEntries = 4096
	expediteEvery   = 500 * time.Millisecond // between two rounds of claims out of turn
	returnMargin    = 200 * time.Millisecond // before a new run may back, in which it counts already
	selfBackings    = 4                      // in a period, of a router for what it owns itself
	maxUnanswered   = 4                      // claims to one peer whose acknowledgements still count
)

// Peers tells which instances may take duties.
type Peers interface {
	// Usable tells whether the instance is listed, not suspected and not leaving.
	Usable(fleet.InstanceID) bool
}

// State is the ownership state of one router. The zero value is not usable.
type State struct {
	self    fleet.InstanceID
	dc      fleet.DataCentreID
	started time.Time
	period  time.Duration // between two claims to the same peer

	view       *fleet.View
	members    []fleet.InstanceID // listed instances of the data centre, sorted
	usable     []candidate
	owned      map[wire.Resource]*owned
	order      []wire.Resource // keys of owned, sorted
	owners     map[wire.Resource]fleet.InstanceID
	promises   map[wire.Resource]promise
	released   []wire.Resource // to be named in the next claims
	gained     bool            // resources that no claim has named yet
	expedited  time.Time       // when all peers last got a claim out of turn
	backedSelf time.Time       // when this router last backed itself
	sent       map[fleet.InstanceID][]sentClaim
	seen       map[fleet.InstanceID]claimant
	left       map[fleet.InstanceID]departure
	seq        uint64
	stopped    bool

	set     uint64                          // number of the list in claimed
	claimed []wire.Resource                 // named by claims
	changed bool                            // order is not what claimed is
	urgent  []fleet.InstanceID              // peers that need the list in full before their next claim is due
	known   map[fleet.InstanceID]uint64     // last list that a peer acknowledged
	lists   map[fleet.InstanceID]claimedSet // of peers
}

type candidate struct {
	id   fleet.InstanceID
	hash uint64
}

// owned is a resource that this router owns by its own view.
type owned struct {
	since  time.Time // of the view that made it so
	backed map[fleet.InstanceID]backing
}

type backing struct {
	from  time.Time // since when the peer has backed without a break
	until time.Time
}

// promise binds this router to one run of one owner.
type promise struct {
	owner fleet.InstanceID
	inc   fleet.Incarnation
	until time.Time
}

// claimant is the last claim seen from a peer. Earlier ones that arrive late are ignored.
type claimant struct {
	inc fleet.Incarnation
	seq uint64
}

// sentClaim is a claim that was not answered.
type sentClaim struct {
	seq       uint64
	at        time.Time
	ttl       time.Duration
	set       uint64
	resources []wire.Resource
}

// departure is a run of a peer that said that it stops. The peer does not count
// between from and until; until is zero while no later run was heard of.
type departure struct {
	inc         fleet.Incarnation
	from, until time.Time
}

// claimedSet is a list of resources that a run of a peer claims.
type claimedSet struct {
	inc       fleet.Incarnation
	set       uint64
	resources []wire.Resource
}

// New returns the state of an instance that started now, owns nothing and backs nobody.
func New(now time.Time, self fleet.InstanceID, dc fleet.DataCentreID) *State {
	return &State{
		self:     self,
		dc:       dc,
		started:  now,
		period:   defaultPeriod,
		view:     fleet.NewView(nil, nil, nil),
		owned:    map[wire.Resource]*owned{},
		owners:   map[wire.Resource]fleet.InstanceID{},
		promises: map[wire.Resource]promise{},
		sent:     map[fleet.InstanceID][]sentClaim{},
		seen:     map[fleet.InstanceID]claimant{},
		left:     map[fleet.InstanceID]departure{},
		known:    map[fleet.InstanceID]uint64{},
		lists:    map[fleet.InstanceID]claimedSet{},
		changed:  true,
	}
}

// EndpointResource returns the resource of admission to an endpoint.
func EndpointResource(id fleet.EndpointID) wire.Resource {
	return wire.Resource{Kind: wire.ResourceEndpoint, ID: fleet.Hash(string(id))}
}

// WorkspaceResource returns the resource of a workspace's limits.
func WorkspaceResource(id fleet.WorkspaceID) wire.Resource {
	return wire.Resource{Kind: wire.ResourceWorkspace, ID: fleet.Hash(string(id))}
}

// KeySlotResource returns the resource of a slot of idempotency keys.
func KeySlotResource(slot int) wire.Resource {
	return wire.Resource{Kind: wire.ResourceKeySlot, ID: uint64(slot)}
}

// KeySlotDataCentre returns the data centre that is home to a key slot. It depends
// only on the data centres that the configuration names, in or out of service.
func KeySlotDataCentre(v *fleet.View, slot int) fleet.DataCentreID {
	var best fleet.DataCentreID
	var top uint64
	key := fleet.Weight(uint64(slot), uint64(wire.ResourceKeySlot))
	for id := range v.Config.DataCentres {
		w := fleet.Weight(key, fleet.Hash(string(id)))
		if best == "" || w > top || (w == top && id < best) {
			best, top = id, w
		}
	}
	return best
}

// Update recomputes owners after the view or the usable instances changed.
func (s *State) Update(now time.Time, v *fleet.View, peers Peers) {
	s.view = v
	s.members = s.members[:0]
	s.usable = s.usable[:0]
	for _, in := range v.InstancesIn(s.dc) {
		s.members = append(s.members, in.ID)
		if peers.Usable(in.ID) && !(s.stopped && in.ID == s.self) {
			s.usable = append(s.usable, candidate{in.ID, v.InstanceHash(in.ID)})
		}
	}
	s.forgetPeers()
	owners := make(map[wire.Resource]fleet.InstanceID, len(s.owners))
	for _, r := range s.resources() {
		owners[r] = s.rank(r)
	}
	s.owners = owners
	s.adopt(now)
}

func (s *State) forgetPeers() {
	keepListed(s, s.sent)
	keepListed(s, s.seen)
	keepListed(s, s.left)
	keepListed(s, s.lists)
	keepListed(s, s.known)
	for _, o := range s.owned {
		keepListed(s, o.backed)
	}
}

// keepListed forgets what is known of instances that are not listed.
func keepListed[V any](s *State, m map[fleet.InstanceID]V) {
	maps.DeleteFunc(m, func(id fleet.InstanceID, _ V) bool { return !s.listed(id) })
}

func (s *State) listed(id fleet.InstanceID) bool {
	i := sort.Search(len(s.members), func(i int) bool { return s.members[i] >= id })
	return i < len(s.members) && s.members[i] == id
}

// resources returns all resources of the data centre.
func (s *State) resources() []wire.Resource {
	var out []wire.Resource
	for _, e := range s.view.EndpointsIn(s.dc) {
		out = append(out, wire.Resource{Kind: wire.ResourceEndpoint, ID: s.view.EndpointHash(e.ID)})
	}
	for id := range s.view.Config.Workspaces {
		out = append(out, WorkspaceResource(id))
	}
	for slot := range KeySlots {
		if KeySlotDataCentre(s.view, slot) == s.dc {
			out = append(out, KeySlotResource(slot))
		}
	}
	return out
}

// rank returns the usable instance with the highest weight for a resource.
func (s *State) rank(r wire.Resource) fleet.InstanceID {
	return top(resourceKey(r), s.usable)
}

func resourceKey(r wire.Resource) uint64 { return fleet.Weight(r.ID, uint64(r.Kind)) }

func top(key uint64, cs []candidate) fleet.InstanceID {
	var best fleet.InstanceID
	var weight uint64
	for _, c := range cs {
		w := fleet.Weight(key, c.hash)
		if best == "" || w > weight {
			best, weight = c.id, w
		}
	}
	return best
}

// adopt takes over the resources that the owners map gives to this router and
// releases those that it takes away.
func (s *State) adopt(now time.Time) {
	for r := range s.owned {
		if s.owners[r] != s.self {
			delete(s.owned, r)
			s.released = append(s.released, r)
			s.releasePromise(r, s.self, 0)
		}
	}
	for r, id := range s.owners {
		if id == s.self && s.owned[r] == nil {
			s.owned[r] = &owned{since: now, backed: map[fleet.InstanceID]backing{}}
			s.gained = true
		}
	}
	s.order = s.order[:0]
	for r := range s.owned {
		s.order = append(s.order, r)
	}
	sortResources(s.order)
	sortResources(s.released)
	s.changed = true
}

func sortResources(rs []wire.Resource) {
	sort.Slice(rs, func(i, j int) bool {
		if rs[i].Kind != rs[j].Kind {
			return rs[i].Kind < rs[j].Kind
		}
		return rs[i].ID < rs[j].ID
	})
}

// Owner returns the instance that owns a resource of this data centre by the
// current view, or "" when there is none.
func (s *State) Owner(r wire.Resource) fleet.InstanceID { return s.owners[r] }

// RemoteOwner returns the instance that owns an endpoint of another data centre by
// the current view, or "" when there is none.
func (s *State) RemoteOwner(e *fleet.Endpoint, peers Peers) fleet.InstanceID {
	key := resourceKey(wire.Resource{Kind: wire.ResourceEndpoint, ID: s.view.EndpointHash(e.ID)})
	return s.topOf(key, e.DataCentre, peers)
}

// RemoteKeySlotOwner returns the instance that is home to a key slot of another data centre.
func (s *State) RemoteKeySlotOwner(slot int, dc fleet.DataCentreID, peers Peers) fleet.InstanceID {
	return s.RemoteResourceOwner(KeySlotResource(slot), dc, peers)
}

// RemoteResourceOwner returns the instance that owns a resource in another data centre.
func (s *State) RemoteResourceOwner(r wire.Resource, dc fleet.DataCentreID, peers Peers) fleet.InstanceID {
	return s.topOf(resourceKey(r), dc, peers)
}

func (s *State) topOf(key uint64, dc fleet.DataCentreID, peers Peers) fleet.InstanceID {
	var best fleet.InstanceID
	var weight uint64
	for _, in := range s.view.InstancesIn(dc) {
		if !peers.Usable(in.ID) {
			continue
		}
		w := fleet.Weight(key, s.view.InstanceHash(in.ID))
		if best == "" || w > weight {
			best, weight = in.ID, w
		}
	}
	return best
}

// Owns tells whether this router owns a resource by its own view, backed or not.
func (s *State) Owns(r wire.Resource) bool { return s.owned[r] != nil }

// VoteShare returns the part of a resource that this router may use at now: its
// backers over the listed instances of the data centre that did not stop, 0 for a
// resource that it does not own.
func (s *State) VoteShare(now time.Time, r wire.Resource) float64 {
	return s.VoteShareSince(now, r, now)
}

// VoteShareSince is Share counting only backings that have lasted since from or longer.
func (s *State) VoteShareSince(now time.Time, r wire.Resource, from time.Time) float64 {
	o := s.owned[r]
	if o == nil || len(s.members) == 0 || s.stopped {
		return 0
	}
	n := 0
	for id, b := range o.backed {
		if b.until.After(now) && !b.from.After(from) && !s.hasLeft(now, id) {
			n++
		}
	}
	return float64(n) / float64(s.voters(now))
}

// UsableFraction returns how much of a resource an owner with a share of backers may use.
// Portions of owners whose shares add up to one add up to one at most, and an owner
// keeps the whole while a third of the routers do not answer.
func UsableFraction(share float64) float64 { return min(max(3*share-1, 0), 1) }

// voters returns the number of listed instances that count as backers.
func (s *State) voters(now time.Time) int {
	n := len(s.members)
	for id := range s.left {
		if s.hasLeft(now, id) {
			n--
		}
	}
	return max(n, 1)
}

// hasLeft tells whether a listed instance stopped as planned and is bound to nobody.
func (s *State) hasLeft(now time.Time, id fleet.InstanceID) bool {
	d, ok := s.left[id]
	return ok && !now.Before(d.from) && (d.until.IsZero() || now.Before(d.until))
}

// KeySlotOwnedSince returns since when this router has been backed for a key slot by more
// than two thirds of the listed instances without a break. Two instances cannot
// both be, while their lists differ by less than a third.
func (s *State) KeySlotOwnedSince(now time.Time, slot int) (time.Time, bool) {
	o := s.owned[KeySlotResource(slot)]
	if o == nil || s.stopped {
		return time.Time{}, false
	}
	var froms []time.Time
	for id, b := range o.backed {
		if b.until.After(now) && !s.hasLeft(now, id) {
			froms = append(froms, b.from)
		}
	}
	need := 2*s.voters(now)/3 + 1
	if len(froms) < need {
		return time.Time{}, false
	}
	sort.Slice(froms, func(i, j int) bool { return froms[i].Before(froms[j]) })
	return froms[need-1], true
}

// Owned returns the resources that this router owns by its own view, sorted.
func (s *State) Owned() []wire.Resource { return s.order }

// MemberCount returns the number of listed instances of the data centre.
func (s *State) MemberCount() int { return len(s.members) }
