package limits

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// freeSlots returns how many slots can be lent until end.
func (a *account) freeSlots(now time.Time, lim dcLimits, end time.Time, owners Owners, opt *Options) int {
	if lim.slots < 0 {
		return 0
	}
	if len(a.leases) >= maxSlotLeases {
		return 0
	}
	own := a.ownSlots(now, lim, owners, opt) - a.outgoingSlots(now)
	return max(own+a.incomingSlots(now, end)-a.lentSlots(now), 0)
}

// ownSlots returns how many of the data centre's slots this owner may use: those whose
// leases by earlier owners have expired or were reported. Slots that an earlier owner may
// have transferred to another data centre are excluded until that transfer has expired.
func (a *account) ownSlots(now time.Time, lim dcLimits, owners Owners, opt *Options) int {
	accounted := owners.VoteShareSince(a.ws, now.Add(-opt.maxSlotHold()))
	if !a.allReportedAt.IsZero() {
		accounted = max(accounted, owners.VoteShareSince(a.ws, a.allReportedAt))
	}
	untransferred := owners.VoteShareSince(a.ws, now.Add(-opt.transferHold()))
	reserved := float64(lim.slots-lim.lendable()) * usableFraction(accounted)
	return int(reserved) + a.lendableSlots(lim, min(accounted, untransferred))
}

func (a *account) lendableSlots(lim dcLimits, share float64) int {
	return int(float64(lim.lendable()) * usableFraction(share))
}

// incomingSlots returns the number of slots from other data centres that are valid until end.
func (a *account) incomingSlots(now, end time.Time) int {
	n := 0
	for _, t := range a.incoming {
		if t.expires.After(now) && !t.expires.Before(end) {
			n += t.slots
		}
	}
	return n
}

// lentSlots returns the number of slots that are leased to borrowers.
func (a *account) lentSlots(now time.Time) int {
	n := 0
	for _, expires := range a.leases {
		if expires.After(now) {
			n++
		}
	}
	return n
}

// outgoingSlots returns the number of slots that are transferred to other data centres.
func (a *account) outgoingSlots(now time.Time) int {
	n := 0
	for _, t := range a.outgoing {
		if t.expires.After(now) {
			n += t.slots
		}
	}
	return n
}

// returnSlot frees a slot. A slot without a lease belongs to a Borrow that its sender
// abandoned before it arrived here: a refusal is recorded, so that the Borrow leases nothing
// when it arrives.
func (a *account) returnSlot(now time.Time, key grantKey) {
	if _, ok := a.leases[key]; ok {
		delete(a.leases, key)
		return
	}
	if _, ok := a.replies[key]; !ok && len(a.replies) < maxCachedReplies {
		a.replies[key] = cachedReply{wire.BorrowReply{ID: key.id, RetryAfterMS: ms(minRetryAfter)}, now}
	}
}

// OnSlotReport records the slots of a workspace that a router of the data centre still holds.
// A router reports them when it recognises this router as the owner, before it borrows.
func (o *Owner) OnSlotReport(now time.Time, from fleet.InstanceID, ws fleet.WorkspaceID, held []wire.HeldLease, owners Owners) {
	a := o.account(now, ws, owners)
	if a == nil {
		return
	}
	for _, h := range held {
		key := grantKey{from, h.ID}
		until := now.Add(time.Duration(h.TTLMS) * time.Millisecond)
		if until.After(a.leases[key]) {
			a.leases[key] = until
		}
	}
	a.reported[from] = true
	a.checkAllReported(now, o.members)
}

// checkAllReported records the time at which every router of the data centre has reported.
func (a *account) checkAllReported(now time.Time, members []fleet.InstanceID) {
	if !a.allReportedAt.IsZero() || len(members) == 0 {
		return
	}
	if !slices.ContainsFunc(members, func(id fleet.InstanceID) bool { return !a.reported[id] }) {
		a.allReportedAt = now
	}
}
