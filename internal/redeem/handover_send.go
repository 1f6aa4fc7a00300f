package redeem

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	handoverResend   = 250 * time.Millisecond // between two sendings of a handover message
	handoverPatience = 2 * time.Second        // without acknowledgement, before another heir is tried
	handoverHeirs    = 3                      // tried for each group of records
	handoverRecords  = 128                    // in one message
	handoverBytes    = 48 << 10               // of responses in one message
)

// Successors names the peers to which a stopping router hands over. An excluded peer is
// not named. "" means that there is none.
type Successors interface {
	// TicketSuccessor returns the heir of an issuer's tickets, as TicketCandidates ranks them.
	TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID
	// SlotSuccessor returns the next home of a key slot.
	SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID
}

// sendSession passes one group of records to one heir: a book, or a set of slots.
type sendSession struct {
	id       uint64
	heir     fleet.InstanceID
	excluded []fleet.InstanceID
	book     origin // zero: slots
	slots    []int

	frozen   bool // the group is not served here any more
	messages []wire.Handover
	next     int // index of the message that awaits its acknowledgement
	sent     time.Time
	progress time.Time
	done     bool // acknowledged whole, or given up
	failed   bool
}

// BeginHandover starts a planned stop: no ticket is issued any more, and the records
// are offered to heirs. The router must stay home to its key slots until Frozen.
func (s *Server) BeginHandover(now time.Time, heirs Successors, out *wire.Outbox) {
	if s.stopping {
		return
	}
	s.stopping = true
	for _, o := range s.origins() {
		s.startSession(now, &sendSession{book: o}, heirs, out)
	}
	for _, group := range s.slotGroups(heirs, nil) {
		s.startSession(now, group, heirs, out)
	}
}

// origins returns the books that this router answers for, in a fixed order.
func (s *Server) origins() []origin {
	var out []origin
	for o, b := range s.books {
		if !b.moved {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b origin) int {
		return cmp.Or(cmp.Compare(a.issuer, b.issuer), cmp.Compare(a.incarnation, b.incarnation))
	})
	return out
}

// slotGroups returns one session for each heir of key slots, in the order of slots.
func (s *Server) slotGroups(heirs Successors, excluded []fleet.InstanceID) []*sendSession {
	byHeir := map[fleet.InstanceID]*sendSession{}
	var out []*sendSession
	for slot := range s.slots {
		heir := heirs.SlotSuccessor(slot, excluded)
		if heir == "" || s.slots[slot].moved {
			continue
		}
		g := byHeir[heir]
		if g == nil {
			g = &sendSession{heir: heir}
			byHeir[heir] = g
			out = append(out, g)
		}
		g.slots = append(g.slots, slot)
	}
	return out
}

// startSession sends the opening of a session. Nothing has frozen yet.
func (s *Server) startSession(now time.Time, ss *sendSession, heirs Successors, out *wire.Outbox) {
	if ss.heir == "" {
		ss.heir = heirs.TicketSuccessor(ss.book.issuer, ss.excluded)
	}
	s.sending = append(s.sending, ss)
	s.openSession(now, ss, out)
}

func (s *Server) openSession(now time.Time, ss *sendSession, out *wire.Outbox) {
	if ss.heir == "" {
		ss.done, ss.failed = true, true
		return
	}
	ss.id = s.rng.Uint64()
	ss.next = 0
	ss.progress = now
	ss.messages = []wire.Handover{s.opening(ss)}
	if ss.frozen {
		s.uncover(ss)
		s.fill(now, ss)
		s.pointTo(ss)
	}
	s.sendNext(now, ss, out)
}

func (s *Server) opening(ss *sendSession) wire.Handover {
	h := wire.Handover{Session: ss.id, Issuer: ss.book.issuer, Incarnation: ss.book.incarnation}
	for _, slot := range ss.slots {
		h.Slots = append(h.Slots, wire.SlotHandover{Slot: uint32(slot)})
	}
	return h
}

func (s *Server) sendNext(now time.Time, ss *sendSession, out *wire.Outbox) {
	ss.sent = now
	out.Send(ss.heir, ss.messages[ss.next])
}

// onHandoverAck goes on with a session. The first acknowledgement freezes its group.
func (s *Server) onHandoverAck(now time.Time, from fleet.InstanceID, m *wire.Handover, home OwnedSince, out *wire.Outbox) {
	for _, ss := range s.sending {
		if ss.done || ss.id != m.Session || ss.heir != from || int(m.Seq) != ss.next {
			continue
		}
		ss.progress = now
		if !ss.frozen {
			s.freeze(now, ss, home)
		}
		ss.next++
		if ss.next == len(ss.messages) {
			ss.done = true
			return
		}
		s.sendNext(now, ss, out)
		return
	}
}

