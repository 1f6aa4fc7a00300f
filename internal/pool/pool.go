package pool

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	minEntryTTL    = 2 * time.Second         // for which a load counts that its owner did not refresh
	entryPeriods   = 6                       // periods of gossip after which such a load counts no more
	refreshes      = 3                       // of an unchanged load before it would count no more
	newsFraction   = 32                      // a change of load up to 1/32 waits for the next refresh
	gossipMin      = 250 * time.Millisecond  // between digests while loads are steady
	gossipMax      = 1500 * time.Millisecond // the same, in large pools
	gossipPerEntry = 25 * time.Millisecond   // by which each endpoint of a pool lengthens it
	gossipHurry    = 125 * time.Millisecond  // between digests after a large change
	closedGrace    = 5 * time.Second         // in which a change of owner ends
	returnTime     = 5 * time.Second         // in which an endpoint that failed may be back
	ableDivisor    = 2                       // an endpoint counts while it can carry half of the mean
	hurryFraction  = 8                       // a change of load above 1/8 is large
	maxDigest      = 24                      // entries of one digest
	recentVersions = 4 * time.Second         // entries learnt within this time are worth passing on
)

// Entry is the load of one endpoint as this router knows it.
type Entry struct {
	Load     uint32
	Limit    uint32
	Inc      uint32
	Closed   bool
	version  uint64
	learnt   time.Time
	closedAt time.Time // since when the owner admits nothing
	local    bool
	said     uint32 // load of the version, local entries only
	sent     uint32 // load when it was last gossiped, local entries only
}

// State holds the loads that this router knows.
type State struct {
	self    fleet.InstanceID
	rng     *rand.Rand
	view    *fleet.View
	ids     map[uint64]*fleet.Endpoint
	entries map[uint64]*Entry // of all listed endpoints
	members map[fleet.Pool][]member
	pools   []fleet.Pool // in which this router owns endpoints
	last    time.Time    // of the last digest sent
	hurry   bool
	steady  time.Duration // between two digests while loads are steady
	scratch []*Entry      // of knownIn
}

// member is an endpoint of a pool with what this router knows of its load.
type member struct {
	id        fleet.EndpointID
	hash      uint64
	inService bool
	entry     *Entry
}

// New returns an empty state. The random source picks gossip partners.
func New(self fleet.InstanceID, rng *rand.Rand) *State {
	return &State{
		self:    self,
		rng:     rng,
		view:    fleet.NewView(nil, nil, nil),
		ids:     map[uint64]*fleet.Endpoint{},
		entries: map[uint64]*Entry{},
	}
}

// SetView replaces the published lists and forgets endpoints that are gone.
func (s *State) SetView(v *fleet.View) {
	s.view = v
	clear(s.ids)
	s.members = map[fleet.Pool][]member{}
	for i := range v.Endpoints.Endpoints {
		e := &v.Endpoints.Endpoints[i]
		h := v.EndpointHash(e.ID)
		s.ids[h] = e
		p := v.PoolOf(e)
		s.members[p] = append(s.members[p], member{e.ID, h, v.InService(e), s.entry(h)})
	}
	for h := range s.entries {
		if s.ids[h] == nil {
			delete(s.entries, h)
		}
	}
}

// SetOwned replaces the set of endpoints whose loads this router publishes.
func (s *State) SetOwned(ids []fleet.EndpointID) {
	for _, e := range s.entries {
		e.local = false
	}
	s.pools = s.pools[:0]
	defer s.setSteady()
	seen := map[fleet.Pool]bool{}
	for _, id := range ids {
		e := s.view.Endpoint(id)
		if e == nil {
			continue
		}
		s.entry(s.view.EndpointHash(id)).local = true
		if p := s.view.PoolOf(e); !seen[p] {
			seen[p] = true
			s.pools = append(s.pools, p)
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

// SetLocal records the load of an endpoint that this router owns. ID and Version of l
// are not used.
func (s *State) SetLocal(now time.Time, h uint64, l wire.EndpointLoad) {
	e := s.entry(h)
	e.local = true
	news := diff(l.Load, e.said)*newsFraction > l.Load || e.Inc != l.IncarnationLow || e.Closed != l.Closed
	e.set(now, l)
	if !news && now.Sub(e.learnt) < s.entryTTL()/refreshes {
		return
	}
	e.said = l.Load
	e.learnt = now
	e.version++
	if diff(l.Load, e.sent)*hurryFraction > e.sent+hurryFraction {
		s.hurry = true
	}
}

func (e *Entry) set(now time.Time, l wire.EndpointLoad) {
	if l.Closed && !e.Closed {
		e.closedAt = now
	}
	e.Load, e.Limit, e.Inc, e.Closed = l.Load, l.Limit, l.IncarnationLow, l.Closed
}

func diff(a, b uint32) uint32 {
	if a > b {
		return a - b
	}
	return b - a
}

// Known returns the entry of an endpoint, if one was learnt recently.
func (s *State) Known(now time.Time, h uint64) (Entry, bool) {
	e := s.entries[h]
	if e == nil || !e.recent(now, s.entryTTL()) {
		return Entry{}, false
	}
	return *e, true
}

// recent tells whether the entry was learnt within a time.
func (e *Entry) recent(now time.Time, within time.Duration) bool {
	return e.version > 0 && now.Sub(e.learnt) <= within
}

// entryTTL returns how long a load counts that its owner did not refresh.
func (s *State) entryTTL() time.Duration { return max(minEntryTTL, entryPeriods*s.steady) }

// UnconstrainedTotal returns the load and the number of a pool's endpoints in service, as far as
// their loads are known, without those that cannot carry half of the mean: a cold or
// failing endpoint in the count would hold the others below what they must carry in its place.
func (s *State) UnconstrainedTotal(now time.Time, p fleet.Pool) (load, n int) {
	known := s.knownIn(now, p, func(e *Entry) bool { return e.Limit > 0 })
	for {
		load, n = sum(known)
		kept := known[:0]
		for _, e := range known {
			if e.able(now)*n*ableDivisor >= load {
				kept = append(kept, e)
			}
		}
		if len(kept) == n {
			return load, n
		}
		known = kept
	}
}

// Total returns the load and the number of a pool's endpoints in service, as far as their
// loads are known. Cold endpoints and those that failed a moment ago are among them: they
// may count again before it is heard.
func (s *State) Total(now time.Time, p fleet.Pool) (load, n int) {
	return sum(s.knownIn(now, p, func(e *Entry) bool {
		return e.Limit > 0 || e.Closed && now.Sub(e.closedAt) < returnTime
	}))
}

// knownIn returns the recent entries of a pool's endpoints in service for which counts
// holds. The slice is valid until the next call.
func (s *State) knownIn(now time.Time, p fleet.Pool, counts func(*Entry) bool) []*Entry {
	ttl := s.entryTTL()
	known := s.scratch[:0]
	for _, m := range s.members[p] {
		if m.inService && m.entry.recent(now, ttl) && counts(m.entry) {
			known = append(known, m.entry)
		}
	}
	s.scratch = known
	return known
}

// able returns how many requests the endpoint can carry. One whose owner has admitted
// nothing for longer than a change of owner takes carries what it has until that has drained.
func (e *Entry) able(now time.Time) int {
	if e.Closed && now.Sub(e.closedAt) >= closedGrace {
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

// Suggest returns up to limit endpoints of a pool other than exclude, least loaded
// first and those at their limit last.
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
