package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// excess returns the maximum, over all windows, of the amount admitted minus rate times the
// window length.
func excess(list []admission, rate float64, amount func(admission) float64) float64 {
	worst, sum, lowest := 0.0, 0.0, 0.0
	for i, a := range list {
		t := a.at.Sub(list[0].at).Seconds()
		if before := sum - rate*t; i == 0 || before < lowest {
			lowest = before
		}
		sum += amount(a)
		worst = max(worst, sum-rate*t-lowest)
	}
	return worst
}

func oneRequest(admission) float64 { return 1 }
func tokens(a admission) float64   { return float64(a.tokens) }

// slack returns the time by which the bound on admitted requests exceeds the window, see the
// package comment.
func slack(opt Options) float64 { return (2*opt.Burst + opt.BatchTTL + opt.TransferTTL).Seconds() }

// rotating generates more demand than the limits admit: spread percent of it goes to random
// data centres and the rest to one data centre, which changes every period.
func rotating(dcs, spread int, period time.Duration) func(*simulation) (int, time.Duration) {
	return func(sim *simulation) (int, time.Duration) {
		dc := int(sim.now.Sub(sim.start)/period) % dcs
		if sim.chance(spread) {
			dc = sim.rng.IntN(dcs)
		}
		return dc, 8 * time.Millisecond
	}
}

// TestLimitsHoldUnderFaults checks the documented bounds under random message loss,
// duplication and delay, pauses, restarts, owner changes, partitions and a lowered limit.
func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		percent := func(name string, most int) int { return rapid.IntRange(0, most).Draw(rt, name) }
		f := faults{
			loss: percent("loss", 20), duplicate: percent("duplicate", 60), lateMessage: percent("late", 20),
			pause: percent("freeze", 20), crash: percent("crash", 8), moveOwner: percent("moveOwner", 20),
			partition: percent("cut", 10), lower: percent("lower", 5),
		}
		l := rapid.SampledFrom([]fleet.Limits{
			{RequestsPerSecond: 12}, {TokensPerSecond: 120}, {Concurrent: 1}, {Concurrent: 12}, {Concurrent: 40},
		}).Draw(rt, "limits")
		const dcs = 3
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), dcs, l, f)
		period := time.Duration(rapid.IntRange(2, 20).Draw(rt, "period")) * time.Second
		sim.demand = rotating(dcs, rapid.SampledFrom([]int{0, 20, 100}).Draw(rt, "spread"), period)
		sim.runFor(40 * time.Second)
		if sim.violations > 0 {
			rt.Fatalf("%d admissions above %d slots, maximum %d running", sim.violations, sim.limits.Concurrent, sim.maxRunning)
		}
		checkRate(rt, sim, l)
	})
}

func checkRate(t rapid.TB, sim *simulation, l fleet.Limits) {
	for _, x := range []struct {
		rate, largest float64
		amount        func(admission) float64
	}{{l.RequestsPerSecond, 1, oneRequest}, {l.TokensPerSecond, float64(sim.tokens), tokens}} {
		bound := x.rate*slack(testOptions()) + 2*float64(sim.dcs)*x.largest
		if e := excess(sim.admitted, x.rate, x.amount); x.rate > 0 && e > bound {
			t.Fatalf("%.1f admitted above a rate of %v, bound %.1f", e, x.rate, bound)
		}
	}
}

// TestOwnerChangesCreateNothing checks that changes of the owner create no quota. The ownership
// changes every second, each time to a router that was paused since it last owned the workspace
// and so has stale state.
func TestOwnerChangesCreateNothing(t *testing.T) {
	for _, l := range []fleet.Limits{{RequestsPerSecond: 20}, {TokensPerSecond: 200}} {
		sim := newSimulation(5, 1, l, faults{})
		sim.demand = rotating(1, 0, time.Hour)
		var change func()
		change = func() {
			sim.after(time.Second, change)
			o := sim.routers[int(sim.now.Sub(sim.start)/time.Second)%routersPerDC]
			for _, r := range sim.routers {
				r.knownOwner, r.votesFor, r.votedIncarnation, r.votedAt = o, o, o.incarnation, sim.now
				r.pausedUntil = sim.now.Add(time.Hour)
			}
			o.pausedUntil = sim.now
		}
		sim.after(0, change)
		sim.runFor(60 * time.Second)
		checkRate(t, sim, l)
		if n := len(sim.admitted); n < 600 {
			t.Errorf("%d admitted of 1200", n)
		}
	}
}

