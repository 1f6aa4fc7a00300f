package pool

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	minEntryTTL             = 2 * time.Second         // minimum lifetime of an entry without a refresh
	entryTTLPeriods         = 6                       // lifetime of an entry in gossip periods
	refreshesPerTTL         = 3                       // refreshes of an unchanged load within the lifetime
	smallChangeDivisor      = 32                      // a change of load by up to 1/32 waits for the next refresh
	minGossipPeriod         = 250 * time.Millisecond  // minimum time between gossip messages while loads are steady
	maxGossipPeriod         = 1500 * time.Millisecond // maximum of the same, in large pools
	gossipPeriodPerEndpoint = 25 * time.Millisecond   // increase of the period per endpoint of a pool
	urgentGossipPeriod      = 125 * time.Millisecond  // time between gossip messages after a large change
	ownerChangeGrace        = 5 * time.Second         // assumed maximum duration of a change of owner
	failureRecoveryTime     = 5 * time.Second         // time after a failure for which an endpoint stays in Total, because it may recover
	minLimitDivisor         = 2                       // an endpoint counts in the mean if it can carry 1/2 of it
	largeChangeDivisor      = 8                       // a change of load by more than 1/8 is large
	maxGossipEntries        = 24                      // maximum number of entries in a gossip message
	recentEntryAge          = 4 * time.Second         // age up to which received entries are gossiped
)

// Entry is the latest known load of one endpoint.
type Entry struct {
	Load           uint32
	Limit          uint32
	IncarnationLow uint32 // low 32 bits of the endpoint's incarnation
	Closed         bool
	version        uint64
	learnedAt      time.Time // when the entry was received, or its version was raised locally
	closedAt       time.Time // when Closed last became true
	local          bool
	publishedLoad  uint32 // load at the current version, local entries only
	gossipedLoad   uint32 // load when last gossiped, local entries only
}

// State holds the known loads of all listed endpoints.
type State struct {
	self            fleet.InstanceID
	rng             *rand.Rand
	view            *fleet.View
	endpointsByHash map[uint64]*fleet.Endpoint
	entries         map[uint64]*Entry // by endpoint hash
	members         map[fleet.Pool][]member
	ownedPools      []fleet.Pool  // pools in which this router owns endpoints
	lastGossip      time.Time     // when the last gossip message was sent
	urgent          bool          // whether urgentGossipPeriod applies to the next gossip message
	steadyPeriod    time.Duration // time between gossip messages while loads are steady
	entriesBuf      []*Entry      // reused by recentEntries
}

// member is an endpoint of a pool with its entry.
type member struct {
	id        fleet.EndpointID
	hash      uint64
	inService bool
	entry     *Entry
}

// New returns an empty state. The random source selects pools and gossip peers, and shuffles
// suggestions.
func New(self fleet.InstanceID, rng *rand.Rand) *State {
	return &State{
		self:            self,
		rng:             rng,
		view:            fleet.NewView(nil, nil, nil),
		endpointsByHash: map[uint64]*fleet.Endpoint{},
		entries:         map[uint64]*Entry{},
	}
}

// SetView replaces the published lists and drops the entries of unlisted endpoints.
func (s *State) SetView(v *fleet.View) {
	s.view = v
	clear(s.endpointsByHash)
	s.members = map[fleet.Pool][]member{}
	for i := range v.Endpoints.Endpoints {
		e := &v.Endpoints.Endpoints[i]
		h := v.EndpointHash(e.ID)
		s.endpointsByHash[h] = e
		p := v.PoolOf(e)
		s.members[p] = append(s.members[p], member{e.ID, h, v.InService(e), s.entry(h)})
	}
	for h := range s.entries {
		if s.endpointsByHash[h] == nil {
			delete(s.entries, h)
		}
	}
}

// SetOwned replaces the set of endpoints whose loads this router publishes.
func (s *State) SetOwned(ids []fleet.EndpointID) {
	for _, e := range s.entries {
		e.local = false
	}
	s.ownedPools = s.ownedPools[:0]
	defer s.updateSteadyPeriod()
	seen := map[fleet.Pool]bool{}
	for _, id := range ids {
		e := s.view.Endpoint(id)
		if e == nil {
			continue
		}
		s.entry(s.view.EndpointHash(id)).local = true
		if p := s.view.PoolOf(e); !seen[p] {
			seen[p] = true
			s.ownedPools = append(s.ownedPools, p)
		}
	}
}

func (s *State) entry(h uint64) *Entry {
	e := s.entries[h]
	if e == nil {
		e = &Entry{}
		s.entries[h] = e
	}
	return e
}

