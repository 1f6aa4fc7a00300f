package redeem

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	sweepInterval = 5 * time.Second // between two searches for registers to drop
	minRetryAfter = time.Second     // after which a refused ticket request may be repeated
)

// OwnedSince tells since when this router has been home to a key slot without a
// break, and whether it is home now.
type OwnedSince func(slot int) (time.Time, bool)

// issuerRun names the issuer of a book of tickets.
type issuerRun struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
}

// ticketRegistry holds the registers of the tickets of one issuer.
type ticketRegistry struct {
	tickets   map[uint64]*ticket
	nextSeq   uint64           // tickets from here on were never issued
	moved     bool             // handed over, or about to be: not used here any more
	successor fleet.InstanceID // of a moved book
}

type ticket struct {
	record
	nonce uint64
}

type keyID struct {
	workspace fleet.WorkspaceID
	key       string
}

// Server holds the registers of the tickets that this router issued, of the keys
// whose home it is, and of those that stopped peers handed over to it.
type Server struct {
	opt        Options
	rng        *rand.Rand
	ownRun     issuerRun
	registries map[issuerRun]*ticketRegistry
	keys       map[keyID]*record
	slots      []slotState

	ticketCount  int // registers in all books
	perWorkspace map[fleet.WorkspaceID]int
	storedBytes  int // of stored responses
	lastSweep    time.Time
	nextExpiry   time.Time

	stopping        bool
	outgoing        []*outgoingSession
	incoming        []*incomingSession
	appliedSessions []uint64 // sessions taken over, oldest first
	droppedSessions []uint64 // sessions given up as their heir, oldest first
}

// NewServer returns the Server of one run of a router. The rand must not repeat
// over runs.
func NewServer(opt Options, rng *rand.Rand) *Server {
	s := &Server{
		opt:          opt,
		rng:          rng,
		ownRun:       issuerRun{opt.Self, opt.Incarnation},
		registries:   map[issuerRun]*ticketRegistry{},
		keys:         map[keyID]*record{},
		slots:        make([]slotState, opt.KeySlots),
		perWorkspace: map[fleet.WorkspaceID]int{},
	}
	s.registries[s.ownRun] = &ticketRegistry{tickets: map[uint64]*ticket{}, nextSeq: 1}
	return s
}

// Issue returns the texts of up to count new tickets of a workspace, or, when there
// is no room, none and the time after which to ask again.
func (s *Server) Issue(now time.Time, ws fleet.WorkspaceID, count int) ([]string, time.Duration) {
	room := min(s.opt.MaxTickets-s.ticketCount, s.opt.MaxPerWorkspace-s.perWorkspace[ws])
	if s.stopping || room <= 0 || s.storedBytes > s.opt.MaxBytes-s.opt.MaxResponseBytes {
		return nil, max(s.nextExpiry.Sub(now), minRetryAfter)
	}
	count = min(count, room, s.opt.MaxTicketBatch)
	out := make([]string, 0, max(count, 0))
	for range count {
		out = append(out, FormatTicket(s.issue(now, ws)))
	}
	return out, 0
}

func (s *Server) issue(now time.Time, ws fleet.WorkspaceID) wire.TicketID {
	registry := s.registries[s.ownRun]
	id := wire.TicketID{
		Issuer:      s.ownRun.instance,
		Incarnation: s.ownRun.incarnation,
		Seq:         registry.nextSeq,
		Nonce:       s.rng.Uint64(),
		DataCentre:  s.opt.DataCentre,
	}
	registry.nextSeq++
	grantDeadline := now.Add(s.opt.TicketTTL)
	registry.tickets[id.Seq] = &ticket{
		record: record{workspace: ws, grantDeadline: grantDeadline, expires: grantDeadline.Add(s.opt.Retention)},
		nonce:  id.Nonce,
	}
	s.ticketCount++
	s.perWorkspace[ws]++
	return id
}