// TestUnusedShareIsTransferred sends all demand to one of three data centres and checks that
// most of the limit is admitted there within seconds, or only the data centre's own share when
// it is partitioned.
func TestUnusedShareIsTransferred(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limits fleet.Limits
		want   float64 // requests per second
		cut    bool
	}{
		{"requests", fleet.Limits{RequestsPerSecond: 30}, 24, false},
		{"tokens", fleet.Limits{TokensPerSecond: 300}, 24, false},
		{"requests, cut off", fleet.Limits{RequestsPerSecond: 30}, 9, true},
	} {
		sim := newSimulation(1, 3, tc.limits, faults{})
		sim.demand = func(*simulation) (int, time.Duration) { return 1, 10 * time.Millisecond }
		if tc.cut {
			sim.partitionedUntil[1] = sim.now.Add(time.Hour)
		}
		sim.runFor(3 * time.Second)
		sim.admitted = nil
		sim.runFor(20 * time.Second)
		got := float64(len(sim.admitted)) / 20
		t.Logf("%s: %.1f requests per second admitted, limit 30", tc.name, got)
		if got < tc.want || (tc.cut && got > 11) {
			t.Errorf("%s: %.1f requests per second admitted, want %v", tc.name, got, tc.want)
		}
	}
}

// TestSlotsAreUsed checks that steady demand uses most slots of a limit and never exceeds it.
func TestSlotsAreUsed(t *testing.T) {
	sim := newSimulation(6, 3, fleet.Limits{Concurrent: 24}, faults{})
	sim.demand = rotating(3, 100, time.Hour)
	sim.runFor(30 * time.Second)
	if sim.maxRunning < 20 || sim.maxRunning > 24 {
		t.Errorf("%d slots used, want 20 to 24", sim.maxRunning)
	}
}

// TestUnusedSlotsAreTransferredAndReturned checks that slots are transferred to the data centre
// with demand and returned when the demand ends.
func TestUnusedSlotsAreTransferredAndReturned(t *testing.T) {
	sim := newSimulation(2, 3, fleet.Limits{Concurrent: 24}, faults{})
	sim.demand = func(*simulation) (int, time.Duration) { return 1, 10 * time.Millisecond }
	sim.runFor(15 * time.Second)
	sim.maxRunning = 0
	sim.runFor(5 * time.Second)
	if sim.maxRunning < 11 || sim.maxRunning > 24 {
		t.Errorf("%d slots used in one data centre, want its own 8 and most of the 4 transferable ones", sim.maxRunning)
	}
	sim.demand = func(*simulation) (int, time.Duration) { return 0, time.Hour }
	sim.runFor(8 * time.Second)
	for _, r := range sim.routers {
		if a, ok := r.owner.Account(sim.now, "w"); ok && a.SlotsOutgoing+a.SlotsIncoming+a.SlotsLent > 0 {
			t.Errorf("%s still has leases or transfers: %+v", r.id, a)
		}
	}
}

// TestMessages bounds the messages that borrower and owner send per request.
func TestMessages(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limits fleet.Limits
		every  time.Duration // mean time between requests
		most   float64       // messages per request
	}{
		{"no limit", fleet.Limits{}, 20 * time.Millisecond, 0},
		{"rare", fleet.Limits{RequestsPerSecond: 100, TokensPerSecond: 1e5}, 16 * time.Second, 2.1},
		{"rare, slots", fleet.Limits{RequestsPerSecond: 100, Concurrent: 50}, 16 * time.Second, 3.1},
		{"hot", fleet.Limits{RequestsPerSecond: 1000, TokensPerSecond: 1e5}, 20 * time.Millisecond, 0.3},
	} {
		sim := newSimulation(3, 1, tc.limits, faults{})
		sim.runFor(3 * time.Second)
		sim.demand = func(*simulation) (int, time.Duration) { return 0, tc.every }
		sim.runFor(300 * tc.every)
		got := float64(sim.sent) / float64(sim.requested)
		t.Logf("%s: %.2f messages per request, %d requests, %d refused", tc.name, got, sim.requested, sim.refused)
		if got > tc.most || sim.refused > 0 {
			t.Errorf("%s: %.2f messages per request, want at most %v; %d refused", tc.name, got, tc.most, sim.refused)
		}
	}
}

// TestRaisedLimitIsDelayed checks that a lowered limit applies at once and a raised one after the
// delay, and that the slots of all data centres add up to the limit.
func TestRaisedLimitIsDelayed(t *testing.T) {
	now := time.Unix(100, 0)
	s := schedule{current: dcLimits{10, 10, 10}, next: dcLimits{10, 10, 10}}
	s.set(now, dcLimits{20, 5, unlimited}, time.Minute)
	if got := s.inForce(now); got != (dcLimits{10, 5, 10}) {
		t.Errorf("at once: %+v", got)
	}
	if got := s.inForce(now.Add(time.Minute)); got != (dcLimits{20, 5, unlimited}) {
		t.Errorf("after the delay: %+v", got)
	}
	sum := 0
	for i := range 5 {
		sum += dcLimitsOf(fleet.Limits{Concurrent: 13}, i, 5).slots
	}
	if sum != 13 {
		t.Errorf("shares of 13 slots add up to %d", sum)
	}
}

