package limits

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	slotRetry     = time.Second      // after which a slot may be free again
	answeredFor   = 5 * time.Second  // for which the reply to a message is kept for its repeats
	idleAccount   = 10 * time.Minute // after which an unused account may be dropped
	maxAnswered   = 1024             // replies kept for each workspace
	maxLoans      = 1 << 14          // of each workspace
)

// Owner lends the limits of the workspaces that this router owns.
type Owner struct {
	opt      Options
	cfg      *fleet.Configuration
	dcs      []fleet.DataCentreID
	index    int // of this data centre
	accounts map[fleet.WorkspaceID]*account
	members  []fleet.InstanceID // routers of the data centre
	nextID   uint64
}

// account is the state of one workspace at its owner.
type account struct {
	ws       fleet.WorkspaceID
	schedule schedule
	touched  time.Time // of the last refresh
	used     time.Time // of the last message

	requests, tokens           bucket
	extraRequests, extraTokens credits // taken from other data centres

	loans    map[loanKey]time.Time // ends of the slots lent to borrowers
	given    map[loanKey]*loan     // of slots, to other data centres
	taken    []takenSlots
	reports  map[fleet.InstanceID]bool // routers that reported their loans
	complete time.Time                 // when all had, zero: not yet
	answered map[loanKey]answer

	want  amounts // refused since the last ask
	own   usage   // admitted to this data centre's callers
	asked time.Time
	asks  []ask
}

// loanKey names a slot lent to a borrower, a transfer, or the message that asked for either.
type loanKey struct {
	holder fleet.InstanceID
	id     uint64
}

// loan is a number of slots given to another data centre.
type loan struct {
	slots int
	until time.Time
}

// takenSlots are slots that another data centre lends to this one.
type takenSlots struct {
	giver fleet.InstanceID
	id    uint64
	slots int
	until time.Time
}

type answer struct {
	message wire.Message
	at      time.Time
}

// amounts are requests with their tokens and slots.
type amounts struct{ requests, tokens, slots float64 }

// NewOwner returns an Owner without accounts. The rand must not repeat over runs.
func NewOwner(opt Options, rng *rand.Rand) *Owner {
	return &Owner{
		opt:      opt,
		cfg:      &fleet.Configuration{},
		index:    -1,
		accounts: map[fleet.WorkspaceID]*account{},
		nextID:   rng.Uint64() >> 1,
	}
}

// Update adopts a configuration and the routers of the data centre.
func (o *Owner) Update(now time.Time, v *fleet.View) {
	o.cfg = v.Config
	o.dcs, o.index = dataCentres(v.Config, o.opt.DataCentre)
	o.members = o.members[:0]
	for _, in := range v.InstancesIn(o.opt.DataCentre) {
		o.members = append(o.members, in.ID)
	}
	for _, a := range o.accounts {
		a.schedule.set(now, o.partFor(a.ws), o.opt.RaiseDelay)
		a.checkComplete(now, o.members)
	}
}

func (o *Owner) partFor(ws fleet.WorkspaceID) part {
	w, ok := o.cfg.Workspaces[ws]
	if !ok {
		return part{}
	}
	return partOf(o.cfg.Plans[w.Plan].Limits, o.index, len(o.dcs))
}

// account returns the refreshed account of a workspace, or nil when it is not
// configured or too many are kept.
func (o *Owner) account(now time.Time, ws fleet.WorkspaceID, owners Owners) *account {
	a := o.accounts[ws]
	if a == nil {
		if _, ok := o.cfg.Workspaces[ws]; !ok || len(o.accounts) >= o.opt.MaxAccounts {
			return nil
		}
		p := o.partFor(ws)
		a = &account{
			ws:       ws,
			schedule: schedule{now: p, next: p},
			touched:  now,
			loans:    map[loanKey]time.Time{},
			given:    map[loanKey]*loan{},
			reports:  map[fleet.InstanceID]bool{},
			answered: map[loanKey]answer{},
		}
		o.accounts[ws] = a
	}
	a.used = now
	a.refresh(now, owners, &o.opt)
	return a
}

// refresh fills the buckets for the time since the last refresh, as far as this
// router was backed all that time.
func (a *account) refresh(now time.Time, owners Owners, opt *Options) {
	p := a.schedule.at(now)
	backed := portion(owners.VoteShareSince(a.ws, a.touched))
	elapsed := now.Sub(a.touched)
	a.requests.refill(elapsed, max(p.requests, 0)*backed, capacity(p.requests, backed, opt))
	a.tokens.refill(elapsed, max(p.tokens, 0)*backed, capacity(p.tokens, backed, opt))
	a.touched = now
	if backed == 0 {
		a.disown()
	}
	a.own.decay(elapsed)
}

// disown forgets what only an owner without a break may know.
func (a *account) disown() {
	clear(a.reports)
	a.complete = time.Time{}
	a.extraRequests = credits{}
	a.extraTokens = credits{}
	a.want = amounts{}
}

// capacity returns what a bucket may hold: one unit at least, so that a small rate
// admits a request at all.
func capacity(rate, backed float64, opt *Options) float64 {
	if rate <= 0 {
		return 0
	}
	return max(rate*opt.Burst.Seconds(), 1) * backed
}

// OnBorrow answers a Borrow.
func (o *Owner) OnBorrow(now time.Time, from fleet.InstanceID, m wire.Borrow, owners Owners, out *wire.Outbox) {
	a := o.account(now, m.Workspace, owners)
	if a == nil || owners.Owner(m.Workspace) != o.opt.Self {
		if m.Requests > 0 {
			out.Send(from, wire.BorrowReply{ID: m.ID, NotOwner: true, RetryAfterMS: ms(minRetryAfter)})
		}
		return
	}
	for _, id := range m.Returned {
		a.giveBack(now, loanKey{from, id})
	}
	if m.Requests == 0 {
		return
	}
	key := loanKey{from, m.ID}
	if old, ok := a.answered[key]; ok {
		out.Send(from, old.message)
		return
	}
	reply := o.lend(now, a, key, &m, owners)
	if len(a.answered) < maxAnswered {
		a.answered[key] = answer{reply, now}
	}
	out.Send(from, reply)
	if a.want != (amounts{}) {
		o.ask(now, a, owners, out)
	}
}

// lend grants as many of the requests as the account has, at least one, or none.
func (o *Owner) lend(now time.Time, a *account, key loanKey, m *wire.Borrow, owners Owners) wire.BorrowReply {
	p := a.schedule.at(now)
	hold := min(time.Duration(m.HoldMS)*time.Millisecond, o.opt.loanHold())
	n, wait := a.affordable(now, p, m, a.freeSlots(now, p, now.Add(hold), owners, &o.opt), &o.opt, owners)
	if n < int(m.Requests) {
		a.wants(m, int(m.Requests)-n, p, &o.opt)
	}
	if n == 0 {
		return wire.BorrowReply{ID: m.ID, RetryAfterMS: ms(min(max(wait, minRetryAfter), maxRetryAfter))}
	}
	reply := wire.BorrowReply{ID: m.ID, Requests: uint32(n), TTLMS: ms(o.opt.BatchTTL)}
	if p.requests >= 0 {
		a.requests.level -= a.extraRequests.spend(float64(n))
	}
	if p.tokens >= 0 {
		reply.Tokens = uint32(math.Ceil(perRequest(m.Tokens, m.Requests) * float64(n)))
		a.tokens.level -= a.extraTokens.spend(float64(reply.Tokens))
	}
	if p.slots >= 0 && m.Slots > 0 {
		reply.Slots = min(m.Slots, uint32(n))
		for i := range reply.Slots {
			a.loans[loanKey{key.holder, key.id + uint64(i)}] = now.Add(hold)
		}
	}
	a.own.add(amounts{float64(n), float64(reply.Tokens), 0})
	return reply
}

func perRequest(total, n uint32) float64 { return float64(total) / float64(n) }

// affordable returns how many requests of the Borrow the account can admit, and
// after which time it may admit one when that is none.
func (a *account) affordable(now time.Time, p part, m *wire.Borrow, slots int, opt *Options, owners Owners) (int, time.Duration) {
	n := int(m.Requests)
	var wait time.Duration
	backed := portion(owners.VoteShareSince(a.ws, now))
	if p.requests >= 0 {
		extra := a.extraRequests.available(now)
		n = min(n, int(max(a.requests.level+extra, 0)))
		wait = max(wait, a.requests.until(1-extra, p.requests*backed))
	}
	if p.tokens >= 0 && m.Tokens > 0 {
		mean := perRequest(m.Tokens, m.Requests)
		extra := a.extraTokens.available(now)
		first := min(mean, capacity(p.tokens, backed, opt)) - extra
		n = min(n, affordableTokens(a.tokens.level+extra, mean, first+extra, backed))
		wait = max(wait, a.tokens.until(first, p.tokens*backed))
	}
	if p.slots >= 0 && m.Slots > 0 {
		n = min(n, slots+int(m.Requests-min(m.Slots, m.Requests)))
		if slots == 0 {
			wait = max(wait, slotRetry)
		}
	}
	return n, wait
}

// affordableTokens returns how many requests of a mean cost a level admits. A
// request that costs more than a whole bucket is admitted by a full one.
func affordableTokens(level, mean, first, backed float64) int {
	if backed == 0 || level <= 0 || level < first {
		return 0
	}
	return max(1, int(level/mean))
}

// wants notes what was refused, up to what the whole limit gives in a second.
func (a *account) wants(m *wire.Borrow, n int, p part, opt *Options) {
	if p.requests >= 0 {
		a.want.requests = min(a.want.requests+float64(n), maxWant)
	}
	if p.tokens >= 0 {
		a.want.tokens = min(a.want.tokens+perRequest(m.Tokens, m.Requests)*float64(n), maxWant)
	}
	if p.slots >= 0 && m.Slots > 0 {
		a.want.slots = min(a.want.slots+float64(n), maxWant)
	}
}

// maxWant bounds what one ask may ask for.
const maxWant = 1 << 20

// Tick drops what has lapsed and asks other data centres for what was refused.
func (o *Owner) Tick(now time.Time, owners Owners, out *wire.Outbox) {
	for ws, a := range o.accounts {
		a.refresh(now, owners, &o.opt)
		a.expire(now)
		if now.Sub(a.used) > idleAccount && len(a.loans) == 0 && len(a.given) == 0 && len(a.taken) == 0 {
			delete(o.accounts, ws)
		}
	}
	o.returnTaken(now, owners, out)
}

func (a *account) expire(now time.Time) {
	for k, until := range a.loans {
		if !until.After(now) {
			delete(a.loans, k)
		}
	}
	for k, l := range a.given {
		if !l.until.After(now) {
			delete(a.given, k)
		}
	}
	for k, x := range a.answered {
		if now.Sub(x.at) > answeredFor {
			delete(a.answered, k)
		}
	}
}

func ms(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

// Account describes the state of one workspace at its owner.
type Account struct {
	Requests   float64 `json:"requests"`
	Tokens     float64 `json:"tokens"`
	SlotsLent  int     `json:"slots_lent"`
	SlotsGiven int     `json:"slots_given"`
	SlotsTaken int     `json:"slots_taken"`
}

// Account returns the state of a workspace, false when the owner keeps none.
func (o *Owner) Account(now time.Time, ws fleet.WorkspaceID) (Account, bool) {
	a := o.accounts[ws]
	if a == nil {
		return Account{}, false
	}
	return Account{
		Requests:   a.requests.level,
		Tokens:     a.tokens.level,
		SlotsLent:  a.lent(now),
		SlotsGiven: a.givenSlots(now),
		SlotsTaken: a.takenUntil(now, now),
	}, true
}
