package admission

import (
	"math"
	"sort"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/pool"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	startTTL       = 2 * time.Second        // in which a granted lease must be used
	reportFresh    = 10 * time.Second       // in which a report describes the endpoint
	maxReportLag   = 5 * time.Second        // assumed of an endpoint that does not report
	silentPolls    = 3                      // failed polls after which an endpoint is silent
	historySlack   = 300 * time.Millisecond // by which a report's age may be off
	historyEntries = 256
	defaultFull    = 64 // concurrent requests at full ramp without a published capacity
	minRetryAfter  = 500 * time.Millisecond
	maxRetryAfter  = 10 * time.Second
	suggestions    = 4 // endpoints named in a refusal
	refusalLoads   = 8 // loads passed on with a refusal
	maxLeases      = 4096
	roundingSlack  = 1e-6            // keeps a product of whole numbers from being rounded down
	lostReports    = 4               // in a row, below the count of leases, that show lost releases
	fallReports    = 2               // in a row, after which the foreign load falls
	lostAge        = 5 * time.Second // of a lease whose release may be lost
	innerMargin    = 0.6             // part of the multiple above 1 that admission uses
	coldMargin     = 0.2             // the same while endpoints are about to count in the mean
)

// MaxUnnoticedPause is the time for which the process may be paused without notice to admission.
const MaxUnnoticedPause = historySlack

// Options configures admission.
type Options struct {
	Multiple  float64       // of the pool's mean load that an endpoint may carry
	Ramp      time.Duration // from cold to full
	RampStart int           // concurrent requests at the start of the ramp
	MaxQueue  int           // requests that wait for one endpoint
}

// State holds the endpoints that this router owns.
type State struct {
	opts      Options
	own       *ownership.State
	pool      *pool.State
	view      *fleet.View
	endpoints map[fleet.EndpointID]*endpoint
	order     []fleet.EndpointID
	arrived   map[fleet.EndpointID]arrival
	released  releasedKeys
	resumed   time.Time // from which reports count after a pause of the process
	stats     Stats
}

// Stats counts decisions since the start.
type Stats struct {
	Granted   uint64 `json:"granted"`
	Queued    uint64 `json:"queued"`
	Refused   uint64 `json:"refused"`
	Expired   uint64 `json:"expired"`
	Lost      uint64 `json:"lost"`      // leases whose release was lost
	Displaced uint64 `json:"displaced"` // queued requests that gave way to a higher priority
}

// leaseKey identifies a lease among all holders.
type leaseKey struct {
	holder fleet.InstanceID
	inc    fleet.Incarnation
	id     uint64
}

// before orders keys.
func (k leaseKey) before(o leaseKey) bool {
	if k.holder != o.holder {
		return k.holder < o.holder
	}
	if k.inc != o.inc {
		return k.inc < o.inc
	}
	return k.id < o.id
}

type lease struct {
	granted time.Time
	expires time.Time
}

type endpoint struct {
	id     fleet.EndpointID
	hash   uint64
	res    wire.Resource
	leases map[leaseKey]lease
	queue  []waiter

	inc       fleet.Incarnation
	coldSince time.Time // start of the ramp, zero: warm
	rampBase  int

	report   fleet.LoadReport
	measured time.Time // zero: never reported
	handed   time.Time // when the former owner handed over, zero: it did not
	wholeAt  time.Time // when all routers last backed this one
	misses   int
	doubt    bool      // an attempt broke off since the last report
	foreign  int       // load that other owners admitted, at most
	likely   int       // the same, as the pool is told
	orphaned time.Time // when leases last came to count as foreign load
	history  history
	breaker  breaker
	lost     surplus // of leases over the reported load
	excess   surplus // of the foreign load over what the reports allow
	former   endings // of leases that earlier owners granted
	aged     endings // of leases that were old enough to count as lost
	rate     rateMeter
}

