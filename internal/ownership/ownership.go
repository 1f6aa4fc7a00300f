package ownership

import (
	"maps"
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// KeySlots is the number of hash slots of idempotency keys.
const KeySlots = 256

const (
	defaultClaimInterval   = 500 * time.Millisecond // initial claimInterval, and a fixed part of the vote TTL in a large data centre
	smallDataCentreSize    = 9                      // maximum number of instances of a small data centre
	smallTTLIntervals      = 3                      // vote TTL in a small data centre, in claim intervals
	largeTTLIntervals      = 2                      // the same in a large data centre, where defaultClaimInterval is added
	clockDriftMargin       = 20 * time.Millisecond  // maximum drift of a voter's clock during one vote
	maxTTLExcess           = time.Second            // maximum excess of a claim's TTL over this router's VoteTTL
	maxClaimResources      = 4096                   // longer lists are granted no votes
	expeditedClaimInterval = 500 * time.Millisecond // minimum between rounds of expedited claims to all peers
	restartMargin          = 200 * time.Millisecond // a restarted peer counts as a voter again this long before it may grant votes
	selfVotesPerInterval   = 4                      // votes of a router for itself per claim interval
	claimSeqBits           = 20                     // claims of one incarnation before their numbers reach those of the next
	maxUnackedClaims       = 4                      // per peer; acknowledgements of older claims are ignored
)

// Eligibility reports which instances may own resources.
type Eligibility interface {
	// Usable reports whether the instance is listed, not suspected, not leaving and not starting.
	Usable(fleet.InstanceID) bool
}

// State is the ownership state of one router. The zero value is not usable.
type State struct {
	self          fleet.InstanceID
	dc            fleet.DataCentreID
	started       time.Time
	claimInterval time.Duration // between claims to the same peer

	view            *fleet.View
	instances       []fleet.InstanceID // listed instances of the data centre, sorted
	eligible        []candidate        // instances that may own resources
	owned           map[wire.Resource]*ownedResource
	ownedSorted     []wire.Resource                    // keys of owned, sorted
	owners          map[wire.Resource]fleet.InstanceID // of all resources of the data centre, in this router's view
	grantedVotes    map[wire.Resource]grantedVote
	released        []wire.Resource // since the last round of claims to all peers
	hasNewResources bool            // resources were gained since the last round of claims to all peers
	lastExpedited   time.Time       // time of the last expedited round of claims
	lastSelfVote    time.Time       // time of the last votes of this router for itself
	unacked         map[fleet.InstanceID][]sentClaim
	lastClaims      map[fleet.InstanceID]lastClaim
	stoppedPeers    map[fleet.InstanceID]peerStop
	seq             uint64 // of the last claim
	stopped         bool

	listVersion      uint64                           // version of claimedResources
	claimedResources []wire.Resource                  // list sent in claims
	listChanged      bool                             // ownedSorted differs from claimedResources
	needFullList     []fleet.InstanceID               // peers to which a claim with the full list is sent before it is due
	ackedVersions    map[fleet.InstanceID]uint64      // last list version that a peer acknowledged
	peerLists        map[fleet.InstanceID]claimedList // last full list of each peer
}

type candidate struct {
	id   fleet.InstanceID
	hash uint64
}

// ownedResource is a resource that this router owns in its view.
type ownedResource struct {
	since time.Time // time of the view that made this router the owner
	votes map[fleet.InstanceID]receivedVote
}

type receivedVote struct {
	from  time.Time // start of the uninterrupted validity of the peer's votes
	until time.Time
}

// grantedVote is a vote of this router for one incarnation of an owner. inc is 0 if the owner is
// this router itself.
type grantedVote struct {
	owner fleet.InstanceID
	inc   fleet.Incarnation
	until time.Time
}

// lastClaim is the last claim received from a peer. Earlier ones that arrive later are ignored.
type lastClaim struct {
	inc fleet.Incarnation
	seq uint64
}

// sentClaim is a claim that has not been acknowledged yet.
type sentClaim struct {
	seq         uint64
	sentAt      time.Time
	ttl         time.Duration
	listVersion uint64
	resources   []wire.Resource
}

// peerStop is an incarnation of a peer that announced that it is stopping. The peer does not count
// as a voter between from and until. until is zero while no claim of a later incarnation was
// received.
type peerStop struct {
	inc         fleet.Incarnation
	from, until time.Time
}

// claimedList is the list of resources claimed by one incarnation of a peer.
type claimedList struct {
	inc         fleet.Incarnation
	listVersion uint64
	resources   []wire.Resource
}

// New returns the state of an instance that started now. It owns no resources and has granted
// no votes.
//
// Claims are numbered from a value that depends on the incarnation, so that an acknowledgement of a claim of
// an earlier incarnation, which may arrive after a restart, matches no claim of this one.
func New(now time.Time, self fleet.InstanceID, dc fleet.DataCentreID, inc fleet.Incarnation) *State {
	return &State{
		self:          self,
		dc:            dc,
		started:       now,
		claimInterval: defaultClaimInterval,
		view:          fleet.NewView(nil, nil, nil),
		owned:         map[wire.Resource]*ownedResource{},
		owners:        map[wire.Resource]fleet.InstanceID{},
		grantedVotes:  map[wire.Resource]grantedVote{},
		unacked:       map[fleet.InstanceID][]sentClaim{},
		lastClaims:    map[fleet.InstanceID]lastClaim{},
		stoppedPeers:  map[fleet.InstanceID]peerStop{},
		ackedVersions: map[fleet.InstanceID]uint64{},
		peerLists:     map[fleet.InstanceID]claimedList{},
		listChanged:   true,
		seq:           uint64(inc) << claimSeqBits,
	}
}

// Update recomputes the owners after a change of the view or of the eligible instances.
func (s *State) Update(now time.Time, v *fleet.View, peers Eligibility) {
	s.view = v
	s.instances = s.instances[:0]
	s.eligible = s.eligible[:0]
	for _, in := range v.InstancesIn(s.dc) {
		s.instances = append(s.instances, in.ID)
		if peers.Usable(in.ID) && !(s.stopped && in.ID == s.self) {
			s.eligible = append(s.eligible, candidate{in.ID, v.InstanceHash(in.ID)})
		}
	}
	s.dropUnlistedPeers()
	owners := make(map[wire.Resource]fleet.InstanceID, len(s.owners))
	for _, r := range s.resources() {
		owners[r] = s.topCandidate(r)
	}
	s.owners = owners
	s.applyOwners(now)
}

func (s *State) dropUnlistedPeers() {
	deleteUnlisted(s, s.unacked)
	deleteUnlisted(s, s.lastClaims)
	deleteUnlisted(s, s.stoppedPeers)
	deleteUnlisted(s, s.peerLists)
	deleteUnlisted(s, s.ackedVersions)
	for _, o := range s.owned {
		deleteUnlisted(s, o.votes)
	}
}

// deleteUnlisted deletes the entries of instances that are not listed.
func deleteUnlisted[V any](s *State, m map[fleet.InstanceID]V) {
	maps.DeleteFunc(m, func(id fleet.InstanceID, _ V) bool { return !s.listed(id) })
}

func (s *State) listed(id fleet.InstanceID) bool {
	i := sort.Search(len(s.instances), func(i int) bool { return s.instances[i] >= id })
	return i < len(s.instances) && s.instances[i] == id
}

// topCandidate returns the eligible instance with the highest weight for a resource.
func (s *State) topCandidate(r wire.Resource) fleet.InstanceID {
	return highestWeight(resourceKey(r), s.eligible)
}

func highestWeight(key uint64, cs []candidate) fleet.InstanceID {
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

// applyOwners updates the owned resources from the owners map. Resources that this router no
// longer owns are released.
func (s *State) applyOwners(now time.Time) {
	for r := range s.owned {
		if s.owners[r] != s.self {
			delete(s.owned, r)
			s.released = append(s.released, r)
			s.releaseVote(r, s.self, 0)
		}
	}
	for r, id := range s.owners {
		if id == s.self && s.owned[r] == nil {
			s.owned[r] = &ownedResource{since: now, votes: map[fleet.InstanceID]receivedVote{}}
			s.hasNewResources = true
		}
	}
	s.ownedSorted = s.ownedSorted[:0]
	for r := range s.owned {
		s.ownedSorted = append(s.ownedSorted, r)
	}
	sortResources(s.ownedSorted)
	sortResources(s.released)
	s.listChanged = true
}

// Owner returns the owner of a resource of this data centre in the current view, or "" if there
// is none.
func (s *State) Owner(r wire.Resource) fleet.InstanceID { return s.owners[r] }

// RemoteEndpointOwner returns the owner of an endpoint of another data centre in the current view,
// or "" if there is none.
func (s *State) RemoteEndpointOwner(e *fleet.Endpoint, peers Eligibility) fleet.InstanceID {
	key := resourceKey(wire.Resource{Kind: wire.ResourceEndpoint, ID: s.view.EndpointHash(e.ID)})
	return s.ownerIn(key, e.DataCentre, peers)
}

// KeySlotOwnerIn returns the instance of a data centre that owns a key slot if the instances allowed
// by peers are the eligible ones.
func (s *State) KeySlotOwnerIn(slot int, dc fleet.DataCentreID, peers Eligibility) fleet.InstanceID {
	return s.ResourceOwnerIn(KeySlotResource(slot), dc, peers)
}

// ResourceOwnerIn returns the instance of a data centre that owns a resource if the instances allowed
// by peers are the eligible ones.
func (s *State) ResourceOwnerIn(r wire.Resource, dc fleet.DataCentreID, peers Eligibility) fleet.InstanceID {
	return s.ownerIn(resourceKey(r), dc, peers)
}

func (s *State) ownerIn(key uint64, dc fleet.DataCentreID, peers Eligibility) fleet.InstanceID {
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

// Owns reports whether this router owns a resource in its view, regardless of votes.
func (s *State) Owns(r wire.Resource) bool { return s.owned[r] != nil }

// Owned returns the resources that this router owns in its view, sorted.
func (s *State) Owned() []wire.Resource { return s.ownedSorted }

// InstanceCount returns the number of listed instances of the data centre.
func (s *State) InstanceCount() int { return len(s.instances) }
