package limits

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// freeSlots returns how many slots may be lent until end.
func (a *account) freeSlots(now time.Time, p part, end time.Time, owners Owners, opt *Options) int {
	if p.slots < 0 {
		return 0
	}
	if len(a.loans) >= maxLoans {
		return 0
	}
	own := a.ownSlots(now, p, owners, opt) - a.givenSlots(now)
	return max(own+a.takenUntil(now, end)-a.lent(now), 0)
}

// ownSlots returns how many slots of the part this owner may use: those that an
// earlier owner cannot have lent any more, or whose loans are known.
func (a *account) ownSlots(now time.Time, p part, owners Owners, opt *Options) int {
	known := owners.VoteShareSince(a.ws, now.Add(-opt.loanHold()))
	if !a.complete.IsZero() {
		known = max(known, owners.VoteShareSince(a.ws, a.complete))
	}
	ungiven := owners.VoteShareSince(a.ws, now.Add(-opt.transferHold()))
	kept := float64(p.slots-p.lendable()) * portion(known)
	return int(kept) + a.lendableSlots(p, min(known, ungiven))
}

func (a *account) lendableSlots(p part, share float64) int {
	return int(float64(p.lendable()) * portion(share))
}

// takenUntil returns the slots from other data centres that are at hand until end.
func (a *account) takenUntil(now, end time.Time) int {
	n := 0
	for _, t := range a.taken {
		if t.until.After(now) && !t.until.Before(end) {
			n += t.slots
		}
	}
	return n
}

// lent returns the slots that borrowers may use.
func (a *account) lent(now time.Time) int {
	n := 0
	for _, until := range a.loans {
		if until.After(now) {
			n++
		}
	}
	return n
}

// givenSlots returns the slots that other data centres may use.
func (a *account) givenSlots(now time.Time) int {
	n := 0
	for _, l := range a.given {
		if l.until.After(now) {
			n += l.slots
		}
	}
	return n
}

// giveBack frees a slot. One that was not lent belongs to a Borrow whose sender gave
// it up before it arrived here, and which must not be answered with a loan any more.
func (a *account) giveBack(now time.Time, key loanKey) {
	if _, ok := a.loans[key]; ok {
		delete(a.loans, key)
		return
	}
	if _, ok := a.answered[key]; !ok && len(a.answered) < maxAnswered {
		a.answered[key] = answer{wire.BorrowReply{ID: key.id, RetryAfterMS: ms(minRetryAfter)}, now}
	}
}

// OnHeldSlots takes in the slots of a workspace that a router of the data centre still
// uses. A router reports when it takes this one for the owner, before it borrows.
func (o *Owner) OnHeldSlots(now time.Time, from fleet.InstanceID, ws fleet.WorkspaceID, held []wire.HeldLease, owners Owners) {
	a := o.account(now, ws, owners)
	if a == nil {
		return
	}
	for _, h := range held {
		key := loanKey{from, h.ID}
		until := now.Add(time.Duration(h.TTLMS) * time.Millisecond)
		if until.After(a.loans[key]) {
			a.loans[key] = until
		}
	}
	a.reports[from] = true
	a.checkComplete(now, o.members)
}

// checkComplete notes when every router of the data centre has reported.
func (a *account) checkComplete(now time.Time, members []fleet.InstanceID) {
	if !a.complete.IsZero() || len(members) == 0 {
		return
	}
	if !slices.ContainsFunc(members, func(id fleet.InstanceID) bool { return !a.reports[id] }) {
		a.complete = now
	}
}