// New returns a state without endpoints.
func New(opts Options, own *ownership.State, p *pool.State) *State {
	return &State{
		opts:      opts,
		own:       own,
		pool:      p,
		view:      fleet.NewView(nil, nil, nil),
		endpoints: map[fleet.EndpointID]*endpoint{},
		arrived:   map[fleet.EndpointID]arrival{},
		released:  releasedKeys{known: map[leaseKey]bool{}},
	}
}

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// Change is an endpoint that this router began or ceased to own.
type Change struct {
	Endpoint fleet.EndpointID
	Owned    bool
}

// Update follows the ownership state after it changed. Waiting requests of endpoints
// that are no longer owned are told so.
func (s *State) Update(now time.Time, v *fleet.View, out *wire.Outbox) []Change {
	s.view = v
	var changes []Change
	owned := map[fleet.EndpointID]bool{}
	for i := range v.Endpoints.Endpoints {
		e := &v.Endpoints.Endpoints[i]
		r := wire.Resource{Kind: wire.ResourceEndpoint, ID: v.EndpointHash(e.ID)}
		if !s.own.Owns(r) {
			continue
		}
		owned[e.ID] = true
		if s.endpoints[e.ID] == nil {
			s.endpoints[e.ID] = newEndpoint(e.ID, r)
			s.takeOver(now, s.endpoints[e.ID])
			changes = append(changes, Change{e.ID, true})
		}
	}
	for _, id := range s.order {
		if !owned[id] {
			s.drop(now, s.endpoints[id], out)
			changes = append(changes, Change{id, false})
		}
	}
	s.order = s.order[:0]
	for id := range s.endpoints {
		s.order = append(s.order, id)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i] < s.order[j] })
	s.pool.SetOwned(s.order)
	return changes
}

func newEndpoint(id fleet.EndpointID, r wire.Resource) *endpoint {
	return &endpoint{id: id, hash: r.ID, res: r, leases: map[leaseKey]lease{}}
}

func (s *State) drop(now time.Time, e *endpoint, out *wire.Outbox) {
	next := s.own.Owner(e.res)
	s.handOver(now, e, next, out)
	for _, w := range e.queue {
		out.Send(w.key.holder, wire.LeaseReply{ID: w.key.id, Result: wire.LeaseNotOwner, Owner: next})
	}
	delete(s.endpoints, e.id)
}

// Load returns the leases and the foreign load of an owned endpoint, for dumps.
func (s *State) Load(id fleet.EndpointID) (counted, foreign, queued int, ok bool) {
	e := s.endpoints[id]
	if e == nil {
		return 0, 0, 0, false
	}
	return len(e.leases), e.foreign, len(e.queue), true
}

// Owned returns the endpoints that this router owns, sorted.
func (s *State) Owned() []fleet.EndpointID { return s.order }

// Limit returns how many requests an owned endpoint may carry at now under all owners
// together, and how many of them this owner may admit.
func (s *State) Limit(now time.Time, id fleet.EndpointID) (limit, share int) {
	e := s.endpoints[id]
	if e == nil {
		return 0, 0
	}
	return s.limit(now, e)
}

func (s *State) limit(now time.Time, e *endpoint) (limit, share int) {
	ep := s.view.Endpoint(e.id)
	if ep == nil {
		return 0, 0
	}
	limit = min(s.bounded(now, ep), s.capacity(ep, e), s.ramp(now, ep, e))
	return limit, int(float64(limit)*s.portion(now, e) + roundingSlack)
}

// bounded returns the bounded load: a multiple of the pool's mean, rounded up. The
// multiple is below the one that must hold, since the total may have fallen since it
// was learnt.
//
// A cold endpoint counts in the mean from the moment at which it can carry half of it,
// which is heard late. While some are cold, the others carry what they must in their
// place with a little room, and no more than if the cold ones counted already.
func (s *State) bounded(now time.Time, ep *fleet.Endpoint) int {
	total, n := s.pool.UnconstrainedTotal(now, s.view.PoolOf(ep))
	if n == 0 {
		return 1
	}
	mean := float64(total) / float64(n)
	multiple := 1 + (s.opts.Multiple-1)*innerMargin
	all, members := s.pool.Total(now, s.view.PoolOf(ep))
	atLeast := min(multiple, 1+(s.opts.Multiple-1)*coldMargin) * mean
	bound := max(atLeast, min(multiple*mean, multiple*float64(all)/float64(members)))
	return max(1, int(math.Ceil(bound)))
}

