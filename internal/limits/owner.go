package limits

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	minRetryAfter     = 50 * time.Millisecond // minimum retry-after in a BorrowReply
	maxRetryAfter     = 30 * time.Second      // maximum retry-after in a BorrowReply
	defaultRetryAfter = time.Second           // retry-after if no slot is free, too many requests wait, or the owner does not reply
	replyCacheTTL     = 5 * time.Second       // time for which a reply is kept to answer duplicates
	idleAccountTTL    = 10 * time.Minute      // time after which an unused account is dropped
	maxCachedReplies  = 1024                  // replies kept per workspace
	maxSlotLeases     = 1 << 14               // slot leases per workspace
)

// Owner lends quota of the workspaces that this router owns.
type Owner struct {
	opt       Options
	cfg       *fleet.Configuration
	dcs       []fleet.DataCentreID
	index     int // of this data centre in dcs, -1 when it is not configured
	accounts  map[fleet.WorkspaceID]*account
	instances []fleet.InstanceID // listed instances of this data centre
	nextID    uint64
}

// account is the state of one workspace at its owner.
type account struct {
	ws          fleet.WorkspaceID
	schedule    schedule
	refreshedAt time.Time // when the buckets were last refilled
	lastUsedAt  time.Time // last Borrow, transfer request or slot report; an owner reports its own slots every second

	requests, tokens                 bucket
	incomingRequests, incomingTokens credits // received from other data centres

	leases        map[messageKey]time.Time         // expiry of the slots leased to borrowers
	outgoing      map[messageKey]*outgoingTransfer // slots transferred to other data centres
	incoming      []incomingTransfer
	reported      map[fleet.InstanceID]bool // routers that reported the slots leased to them
	allReportedAt time.Time                 // zero until all routers have reported
	replies       map[messageKey]cachedReply

	shortfall           amounts     // refused since the last transfer request
	localUsage          rateAverage // lent to borrowers, which are all in this data centre
	lastTransferRequest time.Time
	pendingTransfers    []transferRequest
}

// messageKey identifies a Borrow or transfer request of a peer, or a slot or transfer granted to the
// peer. The peer chooses the ID. The ID of a Borrow is also that of the first slot that it requests.
type messageKey struct {
	peer fleet.InstanceID
	id   uint64
}

// outgoingTransfer is a number of slots transferred to another data centre.
type outgoingTransfer struct {
	slots   int
	expires time.Time
}

// incomingTransfer is a number of slots transferred from another data centre.
type incomingTransfer struct {
	sender  fleet.InstanceID
	id      uint64
	slots   int
	expires time.Time
}

type cachedReply struct {
	message wire.Message
	sentAt  time.Time
}

// amounts are numbers of requests, tokens and slots.
type amounts struct{ requests, tokens, slots float64 }

// NewOwner returns an Owner without accounts. The random source must differ between the
// incarnations of a router, so that message IDs are not reused.
func NewOwner(opt Options, rng *rand.Rand) *Owner {
	return &Owner{
		opt:      opt,
		cfg:      &fleet.Configuration{},
		index:    -1,
		accounts: map[fleet.WorkspaceID]*account{},
		nextID:   rng.Uint64() >> 1,
	}
}

// Update adopts a configuration and the list of routers of the data centre.
func (o *Owner) Update(now time.Time, v *fleet.View) {
	o.cfg = v.Config
	o.dcs, o.index = dataCentres(v.Config, o.opt.DataCentre)
	o.instances = o.instances[:0]
	for _, in := range v.InstancesIn(o.opt.DataCentre) {
		o.instances = append(o.instances, in.ID)
	}
	for _, a := range o.accounts {
		a.schedule.set(now, o.dcLimitsFor(a.ws), o.opt.RaiseDelay)
		a.checkAllReported(now, o.instances)
	}
}

func (o *Owner) dcLimitsFor(ws fleet.WorkspaceID) dcLimits {
	w, ok := o.cfg.Workspaces[ws]
	if !ok {
		return dcLimits{}
	}
	return dcLimitsOf(o.cfg.Plans[w.Plan].Limits, o.index, len(o.dcs))
}

// account returns the refreshed account of a workspace, or nil when the workspace is not
// configured or MaxAccounts is reached.
func (o *Owner) account(now time.Time, ws fleet.WorkspaceID, owners Owners) *account {
	a := o.accounts[ws]
	if a == nil {
		if _, ok := o.cfg.Workspaces[ws]; !ok || len(o.accounts) >= o.opt.MaxAccounts {
			return nil
		}
		lim := o.dcLimitsFor(ws)
		a = &account{
			ws:          ws,
			schedule:    schedule{current: lim, next: lim},
			refreshedAt: now,
			leases:      map[messageKey]time.Time{},
			outgoing:    map[messageKey]*outgoingTransfer{},
			reported:    map[fleet.InstanceID]bool{},
			replies:     map[messageKey]cachedReply{},
		}
		o.accounts[ws] = a
	}
	a.lastUsedAt = now
	a.refresh(now, owners, &o.opt)
	return a
}

