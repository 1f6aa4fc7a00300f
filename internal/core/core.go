package core

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/admission"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/feed"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/limits"
	"github.com/dandelionvane/dandelionvane/internal/membership"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/pool"
	"github.com/dandelionvane/dandelionvane/internal/redeem"
	"github.com/dandelionvane/dandelionvane/internal/retry"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// membershipPauseThreshold is the shortest gap between two events that is reported to membership
// and logged as a pause of this process.
const membershipPauseThreshold = 2 * time.Second

// Core is the decision state machine of one router. See the package comment for its contract.
type Core struct {
	opts Options
	rng  *rand.Rand
	now  time.Time

	feed       *feed.State
	members    *membership.State
	ownership  *ownership.State
	pool       *pool.State
	admission  *admission.State
	quotaOwner *limits.Owner
	budget     *retry.Budget
	backoff    retry.Backoff

	quotaBorrower *limits.Borrower
	redeemServer  *redeem.Server
	redeemClient  *redeem.Client

	limitedWorkspaces map[uint64]fleet.WorkspaceID          // workspaces with limits, by resource ID
	abandonedAcquires map[fleet.RequestID]fleet.WorkspaceID // finished while their acquire was pending
	lastSlotReport    time.Time                             // of this router to its own quota owner

	view               *fleet.View // last view applied to the components
	membershipVersion  uint64
	starting           map[fleet.InstanceID]bool // peers that may not own resources yet
	selfStarting       bool
	ownershipStale     bool // the view or the eligible owners changed
	platformUnreadable bool
	watchingPlatform   bool
	ready              bool

	requests          map[fleet.RequestID]*request
	byArrival         []*request // includes finished requests until the next tick
	byLease           map[uint64]*request
	leaseSeq          uint64
	leaseUpdates      map[fleet.InstanceID]*wire.LeaseUpdate // sent at the end of the step
	leaseUpdateOwners []fleet.InstanceID

	stopping          bool
	stopped           bool
	stopSince         time.Time
	ownershipReleased bool
	handoverEnded     bool // each group of ticket and key records was handed over or abandoned

	explanations explanationRing
	stats        Stats
	counts       labelledCounters
	outbox       wire.Outbox
	delivered    int // outbox items already turned into actions
	actions      []Action
}

// New returns the core of a process that starts at now.
func New(now time.Time, opts Options) *Core {
	c := &Core{
		opts:              opts,
		rng:               rand.New(rand.NewPCG(opts.RandomSeed, uint64(opts.Incarnation))),
		now:               now,
		ownership:         ownership.New(now, opts.Self, opts.DataCentre, opts.Incarnation),
		starting:          map[fleet.InstanceID]bool{},
		requests:          map[fleet.RequestID]*request{},
		byLease:           map[uint64]*request{},
		limitedWorkspaces: map[uint64]fleet.WorkspaceID{},
		abandonedAcquires: map[fleet.RequestID]fleet.WorkspaceID{},
		leaseUpdates:      map[fleet.InstanceID]*wire.LeaseUpdate{},
		counts:            newLabelledCounters(),
		view:              fleet.NewView(nil, nil, nil),
	}
	c.members = membership.New(opts.Self, opts.DataCentre, membership.Options{})
	c.feed = feed.New(opts.Self, opts.DataCentre, feed.Options{SeedPeers: seedIDs(opts.SeedPeers), Usable: c.members.Usable})
	c.pool = pool.New(opts.Self, c.rng)
	c.admission = admission.New(admission.Options{
		Multiple:  opts.LoadMultiple,
		Ramp:      opts.RampTime,
		RampStart: opts.RampStart,
		MaxQueue:  opts.MaxQueue,
	}, c.ownership, c.pool)
	c.initQuota()
	c.initRedemption()
	budgets := retry.DefaultOptions()
	budgets.RouterRatio = opts.RetryRatio
	c.budget = retry.NewBudget(budgets)
	c.backoff = retry.Backoff{Base: opts.BackoffBase, Max: opts.BackoffMax}
	return c
}

func (c *Core) initQuota() {
	o := limits.DefaultOptions()
	o.Self = c.opts.Self
	o.DataCentre = c.opts.DataCentre
	c.quotaOwner = limits.NewOwner(o, c.rng)
	c.quotaBorrower = limits.NewBorrower(o, c.rng)
}