// freeze stops the service of a group, so that its records do not change any more.
func (s *Server) freeze(now time.Time, ss *sendSession, home OwnedSince) {
	ss.frozen = true
	if len(ss.slots) == 0 {
		s.books[ss.book].moved = true
	}
	for _, slot := range ss.slots {
		st := &s.slots[slot]
		st.moved = true
		since, ok := home(slot)
		st.covered = ok
		if ok {
			st.since = st.completeSince(since, s.opt.MaxClockSkew)
		}
		st.opened = now
	}
	s.pointTo(ss)
	s.fill(now, ss)
}

// uncover gives up the claim that the records of the slots are complete. A second
// heir opens its session after they froze and cannot know how long ago that was.
func (s *Server) uncover(ss *sendSession) {
	for _, slot := range ss.slots {
		s.slots[slot].covered = false
	}
}

// pointTo directs askers to the heir of a frozen group.
func (s *Server) pointTo(ss *sendSession) {
	if len(ss.slots) == 0 {
		s.books[ss.book].heir = ss.heir
	}
	for _, slot := range ss.slots {
		s.slots[slot].heir = ss.heir
	}
}

// fill appends the messages with the records of a frozen group.
func (s *Server) fill(now time.Time, ss *sendSession) {
	ss.messages = ss.messages[:1]
	next := ss.messages[0]
	next.Slots = nil
	size := 0
	flush := func() {
		next.Seq = uint32(len(ss.messages))
		ss.messages = append(ss.messages, next)
		next.Records = nil
		size = 0
	}
	for _, r := range s.records(now, ss) {
		next.Records = append(next.Records, r)
		size += responseBytes(r.Response)
		if len(next.Records) >= handoverRecords || size >= handoverBytes {
			flush()
		}
	}
	next.Last = true
	for _, slot := range ss.slots {
		st := s.slots[slot]
		if st.covered {
			held := now.Sub(st.since)
			next.Slots = append(next.Slots, wire.SlotHandover{Slot: uint32(slot), CompleteMS: uint64(max(held, 0) / time.Millisecond)})
		}
	}
	flush()
}

// records returns the records of a group in a fixed order.
func (s *Server) records(now time.Time, ss *sendSession) []wire.RedemptionRecord {
	if len(ss.slots) > 0 {
		return s.keyRecords(now, ss.slots)
	}
	var out []wire.RedemptionRecord
	for seq, t := range s.books[ss.book].tickets {
		r := t.record(now)
		r.Ticket = wire.TicketID{Issuer: ss.book.issuer, Incarnation: ss.book.incarnation, Seq: seq, Nonce: t.nonce}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b wire.RedemptionRecord) int { return cmp.Compare(a.Ticket.Seq, b.Ticket.Seq) })
	return out
}

func (s *Server) keyRecords(now time.Time, slots []int) []wire.RedemptionRecord {
	var out []wire.RedemptionRecord
	for id, reg := range s.keys {
		if slices.Contains(slots, Slot(id.workspace, id.key, s.opt.KeySlots)) {
			r := reg.record(now)
			r.Key = id.key
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b wire.RedemptionRecord) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// repeatSessions sends unacknowledged messages again. An heir that stays silent is
// replaced, unless it may already have the Last message.
func (s *Server) repeatSessions(now time.Time, heirs Successors, out *wire.Outbox) {
	for _, ss := range s.sending {
		if ss.done || now.Sub(ss.sent) < handoverResend {
			continue
		}
		if now.Sub(ss.progress) >= handoverPatience {
			s.replaceHeir(now, ss, heirs, out)
			continue
		}
		s.sendNext(now, ss, out)
	}
}

func (s *Server) replaceHeir(now time.Time, ss *sendSession, heirs Successors, out *wire.Outbox) {
	ss.excluded = append(ss.excluded, ss.heir)
	if ss.messages[ss.next].Last || len(ss.excluded) >= handoverHeirs {
		ss.done, ss.failed = true, true
		return
	}
	ss.heir = s.nextHeir(ss, heirs)
	s.openSession(now, ss, out)
}

func (s *Server) nextHeir(ss *sendSession, heirs Successors) fleet.InstanceID {
	if len(ss.slots) == 0 {
		return heirs.TicketSuccessor(ss.book.issuer, ss.excluded)
	}
	return heirs.SlotSuccessor(ss.slots[0], ss.excluded)
}

// Frozen tells whether this router has stopped redeeming: all groups are frozen or
// given up. Ownership of key slots may then be released.
func (s *Server) Frozen() bool {
	for _, ss := range s.sending {
		if !ss.frozen && !ss.done {
			return false
		}
	}
	return s.stopping
}

// HandedOver tells whether the planned stop needs no more time: every group was
// taken over whole, or given up. Failed counts the groups that were given up.
func (s *Server) HandedOver() (done bool, failed int) {
	for _, ss := range s.sending {
		if !ss.done {
			return false, 0
		}
		if ss.failed {
			failed++
		}
	}
	return s.stopping, failed
}
