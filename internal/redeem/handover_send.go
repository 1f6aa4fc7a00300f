package redeem

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	handoverResendInterval     = 250 * time.Millisecond // between two sendings of a handover message
	handoverAckTimeout         = 2 * time.Second        // without acknowledgement, before another heir is tried
	maxHandoverSuccessors      = 3                      // tried for each group of records
	maxRecordsPerMessage       = 128                    // in one message
	maxResponseBytesPerMessage = 48 << 10               // of responses in one message
)

// Successors names the peers to which a stopping router hands over. An excluded peer is
// not named. "" means that there is none.
type Successors interface {
	// TicketSuccessor returns the heir of an issuer's tickets, as TicketCandidates ranks them.
	TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID
	// SlotSuccessor returns the next home of a key slot.
	SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID
}

// outgoingSession passes one group of records to one heir: a book, or a set of slots.
type outgoingSession struct {
	id        uint64
	successor fleet.InstanceID
	excluded  []fleet.InstanceID
	issuer    issuerRun // zero: slots
	slots     []int

	frozen       bool // the group is not served here any more
	messages     []wire.Handover
	current      int // index of the message that awaits its acknowledgement
	lastSent     time.Time
	lastProgress time.Time
	done         bool // acknowledged whole, or given up
	failed       bool
}

// BeginHandover starts a planned stop: no ticket is issued any more, and the records
// are offered to heirs. The router must stay home to its key slots until Frozen.
func (s *Server) BeginHandover(now time.Time, successors Successors, out *wire.Outbox) {
	if s.stopping {
		return
	}
	s.stopping = true
	for _, o := range s.activeIssuers() {
		s.startSession(now, &outgoingSession{issuer: o}, successors, out)
	}
	for _, group := range s.slotGroups(successors, nil) {
		s.startSession(now, group, successors, out)
	}
}

// activeIssuers returns the books that this router answers for, in a fixed order.
func (s *Server) activeIssuers() []issuerRun {
	var out []issuerRun
	for o, b := range s.registries {
		if !b.moved {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b issuerRun) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.incarnation, b.incarnation))
	})
	return out
}

// slotGroups returns one session for each heir of key slots, in the order of slots.
func (s *Server) slotGroups(successors Successors, excluded []fleet.InstanceID) []*outgoingSession {
	bySuccessor := map[fleet.InstanceID]*outgoingSession{}
	var out []*outgoingSession
	for slot := range s.slots {
		successor := successors.SlotSuccessor(slot, excluded)
		if successor == "" || s.slots[slot].moved {
			continue
		}
		g := bySuccessor[successor]
		if g == nil {
			g = &outgoingSession{successor: successor}
			bySuccessor[successor] = g
			out = append(out, g)
		}
		g.slots = append(g.slots, slot)
	}
	return out
}

// startSession sends the opening of a session. Nothing has frozen yet.
func (s *Server) startSession(now time.Time, ss *outgoingSession, successors Successors, out *wire.Outbox) {
	if ss.successor == "" {
		ss.successor = successors.TicketSuccessor(ss.issuer.instance, ss.excluded)
	}
	s.outgoing = append(s.outgoing, ss)
	s.openSession(now, ss, out)
}

func (s *Server) openSession(now time.Time, ss *outgoingSession, out *wire.Outbox) {
	if ss.successor == "" {
		ss.done, ss.failed = true, true
		return
	}
	ss.id = s.rng.Uint64()
	ss.current = 0
	ss.lastProgress = now
	ss.messages = []wire.Handover{s.openingMessage(ss)}
	if ss.frozen {
		s.clearComplete(ss)
		s.buildMessages(now, ss)
		s.redirectToSuccessor(ss)
	}
	s.sendCurrent(now, ss, out)
}

func (s *Server) openingMessage(ss *outgoingSession) wire.Handover {
	h := wire.Handover{Session: ss.id, Issuer: ss.issuer.instance, Incarnation: ss.issuer.incarnation}
	for _, slot := range ss.slots {
		h.Slots = append(h.Slots, wire.SlotHandover{Slot: uint32(slot)})
	}
	return h
}

func (s *Server) sendCurrent(now time.Time, ss *outgoingSession, out *wire.Outbox) {
	ss.lastSent = now
	out.Send(ss.successor, ss.messages[ss.current])
}

// onHandoverAck goes on with a session. The first acknowledgement freezes its group.
func (s *Server) onHandoverAck(now time.Time, from fleet.InstanceID, m *wire.Handover, ownedSince OwnedSince, out *wire.Outbox) {
	for _, ss := range s.outgoing {
		if ss.done || ss.id != m.Session || ss.successor != from || int(m.Seq) != ss.current {
			continue
		}
		ss.lastProgress = now
		if !ss.frozen {
			s.freeze(now, ss, ownedSince)
		}
		ss.current++
		if ss.current == len(ss.messages) {
			ss.done = true
			return
		}
		s.sendCurrent(now, ss, out)
		return
	}
}

// freeze stops the service of a group, so that its records do not change any more.
func (s *Server) freeze(now time.Time, ss *outgoingSession, ownedSince OwnedSince) {
	ss.frozen = true
	if len(ss.slots) == 0 {
		s.registries[ss.issuer].moved = true
	}
	for _, slot := range ss.slots {
		st := &s.slots[slot]
		st.moved = true
		from, ok := ownedSince(slot)
		st.complete = ok
		if ok {
			st.completeFrom = st.completeSince(from, s.opt.MaxClockSkew)
		}
		st.completeUntil = now
	}
	s.redirectToSuccessor(ss)
	s.buildMessages(now, ss)
}

// clearComplete gives up the claim that the records of the slots are complete. A second
// heir opens its session after they froze and cannot know how long ago that was.
func (s *Server) clearComplete(ss *outgoingSession) {
	for _, slot := range ss.slots {
		s.slots[slot].complete = false
	}
}

// redirectToSuccessor directs askers to the heir of a frozen group.
func (s *Server) redirectToSuccessor(ss *outgoingSession) {
	if len(ss.slots) == 0 {
		s.registries[ss.issuer].successor = ss.successor
	}
	for _, slot := range ss.slots {
		s.slots[slot].successor = ss.successor
	}
}

// buildMessages appends the messages with the records of a frozen group.
func (s *Server) buildMessages(now time.Time, ss *outgoingSession) {
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
		if len(next.Records) >= maxRecordsPerMessage || size >= maxResponseBytesPerMessage {
			flush()
		}
	}
	next.Last = true
	for _, slot := range ss.slots {
		st := s.slots[slot]
		if st.complete {
			held := now.Sub(st.completeFrom)
			next.Slots = append(next.Slots, wire.SlotHandover{Slot: uint32(slot), CompleteMS: uint64(max(held, 0) / time.Millisecond)})
		}
	}
	flush()
}

// records returns the records of a group in a fixed order.
func (s *Server) records(now time.Time, ss *outgoingSession) []wire.RedemptionRecord {
	if len(ss.slots) > 0 {
		return s.keyRecords(now, ss.slots)
	}
	var out []wire.RedemptionRecord
	for seq, t := range s.registries[ss.issuer].tickets {
		r := t.toWire(now)
		r.Ticket = wire.TicketID{Issuer: ss.issuer.instance, Incarnation: ss.issuer.incarnation, Seq: seq, Nonce: t.nonce}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b wire.RedemptionRecord) int { return cmp.Compare(a.Ticket.Seq, b.Ticket.Seq) })
	return out
}

func (s *Server) keyRecords(now time.Time, slots []int) []wire.RedemptionRecord {
	var out []wire.RedemptionRecord
	for id, reg := range s.keys {
		if slices.Contains(slots, Slot(id.workspace, id.key, s.opt.KeySlots)) {
			r := reg.toWire(now)
			r.Key = id.key
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b wire.RedemptionRecord) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// resendPending sends unacknowledged messages again. An heir that stays silent is
// replaced, unless it may already have the Last message.
func (s *Server) resendPending(now time.Time, successors Successors, out *wire.Outbox) {
	for _, ss := range s.outgoing {
		if ss.done || now.Sub(ss.lastSent) < handoverResendInterval {
			continue
		}
		if now.Sub(ss.lastProgress) >= handoverAckTimeout {
			s.replaceSuccessor(now, ss, successors, out)
			continue
		}
		s.sendCurrent(now, ss, out)
	}
}

func (s *Server) replaceSuccessor(now time.Time, ss *outgoingSession, successors Successors, out *wire.Outbox) {
	ss.excluded = append(ss.excluded, ss.successor)
	if ss.messages[ss.current].Last || len(ss.excluded) >= maxHandoverSuccessors {
		ss.done, ss.failed = true, true
		return
	}
	ss.successor = s.nextSuccessor(ss, successors)
	s.openSession(now, ss, out)
}

func (s *Server) nextSuccessor(ss *outgoingSession, successors Successors) fleet.InstanceID {
	if len(ss.slots) == 0 {
		return successors.TicketSuccessor(ss.issuer.instance, ss.excluded)
	}
	return successors.SlotSuccessor(ss.slots[0], ss.excluded)
}

// Frozen tells whether this router has stopped redeeming: all groups are frozen or
// given up. Ownership of key slots may then be released.
func (s *Server) Frozen() bool {
	for _, ss := range s.outgoing {
		if !ss.frozen && !ss.done {
			return false
		}
	}
	return s.stopping
}

// HandedOver tells whether the planned stop needs no more time: every group was
// taken over whole, or given up. Failed counts the groups that were given up.
func (s *Server) HandedOver() (done bool, failed int) {
	for _, ss := range s.outgoing {
		if !ss.done {
			return false, 0
		}
		if ss.failed {
			failed++
		}
	}
	return s.stopping, failed
}
