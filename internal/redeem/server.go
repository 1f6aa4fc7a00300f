package redeem

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	sweepInterval = 5 * time.Second // time between removals of expired records
	minRetryAfter = time.Second     // minimum retry-after if there is no capacity for tickets or keys
)

// OwnedSince returns the time since which this router has owned a key slot without interruption, and
// whether it owns the slot now.
type OwnedSince func(slot int) (time.Time, bool)

// ticketIssuer identifies the incarnation of a router that issued tickets.
type ticketIssuer struct {
	instance    fleet.InstanceID
	incarnation fleet.Incarnation
}

// ticketRegistry holds the records of the tickets of one issuer.
type ticketRegistry struct {
	tickets   map[uint64]*ticket
	nextSeq   uint64           // tickets from this number on were never issued; MaxUint64 in a registry that was handed over
	frozen    bool             // frozen for a handover; its records are no longer used here
	successor fleet.InstanceID // receiver of a frozen registry
}

type ticket struct {
	record
	nonce uint64
}

type keyID struct {
	workspace fleet.WorkspaceID
	key       string
}

// Server holds the records of the tickets that this router issued, of the keys in the slots that it
// owns, and of those that stopping peers handed over to it.
type Server struct {
	opt        Options
	rng        *rand.Rand
	self       ticketIssuer
	registries map[ticketIssuer]*ticketRegistry
	keys       map[keyID]*record
	slots      []slotState

	ticketCount  int // ticket records in all registries
	perWorkspace map[fleet.WorkspaceID]int
	storedBytes  int // total size of stored responses
	lastSweep    time.Time
	nextExpiry   time.Time // earliest end of a record's retention, as of the last sweep

	stopping          bool
	outgoing          []*outgoingGroup
	incoming          []*incomingSession
	completedSessions []uint64 // IDs of completed incoming sessions, oldest first
	droppedSessions   []uint64 // IDs of timed-out incoming sessions, oldest first
}

// NewServer returns the Server of one incarnation of a router. rng must yield different values in each
// incarnation.
func NewServer(opt Options, rng *rand.Rand) *Server {
	s := &Server{
		opt:          opt,
		rng:          rng,
		self:         ticketIssuer{opt.Self, opt.Incarnation},
		registries:   map[ticketIssuer]*ticketRegistry{},
		keys:         map[keyID]*record{},
		slots:        make([]slotState, opt.KeySlots),
		perWorkspace: map[fleet.WorkspaceID]int{},
	}
	s.registries[s.self] = &ticketRegistry{tickets: map[uint64]*ticket{}, nextSeq: 1}
	return s
}

