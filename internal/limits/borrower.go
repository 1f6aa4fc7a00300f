package limits

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	replyTimeout  = 150 * time.Millisecond // without a reply, before the owner is asked anew
	maxBorrows    = 4                      // messages for one request, before it is refused
	shortRetry    = 300 * time.Millisecond // longest RetryAfter that a request waits out
	returnEvery   = time.Second            // between two messages that only give back slots
	prefetchAbove = 2.0                    // requests in a BatchTTL, above which more are borrowed
	maxPrefetch   = 256                    // requests borrowed ahead
	maxReturned   = 512                    // slots given back in one message
	idleWallet    = time.Minute            // after which an unused wallet is dropped
)

// Decision is the answer to an Acquire.
type Decision uint8

// The decisions.
const (
	Granted Decision = iota + 1
	Pending          // a Resolution follows
	Refused          // the request must not run now
)

// Resolution decides a request that was pending.
type Resolution struct {
	Request    fleet.RequestID
	Decision   Decision // Granted or Refused
	RetryAfter time.Duration
}

// Need is what one request uses of its workspace's limits.
type Need struct {
	Tokens int
	Hold   time.Duration // how long it may run at most
}

// Borrower admits the requests of one entry router within what it borrowed.
type Borrower struct {
	opt     Options
	wallets map[fleet.WorkspaceID]*wallet
	waiting int
	nextID  uint64
}

// wallet is what a Borrower has of one workspace.
type wallet struct {
	ws               fleet.WorkspaceID
	limits           fleet.Limits
	owner            fleet.InstanceID // that was borrowed from last
	requests, tokens credits
	free             []slot
	held             map[fleet.RequestID]slot
	returned         []uint64 // slots to give back
	returnedAt       time.Time
	waiters          []waiter
	borrow           borrow
	use              usage
	touched          time.Time
}

// slot is one slot of a loan.
type slot struct {
	id    uint64
	until time.Time
	idle  time.Time // since when it is free
}

type waiter struct {
	request fleet.RequestID
	need    Need
	tries   int
}

// borrow is the Borrow that awaits its reply. ID is 0 when there is none.
type borrow struct {
	id      uint64
	sent    time.Time
	slots   uint32
	hold    time.Duration
	retryAt time.Time // when ID is 0: do not send one before
}

// NewBorrower returns a Borrower without loans. The rand must not repeat over runs.
func NewBorrower(opt Options, rng *rand.Rand) *Borrower {
	return &Borrower{opt: opt, wallets: map[fleet.WorkspaceID]*wallet{}, nextID: rng.Uint64() >> 1}
}

// Acquire admits a request, refuses it, or makes it wait for the owner's reply.
// Each granted request must be followed by a Release.
func (b *Borrower) Acquire(now time.Time, id fleet.RequestID, ws fleet.WorkspaceID, l fleet.Limits, need Need, owners Owners, out *wire.Outbox) Resolution {
	if l == (fleet.Limits{}) {
		return Resolution{Request: id, Decision: Granted}
	}
	w := b.wallet(now, ws)
	w.limits = l
	w.use.add(amounts{requests: 1, tokens: float64(need.Tokens)})
	need.Hold = min(need.Hold, b.opt.MaxHold)
	if len(w.waiters) == 0 && w.pay(now, id, need) {
		return Resolution{Request: id, Decision: Granted}
	}
	if b.waiting >= b.opt.MaxWaiting {
		return Resolution{Request: id, Decision: Refused, RetryAfter: slotRetry}
	}
	b.waiting++
	w.waiters = append(w.waiters, waiter{request: id, need: need})
	b.send(now, w, owners, out)
	return Resolution{Request: id, Decision: Pending}
}

func (b *Borrower) wallet(now time.Time, ws fleet.WorkspaceID) *wallet {
	w := b.wallets[ws]
	if w == nil {
		w = &wallet{ws: ws, held: map[fleet.RequestID]slot{}, touched: now}
		b.wallets[ws] = w
	}
	w.use.decay(now.Sub(w.touched))
	w.touched = now
	return w
}

// pay takes what a request needs out of the wallet, or nothing.
func (w *wallet) pay(now time.Time, id fleet.RequestID, need Need) bool {
	if w.limits.RequestsPerSecond > 0 && w.requests.available(now) < 1 {
		return false
	}
	if w.limits.TokensPerSecond > 0 && w.tokens.available(now) < float64(need.Tokens) {
		return false
	}
	if w.limits.Concurrent > 0 {
		i := w.freeSlot(now.Add(need.Hold))
		if i < 0 {
			return false
		}
		w.held[id] = w.free[i]
		w.free = slices.Delete(w.free, i, i+1)
	}
	if w.limits.RequestsPerSecond > 0 {
		w.requests.spend(1)
	}
	if w.limits.TokensPerSecond > 0 {
		w.tokens.spend(float64(need.Tokens))
	}
	return true
}

