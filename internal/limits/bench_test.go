package limits

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// BenchmarkAcquireAtHand admits a request from borrowed quota and releases it.
func BenchmarkAcquireAtHand(b *testing.B) {
	l := fleet.Limits{RequestsPerSecond: 1, TokensPerSecond: 1, Concurrent: 1}
	sim := newSimulation(1, 1, l, faults{})
	r := sim.routers[0]
	s := ownersView{sim, r}
	out := &wire.Outbox{}
	q := r.borrower.quotaFor(sim.now, "w")
	far := sim.now.Add(time.Hour)
	q.requests.add(1e15, far)
	q.tokens.add(1e15, far)
	q.free = append(q.free, slot{id: 1, expires: far})
	for b.Loop() {
		r.borrower.Acquire(sim.now, "r", "w", l, Need{Tokens: 10, Hold: time.Second}, s, out)
		r.borrower.Release(sim.now, "r", "w")
	}
	if len(out.Messages) > 0 {
		b.Fatal("sent messages")
	}
}

// BenchmarkBorrow lends quota for one request with its slot and takes the slot back.
func BenchmarkBorrow(b *testing.B) {
	sim := newSimulation(1, 1, fleet.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrent: 100}, faults{})
	sim.runFor(15 * time.Second)
	r := sim.routers[0]
	s := ownersView{sim, r}
	out := &wire.Outbox{}
	now := sim.now
	back := []uint64{0}
	for id := uint64(1); b.Loop(); id++ {
		now = now.Add(20 * time.Millisecond)
		back[0] = id - 1
		r.owner.OnBorrow(now, "x", wire.Borrow{ID: id, Workspace: "w", Requests: 1, Tokens: 10, Slots: 1, HoldMS: 1000, Returned: back}, s, out)
		if out.Messages[0].Message.(wire.BorrowReply).Requests != 1 {
			b.Fatal("lent nothing")
		}
		out.Reset()
		if id%50 == 0 {
			r.owner.Tick(now, s, out)
		}
	}
}