// Issue returns up to count new tickets of a workspace in text form. If the server is stopping or has no
// capacity, it returns none and the time after which to retry.
func (s *Server) Issue(now time.Time, ws fleet.WorkspaceID, count int) ([]string, time.Duration) {
	room := min(s.opt.MaxTickets-s.ticketCount, s.opt.MaxRecordsPerWorkspace-s.perWorkspace[ws])
	if s.stopping || room <= 0 || s.storedBytes > s.opt.MaxStoredResponseBytes-s.opt.MaxResponseBytes {
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
	registry := s.registries[s.self]
	id := wire.TicketID{
		Issuer:      s.self.instance,
		Incarnation: s.self.incarnation,
		Seq:         registry.nextSeq,
		Nonce:       s.rng.Uint64(),
		DataCentre:  s.opt.DataCentre,
	}
	registry.nextSeq++
	grantDeadline := now.Add(s.opt.TicketTTL)
	registry.tickets[id.Seq] = &ticket{
		record: record{workspace: ws, grantDeadline: grantDeadline, retainUntil: grantDeadline.Add(s.opt.Retention)},
		nonce:  id.Nonce,
	}
	s.ticketCount++
	s.perWorkspace[ws]++
	return id
}

// OnRedeem returns the reply to a Redeem. It returns false if the Redeem must not be answered, because
// the records of its ticket or key are being handed over to this router.
func (s *Server) OnRedeem(now time.Time, from fleet.InstanceID, m wire.Redeem, ownedSince OwnedSince) (wire.RedeemReply, bool) {
	if m.Key != "" {
		return s.redeemKey(now, from, &m, ownedSince)
	}
	issuer := ticketIssuer{m.Ticket.Issuer, m.Ticket.Incarnation}
	registry := s.registries[issuer]
	if registry == nil {
		return newReply(&m, wire.RedeemNotOwner), !s.receivingTickets(issuer)
	}
	if registry.frozen {
		reply := newReply(&m, wire.RedeemNotOwner)
		reply.Owner = registry.successor
		return reply, true
	}
	t := registry.tickets[m.Ticket.Seq]
	switch {
	case t == nil && m.Ticket.Seq < registry.nextSeq:
		return newReply(&m, wire.RedeemUnknown), true
	case t == nil, t.nonce != m.Ticket.Nonce, t.workspace != m.Workspace:
		return newReply(&m, wire.RedeemInvalid), true
	}
	return t.redeem(now, from, &m, &s.opt), true
}

func newReply(m *wire.Redeem, r wire.RedeemResult) wire.RedeemReply {
	return wire.RedeemReply{Request: m.Request, Result: r}
}

// OnSettle stores the outcome of an attempt. It returns false if the Settle must not be answered, because
// this router does not hold the registry of the ticket's issuer, or the record of the key, and may yet
// receive it. A Settle for a ticket without a record in its registry is acknowledged without effect.
func (s *Server) OnSettle(now time.Time, from fleet.InstanceID, m wire.Settle) (wire.SettleAck, bool) {
	ack := wire.SettleAck{Request: m.Request}
	if m.Key != "" {
		answered := s.settleKey(now, from, &m, &ack)
		return ack, answered
	}
	registry := s.registries[ticketIssuer{m.Ticket.Issuer, m.Ticket.Incarnation}]
	if registry == nil {
		return ack, false
	}
	if registry.frozen {
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

// MarkHolderGone marks a router as gone: its current incarnation has ended, or the platform no longer
// lists it. Attempts that request a right held by one of its unsettled attempts are then answered with
// RedeemUnknown instead of RedeemPending. The right is not freed, because the holding attempt may have
// run or may still run, and may still settle.
func (s *Server) MarkHolderGone(id fleet.InstanceID) {
	for _, registry := range s.registries {
		for _, t := range registry.tickets {
			t.markHolderGone(id)
		}
	}
	for _, r := range s.keys {
		r.markHolderGone(id)
	}
}

// settle stores an outcome in a record and extends its retention. A response for which there is no room
// is not stored.
func (s *Server) settle(now time.Time, r *record, from fleet.InstanceID, m *wire.Settle, retention time.Duration) {
	if !s.hasRoom(m.Response) {
		m.Response = nil
	}
	if !r.settle(from, m) {
		return
	}
	s.storedBytes += r.responseBytes()
	r.extendRetention(now.Add(retention))
}

// hasRoom reports whether a response may be stored.
func (s *Server) hasRoom(resp *wire.StoredResponse) bool {
	size := responseBytes(resp)
	return size <= s.opt.MaxResponseBytes && s.storedBytes+size <= s.opt.MaxStoredResponseBytes
}

// Tick removes expired records, drops stale incoming sessions and repeats unacknowledged handover
// messages.
func (s *Server) Tick(now time.Time, successors Successors, out *wire.Outbox) {
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.sweep(now)
	}
	s.dropStaleIncoming(now)
	s.resendPending(now, successors, out)
}

// sweep removes expired records and updates nextExpiry.
func (s *Server) sweep(now time.Time) {
	s.lastSweep = now
	s.nextExpiry = time.Time{}
	for _, registry := range s.registries {
		for seq, t := range registry.tickets {
			if s.releaseIfExpired(now, &t.record) {
				delete(registry.tickets, seq)
				s.ticketCount--
				s.decrementWorkspace(t.workspace)
			}
		}
	}
	for id, r := range s.keys {
		if s.releaseIfExpired(now, r) {
			delete(s.keys, id)
			s.decrementWorkspace(r.workspace)
		}
	}
}

// releaseIfExpired reports whether a record has expired. If so, it releases the size of the stored
// response; if not, it updates nextExpiry.
func (s *Server) releaseIfExpired(now time.Time, r *record) bool {
	if now.After(r.retainUntil) {
		s.storedBytes -= r.responseBytes()
		return true
	}
	if s.nextExpiry.IsZero() || r.retainUntil.Before(s.nextExpiry) {
		s.nextExpiry = r.retainUntil
	}
	return false
}

func (s *Server) decrementWorkspace(ws fleet.WorkspaceID) {
	s.perWorkspace[ws]--
	if s.perWorkspace[ws] <= 0 {
		delete(s.perWorkspace, ws)
	}
}

// Stats counts the contents of a Server.
type Stats struct {
	Tickets       int `json:"tickets"`
	Keys          int `json:"keys"`
	ResponseBytes int `json:"response_bytes"`
	Registries    int `json:"books"` // issuers whose ticket records are held, including this router
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	return Stats{Tickets: s.ticketCount, Keys: len(s.keys), ResponseBytes: s.storedBytes, Registries: len(s.registries)}
}
