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
	replyTimeout        = 150 * time.Millisecond // time without a reply after which a Borrow is abandoned
	maxBorrowAttempts   = 4                      // Borrow messages for one request before it is refused
	maxRetryWait        = 300 * time.Millisecond // longest RetryAfter for which a request stays queued
	returnInterval      = time.Second            // time between messages that only return slots
	minPrefetchDemand   = 2.0                    // minimum of expected requests per BatchTTL for prefetching
	maxPrefetchRequests = 256                    // requests prefetched by one Borrow
	maxReturnedSlots    = 512                    // slots returned in one message
	idleQuotaTTL        = time.Minute            // time after which an unused quota is dropped
)

// Decision is whether a request is admitted.
type Decision uint8

const (
	Granted Decision = iota + 1
	Pending          // the decision follows as a Resolution
	Refused          // retry after Resolution.RetryAfter
)

// Resolution is the decision on one request.
type Resolution struct {
	Request    fleet.RequestID
	Decision   Decision // Pending only as the result of Acquire
	RetryAfter time.Duration
}

// Need is the quota that one request uses.
type Need struct {
	Tokens int
	Hold   time.Duration // maximum time for which the request may run
}

// Borrower admits the requests that this router received, within the quota that it borrowed from
// the owners of their workspaces.
type Borrower struct {
	opt     Options
	quotas  map[fleet.WorkspaceID]*quota
	waiting int
	nextID  uint64
}

// pendingBorrow is the Borrow that awaits its reply. id is 0 when there is none.
type pendingBorrow struct {
	id      uint64
	sent    time.Time
	slots   uint32
	hold    time.Duration
	retryAt time.Time // when id is 0: earliest time of the next Borrow
}

// NewBorrower returns a Borrower without quota. The random source must differ between the
// incarnations of a router, so that message IDs are not reused.
func NewBorrower(opt Options, rng *rand.Rand) *Borrower {
	return &Borrower{opt: opt, quotas: map[fleet.WorkspaceID]*quota{}, nextID: rng.Uint64() >> 1}
}

// Acquire admits a request, refuses it, or queues it until the owner replies. Each granted
// request must be followed by a Release.
func (b *Borrower) Acquire(now time.Time, id fleet.RequestID, ws fleet.WorkspaceID, l fleet.Limits, need Need, owners Owners, out *wire.Outbox) Resolution {
	if l == (fleet.Limits{}) {
		return Resolution{Request: id, Decision: Granted}
	}
	q := b.quotaFor(now, ws)
	q.limits = l
	q.demand.add(amounts{requests: 1, tokens: float64(need.Tokens)})
	need.Hold = min(need.Hold, b.opt.MaxHold)
	if len(q.waiters) == 0 && q.consume(now, id, need) {
		return Resolution{Request: id, Decision: Granted}
	}
	if b.waiting >= b.opt.MaxWaiting {
		return Resolution{Request: id, Decision: Refused, RetryAfter: defaultRetryAfter}
	}
	b.waiting++
	q.waiters = append(q.waiters, waiter{request: id, need: need})
	b.send(now, q, owners, out)
	return Resolution{Request: id, Decision: Pending}
}

func (b *Borrower) quotaFor(now time.Time, ws fleet.WorkspaceID) *quota {
	q := b.quotas[ws]
	if q == nil {
		q = &quota{ws: ws, inUse: map[fleet.RequestID]slot{}, updatedAt: now}
		b.quotas[ws] = q
	}
	q.demand.decay(now.Sub(q.updatedAt))
	q.updatedAt = now
	return q
}

// send sends a Borrow for the waiting requests, unless one is pending or must be delayed.
func (b *Borrower) send(now time.Time, q *quota, owners Owners, out *wire.Outbox) {
	if q.pending.id != 0 || len(q.waiters) == 0 || now.Before(q.pending.retryAt) {
		return
	}
	q.owner = owners.Owner(q.ws)
	if q.owner == "" {
		q.pending.retryAt = now.Add(replyTimeout)
		return
	}
	m := b.newBorrow(now, q)
	m.ID = b.nextID
	b.nextID += uint64(m.Requests)
	m.Returned = q.takeReturned(now)
	q.pending = pendingBorrow{id: m.ID, sent: now, slots: m.Slots, hold: time.Duration(m.HoldMS) * time.Millisecond}
	for i := range q.waiters {
		q.waiters[i].attempts++
	}
	out.Send(q.owner, m)
}

// newBorrow returns a Borrow that covers the waiting requests and, for a workspace in
// steady use, a prefetch.
func (b *Borrower) newBorrow(now time.Time, q *quota) wire.Borrow {
	m := wire.Borrow{Workspace: q.ws, Requests: uint32(len(q.waiters))}
	tokens := 0.0
	var hold time.Duration
	for _, x := range q.waiters {
		tokens += float64(x.need.Tokens)
		hold = max(hold, x.need.Hold)
	}
	if ahead := b.prefetch(q); ahead > 0 && q.waiters[0].attempts == 0 {
		tokens += q.demand.rate.tokens / q.demand.rate.requests * float64(ahead)
		m.Requests += uint32(ahead)
		hold = b.opt.MaxHold
	}
	if q.limits.TokensPerSecond > 0 {
		m.Tokens = uint32(math.Ceil(max(tokens-q.tokens.available(now), 0)))
	}
	if q.limits.Concurrent > 0 {
		m.Slots = m.Requests
		m.HoldMS = ms(hold + b.opt.IdleHold) // IdleHold covers the round trip, because the hold starts when the Borrow is sent
	}
	return m
}

