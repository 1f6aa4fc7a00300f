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

// pauseThreshold is the time between two events after which the process counts as
// having been paused.
const pauseThreshold = 2 * time.Second

// Core is the decision state machine of one router. See the package comment for its contract.
type Core struct {
	opts Options
	rng  *rand.Rand
	now  time.Time

	feed    *feed.State
	members *membership.State
	own     *ownership.State
	pool    *pool.State
	admit   *admission.State
	lender  *limits.Owner
	budget  *retry.Budget
	backoff retry.Backoff

	borrower   *limits.Borrower
	redeemHome *redeem.Server
	redeemer   *redeem.Client

	limited  map[uint64]fleet.WorkspaceID          // workspaces with limits, by resource ID
	strays   map[fleet.RequestID]fleet.WorkspaceID // ended while they waited for limits
	selfHeld time.Time

	view          *fleet.View // that the slices were last updated to
	memberVersion uint64
	starting      map[fleet.InstanceID]bool // peers that take no duties yet
	selfStarting  bool
	dutiesChanged bool
	platformDown  bool
	watching      bool
	ready         bool

	requests map[fleet.RequestID]*request
	order    []*request // in order of arrival, finished ones included until the next sweep
	byLease  map[uint64]*request
	leaseSeq uint64
	updates  map[fleet.InstanceID]*wire.LeaseUpdate // to be sent at the end of the step
	updateTo []fleet.InstanceID

	stopping  bool
	stopped   bool
	stopSince time.Time
	released  bool // duties were given up
	handed    bool // records of tickets and keys were passed on or given up

	explained ring
	stats     Stats
	counts    counts
	out       wire.Outbox
	sent      int // items of out that were carried over into acts
	acts      []Action
}

// New returns the core of a process that starts now.
func New(now time.Time, opts Options) *Core {
	c := &Core{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.RandomSeed, uint64(opts.Incarnation))),
		now:      now,
		own:      ownership.New(now, opts.Self, opts.DataCentre),
		starting: map[fleet.InstanceID]bool{},
		requests: map[fleet.RequestID]*request{},
		byLease:  map[uint64]*request{},
		limited:  map[uint64]fleet.WorkspaceID{},
		strays:   map[fleet.RequestID]fleet.WorkspaceID{},
		updates:  map[fleet.InstanceID]*wire.LeaseUpdate{},
		counts:   newCounts(),
		view:     fleet.NewView(nil, nil, nil),
	}
	c.members = membership.New(opts.Self, opts.DataCentre, membership.Options{})
	c.feed = feed.New(opts.Self, opts.DataCentre, feed.Options{SeedPeers: seedIDs(opts.SeedPeers), Usable: c.members.Usable})
	c.pool = pool.New(opts.Self, c.rng)
	c.admit = admission.New(admission.Options{
		Multiple:  opts.LoadMultiple,
		Ramp:      opts.RampTime,
		RampStart: opts.RampStart,
		MaxQueue:  opts.MaxQueue,
	}, c.own, c.pool)
	c.newLimits()
	c.newRedemption()
	budgets := retry.DefaultOptions()
	budgets.Ratio = opts.RetryRatio
	c.budget = retry.NewBudget(budgets)
	c.backoff = retry.Backoff{Base: opts.BackoffBase, Max: opts.BackoffMax}
	return c
}

func (c *Core) newLimits() {
	o := limits.DefaultOptions()
	o.Self = c.opts.Self
	o.DataCentre = c.opts.DataCentre
	c.lender = limits.NewOwner(o, c.rng)
	c.borrower = limits.NewBorrower(o, c.rng)
}

func (c *Core) newRedemption() {
	o := redeem.DefaultOptions()
	o.Self = c.opts.Self
	o.DataCentre = c.opts.DataCentre
	o.Incarnation = c.opts.Incarnation
	o.TicketTTL = c.opts.TicketTTL
	o.Retention = c.opts.TicketTTL
	o.KeyLifetime = c.opts.KeyLifetime
	o.KeySlots = ownership.KeySlots
	c.redeemHome = redeem.NewServer(o, c.rng)
	c.redeemer = redeem.NewClient(o, c.rng)
}

func seedIDs(seeds []SeedPeer) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, s := range seeds {
		ids = append(ids, s.ID)
	}
	return ids
}

// Step handles one event at now and returns the actions to carry out, in order.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.acts = c.acts[:0]
	c.notePause(now)
	c.now = now
	c.handle(ev)
	c.flush()
	c.follow()
	c.flush()
	return c.acts
}

// notePause clears evidence that a pause of this process made out of date.
func (c *Core) notePause(now time.Time) {
	gap := now.Sub(c.now)
	if gap > admission.MaxUnnoticedPause {
		c.admit.OnPause(now)
	}
	if gap < pauseThreshold {
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
		c.onReport(ev.Report)
	case EndpointSilent:
		c.onSilent(ev.Endpoint)
	case Stop:
		c.onStop()
	default:
		c.onPlatform(ev)
	}
}

func (c *Core) onPlatform(ev Event) {
	switch ev := ev.(type) {
	case PublishedConfig:
		c.platformUp()
		c.logFeed(c.feed.PublishConfig(c.now, ev.Config, &c.out))
	case PublishedInstances:
		c.platformUp()
		c.logFeed(c.feed.PublishInstances(c.now, ev.List, &c.out))
	case PublishedEndpoints:
		c.platformUp()
		c.logFeed(c.feed.PublishEndpoints(c.now, ev.List, &c.out))
	case PublishedInvalid:
		c.platformUp()
		c.logf(event.ConfigRefused, "revision %d: %s", ev.Revision, ev.Detail)
	case PlatformDown:
		if !c.platformDown {
			c.platformDown = true
			c.log(event.PlatformUnreadable, "")
		}
	default:
		panic("core: event of an unknown type")
	}
}

func (c *Core) platformUp() {
	if c.platformDown {
		c.platformDown = false
		c.log(event.PlatformReadable, "")
	}
}

func (c *Core) logFeed(r feed.Result) {
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
	c.feed.Tick(c.now, &c.out)
	due := c.members.DueHeartbeats(c.now)
	c.own.SetClaimInterval(c.members.Period())
	c.own.Tick(c.now, due, c.members.Suspects(), &c.out)
	c.admit.Tick(c.now, &c.out)
	c.pool.Tick(c.now, c.endpointOwner, &c.out)
	c.tickLimits()
	c.tickRedemptions()
	c.tickRequests()
	c.tickStop()
}

// ConfigRevision returns the revision of the configuration in force.
func (c *Core) ConfigRevision() fleet.Revision { return c.view.Config.Revision }

func (c *Core) do(a Action) { c.acts = append(c.acts, a) }