func (s *State) capacity(ep *fleet.Endpoint, e *endpoint) int {
	c := math.MaxInt32
	if ep.Capacity > 0 {
		c = ep.Capacity
	}
	if !e.measured.IsZero() && e.report.Capacity > 0 {
		c = min(c, e.report.Capacity)
	}
	return c
}

// ramp returns what the cold-start ramp allows.
func (s *State) ramp(now time.Time, ep *fleet.Endpoint, e *endpoint) int {
	if e.unmet() || e.doubt {
		return s.opts.RampStart
	}
	return s.warmth(now, ep, e)
}

// unmet tells whether neither a report nor the former owner told of the endpoint yet.
func (e *endpoint) unmet() bool { return e.measured.IsZero() && e.handed.IsZero() }

// warmth returns what the endpoint bears after what is known of its start.
func (s *State) warmth(now time.Time, ep *fleet.Endpoint, e *endpoint) int {
	if e.coldSince.IsZero() {
		return math.MaxInt32
	}
	done := float64(now.Sub(e.coldSince)) / float64(s.opts.Ramp)
	if done >= 1 {
		e.coldSince = time.Time{}
		return math.MaxInt32
	}
	full := defaultFull
	if ep.Capacity > 0 {
		full = ep.Capacity
	}
	return e.rampBase + int(done*float64(max(0, full-e.rampBase)))
}

// portion returns how much of the limit this owner may use.
func (s *State) portion(now time.Time, e *endpoint) float64 {
	return ownership.UsableFraction(s.share(now, e))
}

func (s *State) share(now time.Time, e *endpoint) float64 {
	if !e.handed.IsZero() {
		return s.own.VoteShare(now, e.res)
	}
	if e.measured.IsZero() {
		return s.own.VoteShareSince(now, e.res, now.Add(-maxReportLag))
	}
	return s.own.VoteShareSince(now, e.res, e.measured)
}

// admissible tells whether one more request may run at the endpoint.
func (s *State) admissible(now time.Time, e *endpoint) bool {
	limit, share := s.limit(now, e)
	counted := len(e.leases)
	return counted+1 <= share && counted+e.foreign+1 <= limit
}

// ability returns how many requests the endpoint could carry if the pool's mean allowed it.
func (s *State) ability(now time.Time, e *endpoint) int {
	ep := s.view.Endpoint(e.id)
	if ep == nil || !e.breaker.allows(now) || e.misses >= silentPolls {
		return 0
	}
	if e.unmet() {
		return s.knownAbility(now, ep, e)
	}
	return min(s.capacity(ep, e), s.warmth(now, ep, e))
}

// knownAbility returns what the former owner of an endpoint said of it, else its capacity.
func (s *State) knownAbility(now time.Time, ep *fleet.Endpoint, e *endpoint) int {
	if known, ok := s.pool.Known(now, e.hash); ok {
		return int(known.Limit)
	}
	return s.capacity(ep, e)
}

// publish tells the pool of the endpoint's load. What the former owner said of it stands
// until this one has met it.
func (s *State) publish(now time.Time, e *endpoint) {
	if e.unmet() && len(e.leases) == 0 {
		return
	}
	load := uint32(len(e.leases) + e.likely)
	s.pool.SetLocal(now, e.hash, wire.EndpointLoad{
		Load:           load,
		Limit:          uint32(s.ability(now, e)),
		IncarnationLow: uint32(e.inc),
		Closed:         s.portion(now, e) == 0 || !e.breaker.allows(now),
	})
}