// refresh refills the buckets for the time since the last refresh, at the fraction of the rates
// that follows from the votes that this router held all that time.
func (a *account) refresh(now time.Time, owners Owners, opt *Options) {
	lim := a.schedule.inForce(now)
	fraction := usableFraction(owners.VoteShareSince(a.ws, a.refreshedAt))
	elapsed := now.Sub(a.refreshedAt)
	a.requests.refill(elapsed, max(lim.requests, 0)*fraction, capacity(lim.requests, fraction, opt))
	a.tokens.refill(elapsed, max(lim.tokens, 0)*fraction, capacity(lim.tokens, fraction, opt))
	a.refreshedAt = now
	if fraction == 0 {
		a.resetOwnership()
	}
	a.localUsage.decay(elapsed)
}

// resetOwnership clears the state that is valid only during uninterrupted ownership.
func (a *account) resetOwnership() {
	clear(a.reported)
	a.allReportedAt = time.Time{}
	a.incomingRequests = credits{}
	a.incomingTokens = credits{}
	a.shortfall = amounts{}
}

// capacity returns the capacity of a bucket, in proportion to the usable fraction. At the full
// fraction it is at least one unit, so that a rate below one request per Burst can admit a
// request; at a lower fraction such a rate admits none.
func capacity(rate, fraction float64, opt *Options) float64 {
	if rate <= 0 {
		return 0
	}
	return max(rate*opt.Burst.Seconds(), 1) * fraction
}

// OnBorrow answers a Borrow. It is idempotent: a repeated Borrow gets the same reply.
func (o *Owner) OnBorrow(now time.Time, from fleet.InstanceID, m wire.Borrow, owners Owners, out *wire.Outbox) {
	a := o.account(now, m.Workspace, owners)
	if a == nil || owners.Owner(m.Workspace) != o.opt.Self {
		if m.Requests > 0 {
			out.Send(from, wire.BorrowReply{ID: m.ID, NotOwner: true, RetryAfterMS: ms(minRetryAfter)})
		}
		return
	}
	for _, id := range m.Returned {
		a.returnSlot(now, messageKey{from, id})
	}
	if m.Requests == 0 {
		return
	}
	key := messageKey{from, m.ID}
	if old, ok := a.replies[key]; ok {
		out.Send(from, old.message)
		return
	}
	reply := o.lend(now, a, key, &m, owners)
	if len(a.replies) < maxCachedReplies {
		a.replies[key] = cachedReply{reply, now}
	}
	out.Send(from, reply)
	if a.shortfall != (amounts{}) {
		o.requestTransfers(now, a, owners, out)
	}
}

// lend returns the reply to a Borrow and grants as many of its requests as the account can afford.
func (o *Owner) lend(now time.Time, a *account, key messageKey, m *wire.Borrow, owners Owners) wire.BorrowReply {
	lim := a.schedule.inForce(now)
	hold := min(time.Duration(m.HoldMS)*time.Millisecond, o.opt.maxSlotHold())
	n, wait := a.affordable(now, lim, m, a.freeSlots(now, lim, now.Add(hold), owners, &o.opt), &o.opt, owners)
	if n < int(m.Requests) {
		a.addShortfall(m, int(m.Requests)-n, lim, &o.opt)
	}
	if n == 0 {
		return wire.BorrowReply{ID: m.ID, RetryAfterMS: ms(min(max(wait, minRetryAfter), maxRetryAfter))}
	}
	reply := wire.BorrowReply{ID: m.ID, Requests: uint32(n), TTLMS: ms(o.opt.BatchTTL)}
	if lim.requests >= 0 {
		a.requests.level -= a.incomingRequests.consume(float64(n))
	}
	if lim.tokens >= 0 {
		reply.Tokens = uint32(math.Ceil(perRequest(m.Tokens, m.Requests) * float64(n)))
		a.tokens.level -= a.incomingTokens.consume(float64(reply.Tokens))
	}
	if lim.slots >= 0 && m.Slots > 0 {
		reply.Slots = min(m.Slots, uint32(n))
		for i := range reply.Slots {
			a.leases[messageKey{key.peer, key.id + uint64(i)}] = now.Add(hold)
		}
	}
	a.localUsage.add(amounts{float64(n), float64(reply.Tokens), 0})
	return reply
}