// freeSlot returns the index of a free slot that lasts until end, or -1.
func (w *wallet) freeSlot(end time.Time) int {
	return slices.IndexFunc(w.free, func(s slot) bool { return !s.until.Before(end) })
}

// send borrows for the waiting requests, unless a reply is awaited.
func (b *Borrower) send(now time.Time, w *wallet, owners Owners, out *wire.Outbox) {
	if w.borrow.id != 0 || len(w.waiters) == 0 || now.Before(w.borrow.retryAt) {
		return
	}
	w.owner = owners.Owner(w.ws)
	if w.owner == "" {
		w.borrow.retryAt = now.Add(replyTimeout)
		return
	}
	m := b.request(now, w)
	m.ID = b.nextID
	b.nextID += uint64(m.Requests)
	m.Returned = w.takeReturned(now)
	w.borrow = borrow{id: m.ID, sent: now, slots: m.Slots, hold: time.Duration(m.HoldMS) * time.Millisecond}
	for i := range w.waiters {
		w.waiters[i].tries++
	}
	out.Send(w.owner, m)
}

// request returns the Borrow that covers the waiting requests and, for a workspace
// in steady use, those expected soon.
func (b *Borrower) request(now time.Time, w *wallet) wire.Borrow {
	m := wire.Borrow{Workspace: w.ws, Requests: uint32(len(w.waiters))}
	tokens := 0.0
	var hold time.Duration
	for _, x := range w.waiters {
		tokens += float64(x.need.Tokens)
		hold = max(hold, x.need.Hold)
	}
	if ahead := b.prefetch(w); ahead > 0 && w.waiters[0].tries == 0 {
		tokens += w.use.rate.tokens / w.use.rate.requests * float64(ahead)
		m.Requests += uint32(ahead)
		hold = b.opt.MaxHold
	}
	if w.limits.TokensPerSecond > 0 {
		m.Tokens = uint32(math.Ceil(max(tokens-w.tokens.available(now), 0)))
	}
	if w.limits.Concurrent > 0 {
		m.Slots = m.Requests
		m.HoldMS = ms(hold + b.opt.IdleHold) // the way here and back counts
	}
	return m
}

// prefetch returns how many requests to borrow beyond those that wait.
func (b *Borrower) prefetch(w *wallet) int {
	expected := w.use.rate.requests * b.opt.BatchTTL.Seconds()
	if expected < prefetchAbove {
		return 0
	}
	return min(int(expected/2), maxPrefetch)
}

func (w *wallet) takeReturned(now time.Time) []uint64 {
	n := min(len(w.returned), maxReturned)
	out := slices.Clone(w.returned[:n])
	w.returned = slices.Delete(w.returned, 0, n)
	w.returnedAt = now
	return out
}

// OnReply takes in the reply to a Borrow and returns the requests that it decides.
func (b *Borrower) OnReply(now time.Time, from fleet.InstanceID, m wire.BorrowReply, owners Owners, out *wire.Outbox) []Resolution {
	w := b.borrowed(m.ID)
	if w == nil || w.owner != from {
		return nil // given up: its slots are on their way back
	}
	sent, hold := w.borrow.sent, w.borrow.hold
	w.borrow = borrow{}
	w.requests.add(float64(m.Requests), sent.Add(time.Duration(m.TTLMS)*time.Millisecond))
	w.tokens.add(float64(m.Tokens), sent.Add(time.Duration(m.TTLMS)*time.Millisecond))
	for i := range m.Slots {
		w.free = append(w.free, slot{id: m.ID + uint64(i), until: sent.Add(hold), idle: now})
	}
	done := b.serve(now, w)
	if m.Requests == 0 {
		retry := time.Duration(m.RetryAfterMS) * time.Millisecond
		w.borrow.retryAt = now.Add(retry)
		done = append(done, b.refuse(w, func(x waiter) bool { return retry > shortRetry || x.tries >= maxBorrows }, retry)...)
	}
	done = append(done, b.refuse(w, func(x waiter) bool { return x.tries >= 2*maxBorrows }, shortRetry)...)
	b.send(now, w, owners, out)
	return done
}

func (b *Borrower) borrowed(id uint64) *wallet {
	for _, w := range b.wallets {
		if w.borrow.id == id && id != 0 {
			return w
		}
	}
	return nil
}