// prefetch returns how many requests to borrow beyond the waiting ones.
func (b *Borrower) prefetch(q *quota) int {
	expected := q.demand.rate.requests * b.opt.BatchTTL.Seconds()
	if expected < minPrefetchDemand {
		return 0
	}
	return min(int(expected/2), maxPrefetchRequests)
}

// OnReply handles the reply to a Borrow and returns the requests that it decides.
func (b *Borrower) OnReply(now time.Time, from fleet.InstanceID, m wire.BorrowReply, owners Owners, out *wire.Outbox) []Resolution {
	q := b.quotaOfBorrow(m.ID)
	if q == nil || q.owner != from {
		return nil // the Borrow was abandoned and its slots are being returned
	}
	sent, hold := q.pending.sent, q.pending.hold
	q.pending = pendingBorrow{}
	q.requests.add(float64(m.Requests), sent.Add(time.Duration(m.TTLMS)*time.Millisecond))
	q.tokens.add(float64(m.Tokens), sent.Add(time.Duration(m.TTLMS)*time.Millisecond))
	for i := range m.Slots {
		q.free = append(q.free, slot{id: m.ID + uint64(i), expires: sent.Add(hold), freeSince: now})
	}
	done := b.serve(now, q)
	if m.Requests == 0 {
		retry := time.Duration(m.RetryAfterMS) * time.Millisecond
		q.pending.retryAt = now.Add(retry)
		done = append(done, b.refuse(q, func(x waiter) bool { return retry > maxRetryWait || x.attempts >= maxBorrowAttempts }, retry)...)
	}
	done = append(done, b.refuse(q, func(x waiter) bool { return x.attempts >= 2*maxBorrowAttempts }, maxRetryWait)...)
	b.send(now, q, owners, out)
	return done
}

func (b *Borrower) quotaOfBorrow(id uint64) *quota {
	for _, q := range b.quotas {
		if q.pending.id == id && id != 0 {
			return q
		}
	}
	return nil
}

// serve grants waiting requests in order while the quota suffices.
func (b *Borrower) serve(now time.Time, q *quota) []Resolution {
	var done []Resolution
	for len(q.waiters) > 0 && q.consume(now, q.waiters[0].request, q.waiters[0].need) {
		done = append(done, Resolution{Request: q.waiters[0].request, Decision: Granted})
		q.waiters = slices.Delete(q.waiters, 0, 1)
		b.waiting--
	}
	return done
}

// refuse removes the waiting requests that match and returns their refusals.
func (b *Borrower) refuse(q *quota, match func(waiter) bool, retry time.Duration) []Resolution {
	var done []Resolution
	q.waiters = slices.DeleteFunc(q.waiters, func(x waiter) bool {
		if !match(x) {
			return false
		}
		done = append(done, Resolution{Request: x.request, Decision: Refused, RetryAfter: retry})
		b.waiting--
		return true
	})
	return done
}

// Release ends a granted request or cancels a waiting one.
func (b *Borrower) Release(now time.Time, id fleet.RequestID, ws fleet.WorkspaceID) {
	q := b.quotas[ws]
	if q == nil {
		return
	}
	b.refuse(q, func(x waiter) bool { return x.request == id }, 0)
	s, ok := q.inUse[id]
	if !ok {
		return
	}
	delete(q.inUse, id)
	s.freeSince = now
	q.free = append(q.free, s)
}

// Tick decides waiting requests, abandons Borrows without a reply and returns idle slots.
func (b *Borrower) Tick(now time.Time, owners Owners, out *wire.Outbox) []Resolution {
	var done []Resolution
	for _, q := range b.sortedQuotas() {
		done = append(done, b.tick(now, q, owners, out)...)
		if now.Sub(q.updatedAt) > idleQuotaTTL && len(q.inUse)+len(q.free)+len(q.returned)+len(q.waiters) == 0 {
			delete(b.quotas, q.ws)
		}
	}
	return done
}

func (b *Borrower) sortedQuotas() []*quota {
	out := make([]*quota, 0, len(b.quotas))
	for _, q := range b.quotas {
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *quota) int { return cmp.Compare(a.ws, b.ws) })
	return out
}

func (b *Borrower) tick(now time.Time, q *quota, owners Owners, out *wire.Outbox) []Resolution {
	done := b.serve(now, q)
	if q.pending.id != 0 && now.Sub(q.pending.sent) >= replyTimeout {
		q.abandon()
	}
	if q.pending.id == 0 {
		done = append(done, b.refuse(q, func(x waiter) bool { return x.attempts >= maxBorrowAttempts }, defaultRetryAfter)...)
	}
	q.dropIdle(now, b.opt.IdleHold)
	b.send(now, q, owners, out)
	if len(q.returned) > 0 && now.Sub(q.returnedAt) >= returnInterval {
		if owner := owners.Owner(q.ws); owner != "" {
			out.Send(owner, wire.Borrow{Workspace: q.ws, Returned: q.takeReturned(now)})
		}
	}
	return done
}

// ReportSlots returns all slots of a workspace that are leased to this router, free or in use, for
// the report to the given owner. From then on only replies from this owner are accepted; a pending
// Borrow to another owner is abandoned.
func (b *Borrower) ReportSlots(now time.Time, ws fleet.WorkspaceID, owner fleet.InstanceID) []wire.HeldLease {
	q := b.quotas[ws]
	if q == nil {
		return nil
	}
	if q.owner != owner {
		q.owner = owner
		q.abandon()
	}
	var out []wire.HeldLease
	for _, s := range q.free {
		out = append(out, s.lease(now))
	}
	for _, s := range q.inUse {
		out = append(out, s.lease(now))
	}
	slices.SortFunc(out, func(a, b wire.HeldLease) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.TTLMS, b.TTLMS))
	})
	return out
}
