package redeem

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	incomingTimeout     = 10 * time.Second // without a message, before a session is dropped
	maxIncomingSessions = 64               // concurrent incoming sessions
	maxPastSessions     = 256              // session IDs kept in each of completedSessions and droppedSessions
)

// incomingSession is a session with a sender. It buffers the records until the last message.
type incomingSession struct {
	id          uint64
	from        fleet.InstanceID
	issuer      ticketIssuer // zero for a session of key slots
	slots       []int
	nextSeq     uint32    // Seq of the next message
	openedAt    time.Time // when Seq 0 was first received and acknowledged
	lastMessage time.Time
	records     []wire.RedemptionRecord
}

// OnHandover processes a handover message or its acknowledgement.
func (s *Server) OnHandover(now time.Time, from fleet.InstanceID, m wire.RedemptionHandover, ownedSince OwnedSince, out *wire.Outbox) {
	if m.Ack {
		s.onHandoverAck(now, from, &m, ownedSince, out)
		return
	}
	if slices.Contains(s.completedSessions, m.Session) || s.receiveMessage(now, from, &m) {
		out.Send(from, wire.RedemptionHandover{Session: m.Session, Seq: m.Seq, Incarnation: s.self.incarnation, Ack: true})
	}
}

// receiveMessage processes a message of a session: it opens the session, buffers the records, and
// applies the session at the last message. It reports whether to acknowledge the message. A repeated
// message is acknowledged again, without effect. Records that were sent to an earlier incarnation are not
// accepted: that incarnation may have used them and handed them over to another router.
func (s *Server) receiveMessage(now time.Time, from fleet.InstanceID, m *wire.RedemptionHandover) bool {
	if m.Seq != 0 && m.Incarnation != s.self.incarnation {
		return false
	}
	ss := s.findIncoming(from, m.Session)
	if ss == nil {
		if m.Seq != 0 || m.Last || s.stopping || len(s.incoming) >= maxIncomingSessions {
			return false
		}
		if slices.Contains(s.droppedSessions, m.Session) {
			return false // reopened, the session would have too late an openedAt for setComplete
		}
		ss = newIncomingSession(now, from, m)
		s.incoming = append(s.incoming, ss)
	}
	if m.Seq != ss.nextSeq {
		return m.Seq < ss.nextSeq
	}
	// During handovers, the records of this router and of its peers may together be twice the limits.
	if s.ticketCount+len(s.keys)+s.bufferedRecords()+len(m.Records) > 2*(s.opt.MaxTickets+s.opt.MaxKeys) {
		return false
	}
	ss.nextSeq++
	ss.lastMessage = now
	ss.records = append(ss.records, m.Records...)
	if m.Last {
		s.applySession(now, ss, m)
	}
	return true
}

func newIncomingSession(now time.Time, from fleet.InstanceID, m *wire.RedemptionHandover) *incomingSession {
	ss := &incomingSession{
		id:          m.Session,
		from:        from,
		issuer:      ticketIssuer{m.Issuer, m.Incarnation},
		openedAt:    now,
		lastMessage: now,
	}
	for _, h := range m.Slots {
		ss.slots = append(ss.slots, int(h.Slot))
	}
	return ss
}

func (s *Server) findIncoming(from fleet.InstanceID, id uint64) *incomingSession {
	for _, ss := range s.incoming {
		if ss.id == id && ss.from == from {
			return ss
		}
	}
	return nil
}

func (s *Server) bufferedRecords() int {
	n := 0
	for _, ss := range s.incoming {
		n += len(ss.records)
	}
	return n
}

// applySession ends a session, of which all messages were received, and puts its records to use.
func (s *Server) applySession(now time.Time, ss *incomingSession, last *wire.RedemptionHandover) {
	s.incoming = slices.DeleteFunc(s.incoming, func(other *incomingSession) bool { return other == ss })
	s.completedSessions = appendBounded(s.completedSessions, ss.id)
	if ss.issuer.instance != "" {
		s.applyTickets(now, ss)
		return
	}
	s.applyKeys(now, ss.records)
	for _, h := range last.Slots {
		if int(h.Slot) < len(s.slots) {
			s.slots[h.Slot].setComplete(now, ss.openedAt, time.Duration(h.CompleteMS)*time.Millisecond)
		}
	}
}