// serve grants waiting requests in order, while the wallet can pay.
func (b *Borrower) serve(now time.Time, w *wallet) []Resolution {
	var done []Resolution
	for len(w.waiters) > 0 && w.pay(now, w.waiters[0].request, w.waiters[0].need) {
		done = append(done, Resolution{Request: w.waiters[0].request, Decision: Granted})
		w.waiters = slices.Delete(w.waiters, 0, 1)
		b.waiting--
	}
	return done
}

// refuse refuses the waiting requests that match.
func (b *Borrower) refuse(w *wallet, match func(waiter) bool, retry time.Duration) []Resolution {
	var done []Resolution
	w.waiters = slices.DeleteFunc(w.waiters, func(x waiter) bool {
		if !match(x) {
			return false
		}
		done = append(done, Resolution{Request: x.request, Decision: Refused, RetryAfter: retry})
		b.waiting--
		return true
	})
	return done
}

// Release ends a request that was granted, or withdraws one that waits.
func (b *Borrower) Release(now time.Time, id fleet.RequestID, ws fleet.WorkspaceID) {
	w := b.wallets[ws]
	if w == nil {
		return
	}
	b.refuse(w, func(x waiter) bool { return x.request == id }, 0)
	s, ok := w.held[id]
	if !ok {
		return
	}
	delete(w.held, id)
	s.idle = now
	w.free = append(w.free, s)
}

// Tick serves requests that wait for a slot or a lost reply, and gives back slots
// that are not used.
func (b *Borrower) Tick(now time.Time, owners Owners, out *wire.Outbox) []Resolution {
	var done []Resolution
	for _, w := range b.sorted() {
		done = append(done, b.tick(now, w, owners, out)...)
		if now.Sub(w.touched) > idleWallet && len(w.held)+len(w.free)+len(w.returned)+len(w.waiters) == 0 {
			delete(b.wallets, w.ws)
		}
	}
	return done
}

func (b *Borrower) sorted() []*wallet {
	out := make([]*wallet, 0, len(b.wallets))
	for _, w := range b.wallets {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *wallet) int { return cmp.Compare(a.ws, b.ws) })
	return out
}

func (b *Borrower) tick(now time.Time, w *wallet, owners Owners, out *wire.Outbox) []Resolution {
	done := b.serve(now, w)
	if w.borrow.id != 0 && now.Sub(w.borrow.sent) >= replyTimeout {
		w.abandon()
	}
	if w.borrow.id == 0 {
		done = append(done, b.refuse(w, func(x waiter) bool { return x.tries >= maxBorrows }, slotRetry)...)
	}
	w.dropIdle(now, b.opt.IdleHold)
	b.send(now, w, owners, out)
	if len(w.returned) > 0 && now.Sub(w.returnedAt) >= returnEvery {
		if owner := owners.Owner(w.ws); owner != "" {
			out.Send(owner, wire.Borrow{Workspace: w.ws, Returned: w.takeReturned(now)})
		}
	}
	return done
}

// abandon gives up the reply to a Borrow and gives back what it may have lent.
func (w *wallet) abandon() {
	for i := range w.borrow.slots {
		w.returned = append(w.returned, w.borrow.id+uint64(i))
	}
	w.borrow = borrow{}
}

// dropIdle gives back free slots that no request took in time.
func (w *wallet) dropIdle(now time.Time, keep time.Duration) {
	w.free = slices.DeleteFunc(w.free, func(s slot) bool {
		if now.Sub(s.idle) < keep && s.until.After(now) {
			return false
		}
		w.returned = append(w.returned, s.id)
		return true
	})
}

// HeldSlots returns the slots of a workspace that this router still uses, for a router
// that it takes for the new owner. Replies of other owners are refused from then on.
func (b *Borrower) HeldSlots(now time.Time, ws fleet.WorkspaceID, owner fleet.InstanceID) []wire.HeldLease {
	w := b.wallets[ws]
	if w == nil {
		return nil
	}
	if w.owner != owner {
		w.owner = owner
		w.abandon()
	}
	var out []wire.HeldLease
	for _, s := range w.free {
		out = append(out, s.lease(now))
	}
	for _, s := range w.held {
		out = append(out, s.lease(now))
	}
	slices.SortFunc(out, func(a, b wire.HeldLease) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.TTLMS, b.TTLMS))
	})
	return out
}

func (s slot) lease(now time.Time) wire.HeldLease {
	return wire.HeldLease{ID: s.id, TTLMS: ms(max(s.until.Sub(now), 0)) + 1}
}