func (c *Core) initRedemption() {
	o := redeem.DefaultOptions()
	o.Self = c.opts.Self
	o.DataCentre = c.opts.DataCentre
	o.Incarnation = c.opts.Incarnation
	o.TicketTTL = c.opts.TicketTTL
	o.Retention = c.opts.TicketTTL
	o.KeyLifetime = c.opts.KeyLifetime
	o.KeySlots = ownership.KeySlots
	c.redeemServer = redeem.NewServer(o, c.rng)
	c.redeemClient = redeem.NewClient(o, c.rng)
}

func seedIDs(seeds []SeedPeer) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, s := range seeds {
		ids = append(ids, s.ID)
	}
	return ids
}

// Step processes one event that occurs at now and returns the resulting actions in order.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.actions = c.actions[:0]
	c.detectPause(now)
	c.now = now
	c.handle(ev)
	c.flushOutbox()
	c.applyChanges()
	c.flushOutbox()
	return c.actions
}

// detectPause reports a pause of this process, that is, a gap between two events: to admission
// above admission.MaxUnnoticedPause, because load reports from the time of a pause cannot be
// compared with leases, and to membership from membershipPauseThreshold on, because missing
// messages of a peer are then no evidence of its failure.
func (c *Core) detectPause(now time.Time) {
	gap := now.Sub(c.now)
	if gap > admission.MaxUnnoticedPause {
		c.admission.OnPause(now)
	}
	if gap < membershipPauseThreshold {
		return
	}
	c.members.OnPause(now, gap)
	c.log(event.ProcessPaused, gap.String())
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
		c.onTick()
	case PeerMessage:
		c.onPeerMessage(ev)
	case PeerUnreachable:
		c.members.OnTimeout(c.now, ev.Peer)
	case CallerRequest:
		c.onCallerRequest(ev)
	case CallerGone:
		c.onCallerGone(ev)
	case TicketRequest:
		c.onTicketRequest(ev)
	case AttemptNotSent:
		c.onAttemptNotSent(ev)
	case AttemptStarted:
		c.onAttemptStarted(ev)
	case AttemptLost:
		c.onAttemptLost(ev)
	case AttemptDone:
		c.onAttemptDone(ev)
	case EndpointReport:
		c.onEndpointReport(ev.Report)
	case EndpointPollFailed:
		c.onEndpointPollFailed(ev.Endpoint)
	case Stop:
		c.onStop()
	default:
		c.handlePlatform(ev)
	}
}

func (c *Core) handlePlatform(ev Event) {
	switch ev := ev.(type) {
	case PublishedConfig:
		c.onPlatformReadable()
		c.logConfigResult(c.feed.OfferConfig(c.now, ev.Config, &c.outbox))
	case PublishedInstances:
		c.onPlatformReadable()
		c.logConfigResult(c.feed.OfferInstances(c.now, ev.List, &c.outbox))
	case PublishedEndpoints:
		c.onPlatformReadable()
		c.logConfigResult(c.feed.OfferEndpoints(c.now, ev.List, &c.outbox))
	case PublishedInvalid:
		c.onPlatformReadable()
		c.logf(event.ConfigRefused, "revision %d: %s", ev.Revision, ev.Detail)
	case PlatformUnreadable:
		if !c.platformUnreadable {
			c.platformUnreadable = true
			c.log(event.PlatformUnreadable, "")
		}
	default:
		panic("core: unknown event type")
	}
}

func (c *Core) onPlatformReadable() {
	if c.platformUnreadable {
		c.platformUnreadable = false
		c.log(event.PlatformReadable, "")
	}
}

// logConfigResult logs the adoption or rejection of a configuration. Results of other feeds are not
// logged.
func (c *Core) logConfigResult(r feed.Result) {
	if r.Feed != wire.FeedConfig {
		return
	}
	switch r.Outcome {
	case feed.Adopted:
		c.logf(event.ConfigAdopted, "revision %d", r.Revision)
	case feed.Rejected:
		c.logf(event.ConfigRefused, "revision %d: %v", r.Revision, r.Err)
	}
}

func (c *Core) onTick() {
	c.feed.Tick(c.now, &c.outbox)
	due := c.members.TakeDueHeartbeats(c.now)
	c.ownership.SetClaimInterval(c.members.Period())
	c.ownership.Tick(c.now, due, c.members.Suspects(), &c.outbox)
	c.admission.Tick(c.now, &c.outbox)
	c.pool.Tick(c.now, c.endpointOwner, &c.outbox)
	c.tickQuota()
	c.tickRedemptions()
	c.tickRequests()
	c.tickStop()
}

// ConfigRevision returns the revision of the current configuration.
func (c *Core) ConfigRevision() fleet.Revision { return c.view.Config.Revision }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }
