package redeem

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	sweepEvery    = 5 * time.Second // between two searches for registers to drop
	minIssueRetry = time.Second     // after which a refused ticket request may be repeated
)

// OwnedSince tells since when this router has been home to a key slot without a
// break, and whether it is home now.
type OwnedSince func(slot int) (time.Time, bool)

// origin names the issuer of a book of tickets.
type origin struct {
	issuer      fleet.InstanceID
	incarnation fleet.Incarnation
}

// book holds the registers of the tickets of one issuer.
type book struct {
	tickets map[uint64]*ticket
	next    uint64           // tickets from here on were never issued
	moved   bool             // handed over, or about to be: not used here any more
	heir    fleet.InstanceID // of a moved book
}

type ticket struct {
	register
	nonce uint64
}

type keyID struct {
	workspace fleet.WorkspaceID
	key       string
}

// Server holds the registers of the tickets that this router issued, of the keys
// whose home it is, and of those that stopped peers handed over to it.
type Server struct {
	opt   Options
	rng   *rand.Rand
	own   origin
	books map[origin]*book
	keys  map[keyID]*register
	slots []slotState

	tickets      int // registers in all books
	perWorkspace map[fleet.WorkspaceID]int
	bytes        int // of stored responses
	swept        time.Time
	nextForget   time.Time

	stopping bool
	sending  []*sendSession
	staging  []*stageSession
	applied  []uint64 // sessions taken over, oldest first
	dropped  []uint64 // sessions given up as their heir, oldest first
}

// NewServer returns the Server of one run of a router. The rand must not repeat
// over runs.
func NewServer(opt Options, rng *rand.Rand) *Server {
	s := &Server{
		opt:          opt,
		rng:          rng,
		own:          origin{opt.Self, opt.Incarnation},
		books:        map[origin]*book{},
		keys:         map[keyID]*register{},
		slots:        make([]slotState, opt.KeySlots),
		perWorkspace: map[fleet.WorkspaceID]int{},
	}
	s.books[s.own] = &book{tickets: map[uint64]*ticket{}, next: 1}
	return s
}

// Issue returns the texts of up to count new tickets of a workspace, or, when there
// is no room, none and the time after which to ask again.
func (s *Server) Issue(now time.Time, ws fleet.WorkspaceID, count int) ([]string, time.Duration) {
	room := min(s.opt.MaxTickets-s.tickets, s.opt.MaxPerWorkspace-s.perWorkspace[ws])
	if s.stopping || room <= 0 || s.bytes > s.opt.MaxBytes-s.opt.MaxResponseBytes {
		return nil, max(s.nextForget.Sub(now), minIssueRetry)
	}
	count = min(count, room, s.opt.MaxTicketBatch)
	out := make([]string, 0, max(count, 0))
	for range count {
		out = append(out, FormatTicket(s.issue(now, ws)))
	}
	return out, 0
}

func (s *Server) issue(now time.Time, ws fleet.WorkspaceID) wire.TicketID {
	b := s.books[s.own]
	id := wire.TicketID{
		Issuer:      s.own.issuer,
		Incarnation: s.own.incarnation,
		Seq:         b.next,
		Nonce:       s.rng.Uint64(),
		DataCentre:  s.opt.DataCentre,
	}
	b.next++
	closes := now.Add(s.opt.TicketTTL)
	b.tickets[id.Seq] = &ticket{
		register: register{workspace: ws, closes: closes, forget: closes.Add(s.opt.Retention)},
		nonce:    id.Nonce,
	}
	s.tickets++
	s.perWorkspace[ws]++
	return id
}

// OnRedeem answers a Redeem. It returns false when the Redeem must stay unanswered
// because the records of its ticket or key are on their way to this router.
func (s *Server) OnRedeem(now time.Time, from fleet.InstanceID, m wire.Redeem, home OwnedSince) (wire.RedeemReply, bool) {
	if m.Key != "" {
		return s.redeemKey(now, from, &m, home)
	}
	o := origin{m.Ticket.Issuer, m.Ticket.Incarnation}
	b := s.books[o]
	if b == nil {
		return result(&m, wire.RedeemNotOwner), !s.stagingBook(o)
	}
	if b.moved {
		reply := result(&m, wire.RedeemNotOwner)
		reply.Owner = b.heir
		return reply, true
	}
	t := b.tickets[m.Ticket.Seq]
	switch {
	case t == nil && m.Ticket.Seq < b.next:
		return result(&m, wire.RedeemUnknown), true
	case t == nil, t.nonce != m.Ticket.Nonce, t.workspace != m.Workspace:
		return result(&m, wire.RedeemInvalid), true
	}
	return t.redeem(now, from, &m, &s.opt), true
}

