package limits

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// freeSlots returns how many more slots can be lent until end.
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
	reserved := float64(lim.slots-lim.transferable()) * usableFraction(accounted)
	return int(reserved) + a.transferableSlots(lim, min(accounted, untransferred))
}

func (a *account) transferableSlots(lim dcLimits, voteShare float64) int {
	return int(float64(lim.transferable()) * usableFraction(voteShare))
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

// returnSlot frees a slot. If there is no lease, either it expired or the Borrow that requests the
// slot was abandoned by its sender and has not arrived here yet. For the second case a refusal is
// cached under the slot's ID, so that a late Borrow with this ID leases nothing.
func (a *account) returnSlot(now time.Time, key messageKey) {
	if _, ok := a.leases[key]; ok {
		delete(a.leases, key)
		return
	}
	if _, ok := a.replies[key]; !ok && len(a.replies) < maxCachedReplies {
		a.replies[key] = cachedReply{wire.BorrowReply{ID: key.id, RetryAfterMS: ms(minRetryAfter)}, now}
	}
}

// OnSlotReport records the slots of a workspace that are leased to a router of the data centre. A
// router reports them when it votes for this router as the owner, before it borrows.
func (o *Owner) OnSlotReport(now time.Time, from fleet.InstanceID, ws fleet.WorkspaceID, held []wire.HeldLease, owners Owners) {
	a := o.account(now, ws, owners)
	if a == nil {
		return
	}
	for _, h := range held {
		key := messageKey{from, h.ID}
		until := now.Add(time.Duration(h.TTLMS) * time.Millisecond)
		if until.After(a.leases[key]) {
			a.leases[key] = until
		}
	}
	a.reported[from] = true
	a.checkAllReported(now, o.instances)
}

// checkAllReported records the time from which every router of the data centre has reported.
func (a *account) checkAllReported(now time.Time, instances []fleet.InstanceID) {
	if !a.allReportedAt.IsZero() || len(instances) == 0 {
		return
	}
	if !slices.ContainsFunc(instances, func(id fleet.InstanceID) bool { return !a.reported[id] }) {
		a.allReportedAt = now
	}
}
