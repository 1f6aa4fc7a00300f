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
	leaseStartTimeout  = 2 * time.Second        // time after a grant in which its request must start; added to the request's deadline
	reportFresh        = 10 * time.Second       // unused: reports do not expire by age
	maxReportLag       = 5 * time.Second        // assumed maximum delay of the first report
	maxFailedPolls     = 3                      // consecutive failed polls after which an endpoint is unavailable
	reportAgeTolerance = 300 * time.Millisecond // maximum error of a report's age
	leaseCountSamples  = 256                    // lease counts kept per endpoint, for comparison with delayed reports
	defaultCapacity    = 64                     // concurrent requests at the end of the ramp without a published capacity
	minRetryAfter      = 500 * time.Millisecond
	maxRetryAfter      = 10 * time.Second
	maxSuggestions     = 4 // endpoints suggested in a refusal
	maxRefusalLoads    = 8 // pool loads sent with a refusal
	maxLeases          = 4096
	roundingTolerance  = 1e-6            // keeps a floating-point error from rounding a whole result down
	lostReleaseReports = 4               // consecutive reports below the lease count that indicate lost releases
	foreignDropReports = 2               // consecutive reports of less load after which the foreign load falls
	minLostLeaseAge    = 5 * time.Second // minimum age of a lease that may be dropped as lost
	boundFraction      = 0.6             // the load bound is 1 + boundFraction*(Multiple-1) times the mean
	minBoundFraction   = 0.2             // least value of that fraction while the mean over all endpoints lowers the load bound
)

// MaxUnnoticedPause is the longest pause of the process that need not be reported by OnPause.
const MaxUnnoticedPause = reportAgeTolerance

// Options configures admission.
type Options struct {
	Multiple  float64       // maximum load of an endpoint, as a multiple of the pool's mean
	Ramp      time.Duration // duration of the cold-start ramp
	RampStart int           // concurrent requests at the start of the ramp
	MaxQueue  int           // maximum number of requests that wait for one endpoint
}

// State is the admission state of the endpoints that this router owns.
type State struct {
	opts             Options
	owners           *ownership.State
	pool             *pool.State
	view             *fleet.View
	endpoints        map[fleet.EndpointID]*endpoint
	order            []fleet.EndpointID
	handovers        map[fleet.EndpointID]receivedHandover
	released         releasedKeys
	reportsValidFrom time.Time // reports measured earlier are ignored, set after a pause
	stats            Stats
}

// Stats counts decisions since the process started.
type Stats struct {
	Granted   uint64 `json:"granted"`
	Queued    uint64 `json:"queued"`
	Refused   uint64 `json:"refused"`
	Expired   uint64 `json:"expired"`
	Lost      uint64 `json:"lost"`      // leases dropped because their release was lost
	Displaced uint64 `json:"displaced"` // queued requests displaced by ones that sort before them
}

// leaseKey identifies a lease across all holders.
type leaseKey struct {
	holder fleet.InstanceID
	inc    fleet.Incarnation
	id     uint64
}

// before orders keys by holder, incarnation and ID.
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

	inc           fleet.Incarnation
	rampStartedAt time.Time // start of the ramp, zero if the endpoint is warm
	rampBase      int       // limit at the start of the ramp

	report           fleet.LoadReport
	measured         time.Time // when report was measured, zero: never reported
	handedOverAt     time.Time // when the former owner's handover was applied, zero: none or superseded by a report
	fullShareAt      time.Time // when this router last held the votes of all routers
	failedPolls      int
	restartSuspected bool      // an attempt failed since the last report
	foreignMax       int       // conservative estimate of the foreign load, used by admission
	foreignMin       int       // lower bound of the foreign load, sent to the pool
	foreignAddedAt   time.Time // when the foreign load was last raised by dropped leases
	history          history
	breaker          breaker
	lostLeases       excessTracker // leases in excess of the reported load
	foreignExcess    excessTracker // foreignMax in excess of the upper bound from the reports
	formerEnded      recentEndings // recently ended leases of earlier owners
	agedEnded        recentEndings // recently released leases of an age of minLostLeaseAge or more
	releaseInterval  intervalMeter
}