func result(m *wire.Redeem, r wire.RedeemResult) wire.RedeemReply {
	return wire.RedeemReply{Request: m.Request, Result: r}
}

// OnSettle takes in how an attempt ended. It returns false when the Settle must
// stay unanswered because this router does not answer for its ticket or key (yet).
func (s *Server) OnSettle(now time.Time, from fleet.InstanceID, m wire.Settle) (wire.SettleAck, bool) {
	ack := wire.SettleAck{Request: m.Request}
	if m.Key != "" {
		return ack, s.settleKey(now, from, &m, &ack)
	}
	b := s.books[origin{m.Ticket.Issuer, m.Ticket.Incarnation}]
	if b == nil {
		return ack, false
	}
	if b.moved {
		ack.Owner = b.heir
		return ack, true
	}
	t := b.tickets[m.Ticket.Seq]
	if t == nil || t.nonce != m.Ticket.Nonce || t.workspace != m.Workspace {
		return ack, true
	}
	s.settle(now, &t.register, from, &m, s.opt.Retention)
	return ack, true
}

// HolderGone notes that the present run of a router has ended, or that the platform
// does not list the router any more. Attempts that it has the right for and did not
// settle are answered to others as Unknown from now on instead of Pending. The right
// stays with them: they may have run, or run yet, and may still settle.
func (s *Server) HolderGone(id fleet.InstanceID) {
	for _, b := range s.books {
		for _, t := range b.tickets {
			t.holderGone(id)
		}
	}
	for _, r := range s.keys {
		r.holderGone(id)
	}
}

// settle updates a register and keeps it, and its response, for the retention.
func (s *Server) settle(now time.Time, r *register, from fleet.InstanceID, m *wire.Settle, keep time.Duration) {
	if !s.keeps(m.Response) {
		m.Response = nil
	}
	if !r.settle(from, m) {
		return
	}
	s.bytes += r.responseBytes()
	r.extend(now.Add(keep))
}

// keeps tells whether there is room for a response.
func (s *Server) keeps(resp *wire.StoredResponse) bool {
	size := responseBytes(resp)
	return size <= s.opt.MaxResponseBytes && s.bytes+size <= s.opt.MaxBytes
}

// Tick drops registers past their retention and repeats unanswered messages.
func (s *Server) Tick(now time.Time, heirs Successors, out *wire.Outbox) {
	if now.Sub(s.swept) >= sweepEvery {
		s.sweep(now)
	}
	s.dropStaging(now)
	s.repeatSessions(now, heirs, out)
}

func (s *Server) sweep(now time.Time) {
	s.swept = now
	s.nextForget = time.Time{}
	for _, b := range s.books {
		for seq, t := range b.tickets {
			if s.expired(now, &t.register) {
				delete(b.tickets, seq)
				s.tickets--
				s.uncount(t.workspace)
			}
		}
	}
	for id, r := range s.keys {
		if s.expired(now, r) {
			delete(s.keys, id)
			s.uncount(r.workspace)
		}
	}
}

// expired tells whether a register may be dropped and notes when the next one may.
func (s *Server) expired(now time.Time, r *register) bool {
	if now.After(r.forget) {
		s.bytes -= r.responseBytes()
		return true
	}
	if s.nextForget.IsZero() || r.forget.Before(s.nextForget) {
		s.nextForget = r.forget
	}
	return false
}

func (s *Server) uncount(ws fleet.WorkspaceID) {
	s.perWorkspace[ws]--
	if s.perWorkspace[ws] <= 0 {
		delete(s.perWorkspace, ws)
	}
}

// Stats describes what a Server holds.
type Stats struct {
	Tickets    int `json:"tickets"`
	Keys       int `json:"keys"`
	Bytes      int `json:"response_bytes"`
	Registries int `json:"books"` // issuers answered for, this router included
}

// Stats returns what the server holds.
func (s *Server) Stats() Stats {
	return Stats{Tickets: s.tickets, Keys: len(s.keys), Bytes: s.bytes, Registries: len(s.books)}
}