// TestUsableFractionsAddUpToAtMostOne checks the sum of the usable fractions of several owners whose
// vote shares add up to one.
func TestUsableFractionsAddUpToAtMostOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		left, sum := 1.0, 0.0
		for left > 1e-9 {
			share := min(left, rapid.Float64Range(0.01, 1).Draw(rt, "share"))
			left -= share
			sum += usableFraction(share)
		}
		if sum > 1+1e-9 {
			rt.Fatalf("usable fractions add up to %v", sum)
		}
	})
	if usableFraction(2.0/3) < 1-1e-9 || usableFraction(1.0/3) > 1e-9 {
		t.Error("an owner with two thirds of the votes must have the whole, one with a third nothing")
	}
}

// TestRepeatedMessagesCreateNothing checks that duplicates of borrow and transfer messages
// create no quota.
func TestRepeatedMessagesCreateNothing(t *testing.T) {
	sim := newSimulation(4, 2, fleet.Limits{RequestsPerSecond: 20, Concurrent: 40}, faults{})
	sim.runFor(15 * time.Second)
	owner, receiver := sim.routers[0], sim.routers[routersPerDC]
	out := &wire.Outbox{}
	for range 5 {
		owner.owner.OnBorrow(sim.now, "x", wire.Borrow{ID: 7, Workspace: "w", Requests: 3, Slots: 3, HoldMS: 1000}, ownersView{sim, owner}, out)
		owner.owner.OnTransfer(sim.now, "y", wire.Transfer{ID: 9, Workspace: "w", Step: wire.TransferRequest, Requests: 2, Slots: 2, HoldMS: 1000}, ownersView{sim, owner}, out)
	}
	a, _ := owner.owner.Account(sim.now, "w")
	if a.SlotsLent != 3 || a.SlotsOutgoing != 2 || a.Requests != 5 {
		t.Errorf("after duplicates of 3 slots lent and 2 transferred: %+v", a)
	}
	receiver.owner.OnBorrow(sim.now, "x", wire.Borrow{ID: 8, Workspace: "w", Requests: 30, Slots: 30, HoldMS: 1000}, ownersView{sim, receiver}, out)
	request := out.Messages[len(out.Messages)-1].Message.(wire.Transfer)
	for range 5 {
		grant := wire.Transfer{ID: request.ID, Workspace: "w", Step: wire.TransferGrant, Requests: 4, Slots: 2}
		receiver.owner.OnTransfer(sim.now, owner.id, grant, ownersView{sim, receiver}, out)
	}
	got := receiver.owner.accounts["w"]
	if sum := got.incomingRequests.available(sim.now); sum != 4 || got.incomingSlots(sim.now, sim.now) != 2 {
		t.Errorf("after duplicates of a transfer of 4 requests and 2 slots: %v and %d", sum, got.incomingSlots(sim.now, sim.now))
	}
}

// TestTransferredSlotsAreLentOnce checks that a new owner does not lend slots that its
// predecessor may have transferred to another data centre, and that incoming slots are not lent
// beyond the end of their transfer.
func TestTransferredSlotsAreLentOnce(t *testing.T) {
	lend := func(sim *simulation, r *router, id uint64) int {
		out := &wire.Outbox{}
		m := wire.Borrow{ID: id, Workspace: "w", Requests: 30, Slots: 30, HoldMS: 4000}
		r.owner.OnBorrow(sim.now, "x", m, ownersView{sim, r}, out)
		return int(out.Messages[0].Message.(wire.BorrowReply).Slots)
	}
	const dcSlots, transferable = 20, 5
	for _, tc := range []struct {
		name  string
		after time.Duration
		want  int
	}{{"at once", 2 * time.Second, dcSlots - transferable}, {"later", 10 * time.Second, dcSlots}} {
		sim := newSimulation(7, 2, fleet.Limits{Concurrent: 2 * dcSlots}, faults{})
		sim.runFor(15 * time.Second)
		for _, r := range sim.routers[:routersPerDC] {
			r.knownOwner, r.votesFor, r.votedIncarnation, r.votedAt = sim.routers[1], sim.routers[1], sim.routers[1].incarnation, sim.now
		}
		sim.runFor(tc.after)
		if got := lend(sim, sim.routers[1], 100); got != tc.want {
			t.Errorf("new owner, %s: lends %d slots, want %d", tc.name, got, tc.want)
		}
	}
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{4 * time.Second, dcSlots + 3}, {6 * time.Second, dcSlots}} {
		sim := newSimulation(8, 2, fleet.Limits{Concurrent: 2 * dcSlots}, faults{})
		sim.runFor(15 * time.Second)
		a := sim.routers[0].owner.accounts["w"]
		a.lastTransferRequest = sim.now.Add(time.Hour) // prevents returning incoming slots and requesting more
		a.incoming = []incomingTransfer{{"y", 1, 3, sim.now.Add(9 * time.Second)}}
		sim.runFor(tc.after)
		if got := lend(sim, sim.routers[0], 100); got != tc.want {
			t.Errorf("%v after the transfer: lends %d slots, want %d", tc.after, got, tc.want)
		}
	}
}