// New returns a state without endpoints.
func New(opts Options, owners *ownership.State, p *pool.State) *State {
	return &State{
		opts:      opts,
		owners:    owners,
		pool:      p,
		view:      fleet.NewView(nil, nil, nil),
		endpoints: map[fleet.EndpointID]*endpoint{},
		handovers: map[fleet.EndpointID]receivedHandover{},
		released:  releasedKeys{known: map[leaseKey]bool{}},
	}
}

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// OwnershipChange reports that this router gained or lost the ownership of an endpoint.
type OwnershipChange struct {
	Endpoint fleet.EndpointID
	Owned    bool
}

// Update applies a change of the view or the ownership state. Requests that wait for an endpoint
// that is no longer owned get the reply LeaseNotOwner.
func (s *State) Update(now time.Time, v *fleet.View, out *wire.Outbox) []OwnershipChange {
	s.view = v
	var changes []OwnershipChange
	owned := map[fleet.EndpointID]bool{}
	for i := range v.Endpoints.Endpoints {
		e := &v.Endpoints.Endpoints[i]
		r := wire.Resource{Kind: wire.ResourceEndpoint, ID: v.EndpointHash(e.ID)}
		if !s.owners.Owns(r) {
			continue
		}
		owned[e.ID] = true
		if s.endpoints[e.ID] == nil {
			s.endpoints[e.ID] = newEndpoint(e.ID, r)
			s.applyHandover(now, s.endpoints[e.ID])
			changes = append(changes, OwnershipChange{e.ID, true})
		}
	}
	for _, id := range s.order {
		if !owned[id] {
			s.drop(now, s.endpoints[id], out)
			changes = append(changes, OwnershipChange{id, false})
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
	next := s.owners.Owner(e.res)
	s.sendHandover(now, e, next, out)
	for _, w := range e.queue {
		out.Send(w.key.holder, wire.LeaseReply{ID: w.key.id, Result: wire.LeaseNotOwner, Owner: next})
	}
	delete(s.endpoints, e.id)
}

// Load returns the number of leases, the foreign load and the queue length of an owned endpoint, for
// dumps.
func (s *State) Load(id fleet.EndpointID) (counted, foreign, queued int, ok bool) {
	e := s.endpoints[id]
	if e == nil {
		return 0, 0, 0, false
	}
	return len(e.leases), e.foreignMax, len(e.queue), true
}

// Owned returns the endpoints that this router owns, sorted.
func (s *State) Owned() []fleet.EndpointID { return s.order }

// Limit returns how many concurrent requests an owned endpoint may run under all owners together,
// and how many of them this owner may admit with its votes.
func (s *State) Limit(now time.Time, id fleet.EndpointID) (limit, usable int) {
	e := s.endpoints[id]
	if e == nil {
		return 0, 0
	}
	return s.limit(now, e)
}

func (s *State) limit(now time.Time, e *endpoint) (limit, usable int) {
	ep := s.view.Endpoint(e.id)
	if ep == nil {
		return 0, 0
	}
	limit = min(s.loadBound(now, ep), s.capacity(ep, e), s.coldStartLimit(now, ep, e))
	return limit, int(float64(limit)*s.usableFraction(now, e) + roundingTolerance)
}

// loadBound returns the load bound: a multiple of the mean load of the pool's warm endpoints, rounded
// up. The multiple is below Options.Multiple, because the total may have fallen since it was received.
//
// A cold or failed endpoint joins the mean once it can carry half of it, which lowers the mean.
// Routers apply the lower mean only after a delay. The same multiple of the mean over all endpoints
// therefore applies if it is lower, but the bound is at least 1 + minBoundFraction*(Multiple-1) times
// the mean of the warm endpoints, because these must carry the load in place of the others.
func (s *State) loadBound(now time.Time, ep *fleet.Endpoint) int {
	total, n := s.pool.UnconstrainedTotal(now, s.view.PoolOf(ep))
	if n == 0 {
		return 1
	}
	mean := float64(total) / float64(n)
	multiple := 1 + (s.opts.Multiple-1)*boundFraction
	all, members := s.pool.Total(now, s.view.PoolOf(ep))
	lower := min(multiple, 1+(s.opts.Multiple-1)*minBoundFraction) * mean
	bound := max(lower, min(multiple*mean, multiple*float64(all)/float64(members)))
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

// coldStartLimit returns the limit of the cold-start ramp. It is RampStart while the endpoint is
// unobserved or may have restarted.
func (s *State) coldStartLimit(now time.Time, ep *fleet.Endpoint, e *endpoint) int {
	if e.unobserved() || e.restartSuspected {
		return s.opts.RampStart
	}
	return s.rampLimit(now, ep, e)
}

// unobserved reports whether neither a load report nor a handover has arrived yet.
func (e *endpoint) unobserved() bool { return e.measured.IsZero() && e.handedOverAt.IsZero() }

// rampLimit returns the limit at the current point of the ramp.
func (s *State) rampLimit(now time.Time, ep *fleet.Endpoint, e *endpoint) int {
	if e.rampStartedAt.IsZero() {
		return math.MaxInt32
	}
	done := float64(now.Sub(e.rampStartedAt)) / float64(s.opts.Ramp)
	if done >= 1 {
		e.rampStartedAt = time.Time{}
		return math.MaxInt32
	}
	full := defaultCapacity
	if ep.Capacity > 0 {
		full = ep.Capacity
	}
	return e.rampBase + int(done*float64(max(0, full-e.rampBase)))
}

// usableFraction returns the fraction of the limit that this owner may use.
func (s *State) usableFraction(now time.Time, e *endpoint) float64 {
	return ownership.UsableFraction(s.voteShare(now, e))
}

// voteShare returns the share of votes that count for the endpoint, see the package comment.
func (s *State) voteShare(now time.Time, e *endpoint) float64 {
	if !e.handedOverAt.IsZero() {
		return s.owners.VoteShare(now, e.res)
	}
	if e.measured.IsZero() {
		return s.owners.VoteShareSince(now, e.res, now.Add(-maxReportLag))
	}
	return s.owners.VoteShareSince(now, e.res, e.measured)
}

// admissible reports whether the endpoint may run one more request.
func (s *State) admissible(now time.Time, e *endpoint) bool {
	limit, usable := s.limit(now, e)
	counted := len(e.leases)
	return counted+1 <= usable && counted+e.foreignMax+1 <= limit
}

// serviceLimit returns how many requests the endpoint can run, regardless of the pool's mean.
func (s *State) serviceLimit(now time.Time, e *endpoint) int {
	ep := s.view.Endpoint(e.id)
	if ep == nil || !e.breaker.allows(now) || e.failedPolls >= maxFailedPolls {
		return 0
	}
	if e.unobserved() {
		return s.lastKnownLimit(now, ep, e)
	}
	return min(s.capacity(ep, e), s.rampLimit(now, ep, e))
}

// lastKnownLimit returns the limit that the former owner published, or else the capacity.
func (s *State) lastKnownLimit(now time.Time, ep *fleet.Endpoint, e *endpoint) int {
	if known, ok := s.pool.Known(now, e.hash); ok {
		return int(known.Limit)
	}
	return s.capacity(ep, e)
}

// publish records the endpoint's load in the pool. The former owner's entry is kept until this router
// has a report, a handover or a lease of the endpoint.
func (s *State) publish(now time.Time, e *endpoint) {
	if e.unobserved() && len(e.leases) == 0 {
		return
	}
	load := uint32(len(e.leases) + e.foreignMin)
	s.pool.SetLocal(now, e.hash, wire.EndpointLoad{
		Load:           load,
		Limit:          uint32(s.serviceLimit(now, e)),
		IncarnationLow: uint32(e.inc),
		Closed:         s.usableFraction(now, e) == 0 || !e.breaker.allows(now),
	})
}
