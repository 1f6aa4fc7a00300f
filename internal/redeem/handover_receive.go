package redeem

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	stageTimeout     = 10 * time.Second // without a message, after which a session is dropped
	maxStageSessions = 64               // open at a time
	maxPastSessions  = 256              // remembered as applied, and as dropped
)

// stageSession collects the records of a session until its last message.
type stageSession struct {
	id      uint64
	from    fleet.InstanceID
	book    origin
	slots   []int
	next    uint32    // the Seq that is expected
	opened  time.Time // of the first acknowledgement of Seq 0
	heard   time.Time
	records []wire.RedemptionRecord
}

// OnHandover takes in a message of a handover, or the acknowledgement of one.
func (s *Server) OnHandover(now time.Time, from fleet.InstanceID, m wire.Handover, home OwnedSince, out *wire.Outbox) {
	if m.Ack {
		s.onHandoverAck(now, from, &m, home, out)
		return
	}
	if slices.Contains(s.applied, m.Session) || s.stage(now, from, &m) {
		out.Send(from, wire.Handover{Session: m.Session, Seq: m.Seq, Ack: true})
	}
}

// stage keeps the records of a message. It returns whether to acknowledge it.
func (s *Server) stage(now time.Time, from fleet.InstanceID, m *wire.Handover) bool {
	st := s.findStage(from, m.Session)
	if st == nil {
		if m.Seq != 0 || m.Last || s.stopping || len(s.staging) >= maxStageSessions {
			return false
		}
		if slices.Contains(s.dropped, m.Session) {
			return false // its opening time is forgotten
		}
		st = openStage(now, from, m)
		s.staging = append(s.staging, st)
	}
	if m.Seq != st.next {
		return m.Seq < st.next
	}
	if s.tickets+len(s.keys)+s.staged()+len(m.Records) > 2*(s.opt.MaxTickets+s.opt.MaxKeys) {
		return false
	}
	st.next++
	st.heard = now
	st.records = append(st.records, m.Records...)
	if m.Last {
		s.apply(now, st, m)
	}
	return true
}

func openStage(now time.Time, from fleet.InstanceID, m *wire.Handover) *stageSession {
	st := &stageSession{
		id:     m.Session,
		from:   from,
		book:   origin{m.Issuer, m.Incarnation},
		opened: now,
		heard:  now,
	}
	for _, h := range m.Slots {
		st.slots = append(st.slots, int(h.Slot))
	}
	return st
}

func (s *Server) findStage(from fleet.InstanceID, id uint64) *stageSession {
	for _, st := range s.staging {
		if st.id == id && st.from == from {
			return st
		}
	}
	return nil
}

func (s *Server) staged() int {
	n := 0
	for _, st := range s.staging {
		n += len(st.records)
	}
	return n
}

// apply takes over the records of a complete session.
func (s *Server) apply(now time.Time, st *stageSession, last *wire.Handover) {
	s.staging = slices.DeleteFunc(s.staging, func(o *stageSession) bool { return o == st })
	s.applied = remember(s.applied, st.id)
	if st.book.issuer != "" {
		s.applyBook(now, st)
		return
	}
	s.applyKeys(now, st.records)
	for _, h := range last.Slots {
		if int(h.Slot) < len(s.slots) {
			s.slots[h.Slot].cover(now, st.opened, time.Duration(h.CompleteMS)*time.Millisecond)
		}
	}
}

func (s *Server) applyBook(now time.Time, st *stageSession) {
	if s.books[st.book] != nil {
		return // no book moves twice to the same router
	}
	b := &book{tickets: map[uint64]*ticket{}, next: ^uint64(0)}
	s.books[st.book] = b
	for i := range st.records {
		rec := &st.records[i]
		b.tickets[rec.Ticket.Seq] = &ticket{register: s.restore(now, rec), nonce: rec.Ticket.Nonce}
		s.tickets++
		s.perWorkspace[rec.Workspace]++
	}
}

func (s *Server) applyKeys(now time.Time, records []wire.RedemptionRecord) {
	for i := range records {
		rec := &records[i]
		id := keyID{rec.Workspace, rec.Key}
		if old := s.keys[id]; old != nil {
			if old.request != "" {
				continue // the right was given here and is not forgotten
			}
			s.uncount(old.workspace)
		}
		r := s.restore(now, rec)
		s.keys[id] = &r
		s.perWorkspace[rec.Workspace]++
	}
}

// cover notes that records of the slot are complete, counted from the receipt of
// the last message: later than true, which is safe.
func (st *slotState) cover(now, opened time.Time, held time.Duration) {
	st.covered = true
	st.since = now.Add(-held)
	st.opened = opened
}

// record returns the register as it is handed over, without its name.
func (r *register) record(now time.Time) wire.RedemptionRecord {
	rec := wire.RedemptionRecord{
		Workspace:      r.workspace,
		Request:        r.request,
		Digest:         r.digest,
		Outcome:        r.outcome,
		Response:       r.response,
		Holder:         r.holder,
		DigestSet:      r.bound,
		NotRunAttempts: r.spent,
		RetentionMS:    remainingMS(now, r.forget),
	}
	if !r.closes.IsZero() {
		rec.TTLMS = 1 + remainingMS(now, r.closes)
	}
	return rec
}

func remainingMS(now, t time.Time) uint32 {
	return uint32(max(t.Sub(now), 0) / time.Millisecond)
}

// restore returns the register of a record. A pending attempt counts as granted at
// now: it is then given up later than by the former server, which is safe.
func (s *Server) restore(now time.Time, rec *wire.RedemptionRecord) register {
	r := register{
		workspace: rec.Workspace,
		digest:    rec.Digest,
		bound:     rec.DigestSet,
		request:   rec.Request,
		holder:    rec.Holder,
		granted:   now,
		outcome:   rec.Outcome,
		response:  rec.Response,
		spent:     rec.NotRunAttempts,
		forget:    now.Add(time.Duration(rec.RetentionMS) * time.Millisecond),
	}
	if rec.TTLMS > 0 {
		r.closes = now.Add(time.Duration(rec.TTLMS-1) * time.Millisecond)
	}
	if !s.keeps(r.response) {
		r.response = nil
	}
	s.bytes += r.responseBytes()
	return r
}

// stagingBook tells whether the records of a book are on their way to this router.
func (s *Server) stagingBook(o origin) bool {
	return slices.ContainsFunc(s.staging, func(st *stageSession) bool { return st.book == o })
}

// stagingSlot tells whether the records of a slot are on their way to this router.
func (s *Server) stagingSlot(slot int) bool {
	return slices.ContainsFunc(s.staging, func(st *stageSession) bool { return slices.Contains(st.slots, slot) })
}

// dropStaging gives up sessions whose sender went silent.
func (s *Server) dropStaging(now time.Time) {
	kept := s.staging[:0]
	for _, st := range s.staging {
		if now.Sub(st.heard) <= stageTimeout {
			kept = append(kept, st)
			continue
		}
		s.dropped = remember(s.dropped, st.id)
	}
	clear(s.staging[len(kept):])
	s.staging = kept
}

// remember appends a session and forgets the oldest one beyond maxPastSessions.
func remember(past []uint64, id uint64) []uint64 {
	if len(past) >= maxPastSessions {
		past = slices.Delete(past, 0, 1)
	}
	return append(past, id)
}