func perRequest(total, n uint32) float64 { return float64(total) / float64(n) }

// affordable returns how many requests of the Borrow the account can admit, and the time after
// which to retry when it can admit none. slots is the number of free slots.
func (a *account) affordable(now time.Time, lim dcLimits, m *wire.Borrow, slots int, opt *Options, owners Owners) (int, time.Duration) {
	n := int(m.Requests)
	var wait time.Duration
	fraction := usableFraction(owners.VoteShareSince(a.ws, now))
	if lim.requests >= 0 {
		incoming := a.incomingRequests.available(now)
		n = min(n, int(max(a.requests.level+incoming, 0)))
		wait = max(wait, a.requests.timeUntil(1-incoming, lim.requests*fraction))
	}
	if lim.tokens >= 0 && m.Tokens > 0 {
		meanCost := perRequest(m.Tokens, m.Requests)
		incoming := a.incomingTokens.available(now)
		minLevel := min(meanCost, capacity(lim.tokens, fraction, opt)) - incoming
		n = min(n, affordableByTokens(a.tokens.level+incoming, meanCost, minLevel+incoming, fraction))
		wait = max(wait, a.tokens.timeUntil(minLevel, lim.tokens*fraction))
	}
	if lim.slots >= 0 && m.Slots > 0 {
		n = min(n, slots+int(m.Requests-min(m.Slots, m.Requests)))
		if slots == 0 {
			wait = max(wait, defaultRetryAfter)
		}
	}
	return n, wait
}

// affordableByTokens returns how many requests of a mean cost a level of tokens admits. minLevel is
// the level from which one request is admitted: its cost, or the capacity of the bucket if the cost
// exceeds it.
func affordableByTokens(level, meanCost, minLevel, fraction float64) int {
	if fraction == 0 || level <= 0 || level < minLevel {
		return 0
	}
	return max(1, int(level/meanCost))
}

// addShortfall records that n requests of the Borrow were refused, up to maxShortfall.
func (a *account) addShortfall(m *wire.Borrow, n int, lim dcLimits, opt *Options) {
	if lim.requests >= 0 {
		a.shortfall.requests = min(a.shortfall.requests+float64(n), maxShortfall)
	}
	if lim.tokens >= 0 {
		a.shortfall.tokens = min(a.shortfall.tokens+perRequest(m.Tokens, m.Requests)*float64(n), maxShortfall)
	}
	if lim.slots >= 0 && m.Slots > 0 {
		a.shortfall.slots = min(a.shortfall.slots+float64(n), maxShortfall)
	}
}

// maxShortfall bounds each amount of a transfer request.
const maxShortfall = 1 << 20

// Tick refills buckets, drops expired state and returns unused incoming slots.
func (o *Owner) Tick(now time.Time, owners Owners, out *wire.Outbox) {
	for ws, a := range o.accounts {
		a.refresh(now, owners, &o.opt)
		a.expire(now)
		if now.Sub(a.lastUsedAt) > idleAccountTTL && len(a.leases) == 0 && len(a.outgoing) == 0 && len(a.incoming) == 0 {
			delete(o.accounts, ws)
		}
	}
	o.returnIdleTransfers(now, owners, out)
}

func (a *account) expire(now time.Time) {
	for k, until := range a.leases {
		if !until.After(now) {
			delete(a.leases, k)
		}
	}
	for k, l := range a.outgoing {
		if !l.expires.After(now) {
			delete(a.outgoing, k)
		}
	}
	for k, x := range a.replies {
		if now.Sub(x.sentAt) > replyCacheTTL {
			delete(a.replies, k)
		}
	}
}

func ms(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

// Account is a snapshot of the state of one workspace at its owner.
type Account struct {
	Requests      float64 `json:"requests"`    // level of the bucket
	Tokens        float64 `json:"tokens"`      // level of the bucket
	SlotsLent     int     `json:"slots_lent"`  // leased to borrowers
	SlotsOutgoing int     `json:"slots_given"` // transferred to other data centres
	SlotsIncoming int     `json:"slots_taken"` // transferred from other data centres
}

// Account returns the state of a workspace, or false when the owner keeps none.
func (o *Owner) Account(now time.Time, ws fleet.WorkspaceID) (Account, bool) {
	a := o.accounts[ws]
	if a == nil {
		return Account{}, false
	}
	return Account{
		Requests:      a.requests.level,
		Tokens:        a.tokens.level,
		SlotsLent:     a.lentSlots(now),
		SlotsOutgoing: a.outgoingSlots(now),
		SlotsIncoming: a.incomingSlots(now, now),
	}, true
}
