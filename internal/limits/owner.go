package limits

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	minRetryAfter    = 50 * time.Millisecond
	maxRetryAfter    = 30 * time.Second
	slotRetryAfter   = time.Second      // retry delay when no slot is free
	replyCacheTTL    = 5 * time.Second  // time for which a reply is kept to answer duplicates
	idleAccountTTL   = 10 * time.Minute // time after which an unused account is dropped
	maxCachedReplies = 1024             // replies kept per workspace
	maxSlotLeases    = 1 << 14          // slot leases per workspace
)

// Owner lends quota of the workspaces that this router owns.
type Owner struct {
	opt      Options
	cfg      *fleet.Configuration
	dcs      []fleet.DataCentreID
	index    int // of this data centre in dcs, -1 when it is not configured
	accounts map[fleet.WorkspaceID]*account
	members  []fleet.InstanceID // routers of this data centre
	nextID   uint64
}

// account is the state of one workspace at its owner.
type account struct {
	ws          fleet.WorkspaceID
	schedule    schedule
	refreshedAt time.Time // when the buckets were last refilled
	lastMessage time.Time // when the last message about the workspace arrived

	requests, tokens           bucket
	extraRequests, extraTokens credits // received from other data centres

	leases        map[grantKey]time.Time         // expiry of the slots leased to borrowers
	outgoing      map[grantKey]*outgoingTransfer // slots transferred to other data centres
	incoming      []incomingTransfer
	reported      map[fleet.InstanceID]bool // routers that reported the slots they hold
	allReportedAt time.Time                 // zero until all routers have reported
	replies       map[grantKey]cachedReply

	shortfall           amounts // refused since the last transfer request
	localUsage          usage   // admitted to callers of this data centre
	lastTransferRequest time.Time
	pendingTransfers    []transferRequest
}

// grantKey identifies a leased slot, a transfer, or the message that requested either.
type grantKey struct {
	holder fleet.InstanceID
	id     uint64
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

// NewOwner returns an Owner without accounts. The random source must differ between runs of
// the process, so that message IDs are not reused.
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
	o.members = o.members[:0]
	for _, in := range v.InstancesIn(o.opt.DataCentre) {
		o.members = append(o.members, in.ID)
	}
	for _, a := range o.accounts {
		a.schedule.set(now, o.dcLimitsFor(a.ws), o.opt.RaiseDelay)
		a.checkAllReported(now, o.members)
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
			leases:      map[grantKey]time.Time{},
			outgoing:    map[grantKey]*outgoingTransfer{},
			reported:    map[fleet.InstanceID]bool{},
			replies:     map[grantKey]cachedReply{},
		}
		o.accounts[ws] = a
	}
	a.lastMessage = now
	a.refresh(now, owners, &o.opt)
	return a
}

// refresh refills the buckets for the time since the last refresh, in proportion to the
// votes that this router held all that time.
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
	a.extraRequests = credits{}
	a.extraTokens = credits{}
	a.shortfall = amounts{}
}

// capacity returns the capacity of a bucket: at least one unit, so that a rate below one per
// Burst can admit a request, times the usable fraction.
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
		a.returnSlot(now, grantKey{from, id})
	}
	if m.Requests == 0 {
		return
	}
	key := grantKey{from, m.ID}
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

// lend grants as many of the requests as the account can afford.
func (o *Owner) lend(now time.Time, a *account, key grantKey, m *wire.Borrow, owners Owners) wire.BorrowReply {
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
		a.requests.level -= a.extraRequests.consume(float64(n))
	}
	if lim.tokens >= 0 {
		reply.Tokens = uint32(math.Ceil(perRequest(m.Tokens, m.Requests) * float64(n)))
		a.tokens.level -= a.extraTokens.consume(float64(reply.Tokens))
	}
	if lim.slots >= 0 && m.Slots > 0 {
		reply.Slots = min(m.Slots, uint32(n))
		for i := range reply.Slots {
			a.leases[grantKey{key.holder, key.id + uint64(i)}] = now.Add(hold)
		}
	}
	a.localUsage.add(amounts{float64(n), float64(reply.Tokens), 0})
	return reply
}

func perRequest(total, n uint32) float64 { return float64(total) / float64(n) }

// affordable returns how many requests of the Borrow the account can admit, and the time
// after which to retry when it can admit none.
func (a *account) affordable(now time.Time, lim dcLimits, m *wire.Borrow, slots int, opt *Options, owners Owners) (int, time.Duration) {
	n := int(m.Requests)
	var wait time.Duration
	fraction := usableFraction(owners.VoteShareSince(a.ws, now))
	if lim.requests >= 0 {
		extra := a.extraRequests.available(now)
		n = min(n, int(max(a.requests.level+extra, 0)))
		wait = max(wait, a.requests.timeUntil(1-extra, lim.requests*fraction))
	}
	if lim.tokens >= 0 && m.Tokens > 0 {
		mean := perRequest(m.Tokens, m.Requests)
		extra := a.extraTokens.available(now)
		first := min(mean, capacity(lim.tokens, fraction, opt)) - extra
		n = min(n, affordableTokens(a.tokens.level+extra, mean, first+extra, fraction))
		wait = max(wait, a.tokens.timeUntil(first, lim.tokens*fraction))
	}
	if lim.slots >= 0 && m.Slots > 0 {
		n = min(n, slots+int(m.Requests-min(m.Slots, m.Requests)))
		if slots == 0 {
			wait = max(wait, slotRetryAfter)
		}
	}
	return n, wait
}

// affordableTokens returns how many requests of a mean cost a bucket level admits. A full
// bucket admits a request that costs more than its capacity.
func affordableTokens(level, mean, first, fraction float64) int {
	if fraction == 0 || level <= 0 || level < first {
		return 0
	}
	return max(1, int(level/mean))
}

// addShortfall records what was refused of the Borrow, up to maxShortfall.
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
		if now.Sub(a.lastMessage) > idleAccountTTL && len(a.leases) == 0 && len(a.outgoing) == 0 && len(a.incoming) == 0 {
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
	Requests      float64 `json:"requests"`
	Tokens        float64 `json:"tokens"`
	SlotsLent     int     `json:"slots_lent"`
	SlotsOutgoing int     `json:"slots_given"`
	SlotsIncoming int     `json:"slots_taken"`
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