// OnRedeem answers a Redeem. It returns false when the Redeem must stay unanswered
// because the records of its ticket or key are on their way to this router.
func (s *Server) OnRedeem(now time.Time, from fleet.InstanceID, m wire.Redeem, ownedSince OwnedSince) (wire.RedeemReply, bool) {
	if m.Key != "" {
		return s.redeemKey(now, from, &m, ownedSince)
	}
	run := issuerRun{m.Ticket.Issuer, m.Ticket.Incarnation}
	registry := s.registries[run]
	if registry == nil {
		return result(&m, wire.RedeemNotOwner), !s.receivingTickets(run)
	}
	if registry.moved {
		reply := result(&m, wire.RedeemNotOwner)
		reply.Owner = registry.successor
		return reply, true
	}
	t := registry.tickets[m.Ticket.Seq]
	switch {
	case t == nil && m.Ticket.Seq < registry.nextSeq:
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
	registry := s.registries[issuerRun{m.Ticket.Issuer, m.Ticket.Incarnation}]
	if registry == nil {
		return ack, false
	}
	if registry.moved {
		ack.Owner = registry.successor
		return ack, true
	}
	t := registry.tickets[m.Ticket.Seq]
	if t == nil || t.nonce != m.Ticket.Nonce || t.workspace != m.Workspace {
		return ack, true
	}
	s.settle(now, &t.record, from, &m, s.opt.Retention)
	return ack, true
}

// HolderGone notes that the present run of a router has ended, or that the platform
// does not list the router any more. Attempts that it has the right for and did not
// settle are answered to others as Unknown from now on instead of Pending. The right
// stays with them: they may have run, or run yet, and may still settle.
func (s *Server) HolderGone(id fleet.InstanceID) {
	for _, registry := range s.registries {
		for _, t := range registry.tickets {
			t.markHolderGone(id)
		}
	}
	for _, r := range s.keys {
		r.markHolderGone(id)
	}
}

// settle updates a register and keeps it, and its response, for the retention.
func (s *Server) settle(now time.Time, r *record, from fleet.InstanceID, m *wire.Settle, retention time.Duration) {
	if !s.hasRoom(m.Response) {
		m.Response = nil
	}
	if !r.settle(from, m) {
		return
	}
	s.storedBytes += r.responseBytes()
	r.keepUntil(now.Add(retention))
}

// hasRoom tells whether there is room for a response.
func (s *Server) hasRoom(resp *wire.StoredResponse) bool {
	size := responseBytes(resp)
	return size <= s.opt.MaxResponseBytes && s.storedBytes+size <= s.opt.MaxBytes
}

// Tick drops registers past their retention and repeats unanswered messages.
func (s *Server) Tick(now time.Time, successors Successors, out *wire.Outbox) {
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.sweep(now)
	}
	s.dropStaleIncoming(now)
	s.resendPending(now, successors, out)
}

func (s *Server) sweep(now time.Time) {
	s.lastSweep = now
	s.nextExpiry = time.Time{}
	for _, registry := range s.registries {
		for seq, t := range registry.tickets {
			if s.expired(now, &t.record) {
				delete(registry.tickets, seq)
				s.ticketCount--
				s.decrementWorkspace(t.workspace)
			}
		}
	}
	for id, r := range s.keys {
		if s.expired(now, r) {
			delete(s.keys, id)
			s.decrementWorkspace(r.workspace)
		}
	}
}

// expired tells whether a register may be dropped and notes when the next one may.
func (s *Server) expired(now time.Time, r *record) bool {
	if now.After(r.expires) {
		s.storedBytes -= r.responseBytes()
		return true
	}
	if s.nextExpiry.IsZero() || r.expires.Before(s.nextExpiry) {
		s.nextExpiry = r.expires
	}
	return false
}

func (s *Server) decrementWorkspace(ws fleet.WorkspaceID) {
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
	return Stats{Tickets: s.ticketCount, Keys: len(s.keys), Bytes: s.storedBytes, Registries: len(s.registries)}
}
