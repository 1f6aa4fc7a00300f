package redeem

import (
	"strconv"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// BenchmarkTicket issues, redeems and settles one ticket.
func BenchmarkTicket(b *testing.B) {
	s := newTestServer("n", func(o *Options) { o.MaxTickets, o.MaxRecordsPerWorkspace = 1<<30, 1<<30 })
	now := t0
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Millisecond)
		texts, _ := s.Issue(now, testWorkspace, 1)
		id, _ := ParseTicket(texts[0])
		req := fleet.RequestID(strconv.Itoa(i))
		s.OnRedeem(now, "from", wire.Redeem{Ticket: id, Workspace: testWorkspace, Request: req}, nil)
		s.OnSettle(now, "from", wire.Settle{Ticket: id, Workspace: testWorkspace, Request: req, Outcome: wire.SettleAnswered})
		s.Tick(now, nil, nil)
	}
}

// BenchmarkKey redeems and settles one key.
func BenchmarkKey(b *testing.B) {
	s := newTestServer("n", func(o *Options) { o.MaxKeys, o.MaxRecordsPerWorkspace = 1<<30, 1<<30 })
	ownedSince := func(int) (time.Time, bool) { return t0.Add(-time.Hour), true }
	now := t0
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Millisecond)
		key := strconv.Itoa(i)
		s.OnRedeem(now, "from", wire.Redeem{Key: key, Workspace: testWorkspace, Request: "r"}, ownedSince)
		s.OnSettle(now, "from", wire.Settle{Key: key, Workspace: testWorkspace, Request: "r", Outcome: wire.SettleAnswered})
		s.Tick(now, nil, nil)
	}
}