// SetLocal records the load of an endpoint that this router owns, and raises its version on a
// significant change or when a refresh is due. ID and Version of l are ignored.
func (s *State) SetLocal(now time.Time, h uint64, l wire.EndpointLoad) {
	e := s.entry(h)
	e.local = true
	changed := diff(l.Load, e.publishedLoad)*smallChangeDivisor > l.Load || e.IncarnationLow != l.IncarnationLow || e.Closed != l.Closed
	e.set(now, l)
	if !changed && now.Sub(e.learnedAt) < s.entryTTL()/refreshesPerTTL {
		return
	}
	e.publishedLoad = l.Load
	e.learnedAt = now
	e.version++
	if diff(l.Load, e.gossipedLoad)*largeChangeDivisor > e.gossipedLoad+largeChangeDivisor {
		s.urgent = true
	}
}

func (e *Entry) set(now time.Time, l wire.EndpointLoad) {
	if l.Closed && !e.Closed {
		e.closedAt = now
	}
	e.Load, e.Limit, e.IncarnationLow, e.Closed = l.Load, l.Limit, l.IncarnationLow, l.Closed
}

func diff(a, b uint32) uint32 {
	if a > b {
		return a - b
	}
	return b - a
}

// Known returns the entry of an endpoint, or false if there is none within its TTL.
func (s *State) Known(now time.Time, h uint64) (Entry, bool) {
	e := s.entries[h]
	if e == nil || !e.recent(now, s.entryTTL()) {
		return Entry{}, false
	}
	return *e, true
}

// recent reports whether the entry was received or refreshed within the given time.
func (e *Entry) recent(now time.Time, within time.Duration) bool {
	return e.version > 0 && now.Sub(e.learnedAt) <= within
}

// entryTTL returns the lifetime of an entry without a refresh.
func (s *State) entryTTL() time.Duration { return max(minEntryTTL, entryTTLPeriods*s.steadyPeriod) }

// UnconstrainedTotal returns the total load and the number of a pool's endpoints that are in service,
// have a known load and can carry 1/minLimitDivisor of the mean. Counting a cold or failing endpoint
// would lower the bound of the others below the load that they must carry in its place.
func (s *State) UnconstrainedTotal(now time.Time, p fleet.Pool) (load, n int) {
	known := s.recentEntries(now, p, func(e *Entry) bool { return e.Limit > 0 })
	for {
		load, n = sum(known)
		kept := known[:0]
		for _, e := range known {
			if e.serviceLimit(now)*n*minLimitDivisor >= load {
				kept = append(kept, e)
			}
		}
		if len(kept) == n {
			return load, n
		}
		known = kept
	}
}

// Total returns the total load and the number of a pool's endpoints that are in service and
// have a known load. It includes cold endpoints and those that failed recently, because they
// may count in the mean again before this router receives their new entry.
func (s *State) Total(now time.Time, p fleet.Pool) (load, n int) {
	return sum(s.recentEntries(now, p, func(e *Entry) bool {
		return e.Limit > 0 || e.Closed && now.Sub(e.closedAt) < failureRecoveryTime
	}))
}

// recentEntries returns the unexpired entries of a pool's endpoints in service that satisfy
// counts. The slice is valid until the next call.
func (s *State) recentEntries(now time.Time, p fleet.Pool, counts func(*Entry) bool) []*Entry {
	ttl := s.entryTTL()
	known := s.entriesBuf[:0]
	for _, m := range s.members[p] {
		if m.inService && m.entry.recent(now, ttl) && counts(m.entry) {
			known = append(known, m.entry)
		}
	}
	s.entriesBuf = known
	return known
}

// serviceLimit returns how many requests the endpoint can run. An endpoint that has been closed
// for longer than a change of owner takes is limited to its remaining load, until that has drained.
func (e *Entry) serviceLimit(now time.Time) int {
	if e.Closed && now.Sub(e.closedAt) >= ownerChangeGrace {
		return int(min(e.Limit, e.Load))
	}
	return int(e.Limit)
}

func sum(es []*Entry) (load, n int) {
	for _, e := range es {
		load += int(e.Load)
	}
	return load, len(es)
}

// Suggest returns up to limit endpoints of a pool other than exclude, least loaded first and
// those at their limit last. Endpoints with the same load are in random order.
func (s *State) Suggest(now time.Time, p fleet.Pool, exclude fleet.EndpointID, limit int) []fleet.EndpointID {
	type option struct {
		id   fleet.EndpointID
		load float64
	}
	var opts []option
	ttl := s.entryTTL()
	for _, m := range s.members[p] {
		e := m.entry
		if m.id == exclude || !m.inService || e.Closed || !e.recent(now, ttl) {
			continue
		}
		load := float64(e.Load)
		if e.Load >= e.Limit {
			load += 1 << 20
		}
		opts = append(opts, option{m.id, load})
	}
	s.rng.Shuffle(len(opts), func(i, j int) { opts[i], opts[j] = opts[j], opts[i] })
	sort.SliceStable(opts, func(i, j int) bool { return opts[i].load < opts[j].load })
	var out []fleet.EndpointID
	for _, o := range opts[:min(limit, len(opts))] {
		out = append(out, o.id)
	}
	return out
}
