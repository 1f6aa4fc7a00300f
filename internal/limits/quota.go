package limits

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// quota is the borrowed quota of one workspace.
type quota struct {
	ws               fleet.WorkspaceID
	limits           fleet.Limits
	owner            fleet.InstanceID // router whose replies are accepted
	requests, tokens credits
	free             []slot // leased, but not in use
	inUse            map[fleet.RequestID]slot
	returned         []uint64 // slots to return to the owner
	returnedAt       time.Time
	waiters          []waiter
	pending          pendingBorrow
	demand           rateAverage // of requests to Acquire
	updatedAt        time.Time   // when demand was last updated
}

// slot is one leased slot.
type slot struct {
	id        uint64
	expires   time.Time
	freeSince time.Time // valid while the slot is free
}

type waiter struct {
	request  fleet.RequestID
	need     Need
	attempts int
}

// consume deducts the need of a request from the quota, or deducts nothing and returns
// false.
func (q *quota) consume(now time.Time, id fleet.RequestID, need Need) bool {
	if q.limits.RequestsPerSecond > 0 && q.requests.available(now) < 1 {
		return false
	}
	if q.limits.TokensPerSecond > 0 && q.tokens.available(now) < float64(need.Tokens) {
		return false
	}
	if q.limits.Concurrent > 0 {
		i := q.freeSlot(now.Add(need.Hold))
		if i < 0 {
			return false
		}
		q.inUse[id] = q.free[i]
		q.free = slices.Delete(q.free, i, i+1)
	}
	if q.limits.RequestsPerSecond > 0 {
		q.requests.consume(1)
	}
	if q.limits.TokensPerSecond > 0 {
		q.tokens.consume(float64(need.Tokens))
	}
	return true
}

// freeSlot returns the index of a free slot that does not expire before end, or -1.
func (q *quota) freeSlot(end time.Time) int {
	return slices.IndexFunc(q.free, func(s slot) bool { return !s.expires.Before(end) })
}

func (q *quota) takeReturned(now time.Time) []uint64 {
	n := min(len(q.returned), maxReturnedSlots)
	out := slices.Clone(q.returned[:n])
	q.returned = slices.Delete(q.returned, 0, n)
	q.returnedAt = now
	return out
}

// abandon drops the pending Borrow and returns all slots that its reply may have leased.
func (q *quota) abandon() {
	for i := range q.pending.slots {
		q.returned = append(q.returned, q.pending.id+uint64(i))
	}
	q.pending = pendingBorrow{}
}

// dropIdle returns free slots that have expired or were unused for idleHold.
func (q *quota) dropIdle(now time.Time, idleHold time.Duration) {
	q.free = slices.DeleteFunc(q.free, func(s slot) bool {
		if now.Sub(s.freeSince) < idleHold && s.expires.After(now) {
			return false
		}
		q.returned = append(q.returned, s.id)
		return true
	})
}

func (s slot) lease(now time.Time) wire.HeldLease {
	return wire.HeldLease{ID: s.id, TTLMS: ms(max(s.expires.Sub(now), 0)) + 1}
}