func (s *Server) applyTickets(now time.Time, ss *incomingSession) {
	if s.registries[ss.issuer] != nil {
		return // the tickets of an issuer are never handed over to the same router twice
	}
	// The highest nextSeq: it is not known which tickets were issued, so a missing one gives RedeemUnknown.
	registry := &ticketRegistry{tickets: map[uint64]*ticket{}, nextSeq: ^uint64(0)}
	s.registries[ss.issuer] = registry
	for i := range ss.records {
		rec := &ss.records[i]
		registry.tickets[rec.Ticket.Seq] = &ticket{record: s.restore(now, rec), nonce: rec.Ticket.Nonce}
		s.ticketCount++
		s.perWorkspace[rec.Workspace]++
	}
}

func (s *Server) applyKeys(now time.Time, records []wire.RedemptionRecord) {
	for i := range records {
		rec := &records[i]
		id := keyID{rec.Workspace, rec.Key}
		if old := s.keys[id]; old != nil {
			if old.request != "" {
				continue // the right was granted by this router; its record must be kept
			}
			s.decrementWorkspace(old.workspace)
		}
		r := s.restore(now, rec)
		s.keys[id] = &r
		s.perWorkspace[rec.Workspace]++
	}
}

// setComplete marks the records of the slot as complete. completeFor is the duration for which they
// were complete when the sender froze them. It is counted back from the receipt of the last message,
// which yields a later start than the actual one. That is safe.
func (st *slotState) setComplete(now, opened time.Time, completeFor time.Duration) {
	st.complete = true
	st.completeFrom = now.Add(-completeFor)
	st.completeUntil = opened
}

// toWire returns the record for a handover, without its ticket or key.
func (r *record) toWire(now time.Time) wire.RedemptionRecord {
	rec := wire.RedemptionRecord{
		Workspace:      r.workspace,
		Request:        r.request,
		RequestHash:    r.requestHash,
		Outcome:        r.outcome,
		Response:       r.response,
		Holder:         r.holder,
		HasRequestHash: r.hasRequestHash,
		NotRunAttempts: r.notRunAttempts,
		RetentionMS:    remainingMS(now, r.retainUntil),
	}
	if !r.grantDeadline.IsZero() {
		rec.TTLMSPlusOne = 1 + remainingMS(now, r.grantDeadline)
	}
	return rec
}

// remainingMS returns the milliseconds from now to t, or 0 if t has passed.
func remainingMS(now, t time.Time) uint32 {
	return uint32(max(t.Sub(now), 0) / time.Millisecond)
}

// restore returns the record of a handover message. A pending attempt counts as granted at now, so it
// times out later than at the former owner. That is safe.
func (s *Server) restore(now time.Time, rec *wire.RedemptionRecord) record {
	r := record{
		workspace:      rec.Workspace,
		requestHash:    rec.RequestHash,
		hasRequestHash: rec.HasRequestHash,
		request:        rec.Request,
		holder:         rec.Holder,
		grantedAt:      now,
		outcome:        rec.Outcome,
		response:       rec.Response,
		notRunAttempts: rec.NotRunAttempts,
		retainUntil:    now.Add(time.Duration(rec.RetentionMS) * time.Millisecond),
	}
	if rec.TTLMSPlusOne > 0 {
		r.grantDeadline = now.Add(time.Duration(rec.TTLMSPlusOne-1) * time.Millisecond)
	}
	if !s.hasRoom(r.response) {
		r.response = nil
	}
	s.storedBytes += r.responseBytes()
	return r
}

// receivingTickets reports whether an incoming session with the ticket records of an issuer is open.
func (s *Server) receivingTickets(issuer ticketIssuer) bool {
	return slices.ContainsFunc(s.incoming, func(ss *incomingSession) bool { return ss.issuer == issuer })
}

// receivingSlot reports whether an incoming session with the records of a key slot is open.
func (s *Server) receivingSlot(slot int) bool {
	return slices.ContainsFunc(s.incoming, func(ss *incomingSession) bool { return slices.Contains(ss.slots, slot) })
}

// dropStaleIncoming drops incoming sessions without a message for incomingTimeout.
func (s *Server) dropStaleIncoming(now time.Time) {
	kept := s.incoming[:0]
	for _, ss := range s.incoming {
		if now.Sub(ss.lastMessage) <= incomingTimeout {
			kept = append(kept, ss)
			continue
		}
		s.droppedSessions = appendBounded(s.droppedSessions, ss.id)
	}
	clear(s.incoming[len(kept):])
	s.incoming = kept
}

// appendBounded appends a session ID. At maxPastSessions it removes the oldest one first.
func appendBounded(past []uint64, id uint64) []uint64 {
	if len(past) >= maxPastSessions {
		past = slices.Delete(past, 0, 1)
	}
	return append(past, id)
}
