package redeem

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	handoverResendInterval     = 250 * time.Millisecond // between repetitions of an unacknowledged message
	handoverAckTimeout         = 2 * time.Second        // without acknowledgement, before another successor is tried
	maxHandoverSuccessors      = 3                      // successors tried per group of records
	maxRecordsPerMessage       = 128                    // records per message
	maxResponseBytesPerMessage = 48 << 10               // stored responses per message
)

// Successors selects the peers to which a stopping router hands over its records. Excluded peers
// are not returned. "" means that there is none.
type Successors interface {
	// TicketSuccessor returns the successor for the tickets of an issuer, ranked as by
	// TicketCandidates.
	TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID
	// SlotSuccessor returns the next owner of a key slot.
	SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID
}

// outgoingSession transfers one group of records to one successor: the tickets of an issuer, or the
// keys of a set of slots.
type outgoingSession struct {
	id        uint64
	successor fleet.InstanceID
	excluded  []fleet.InstanceID
	issuer    issuerRun // zero for a session of slots
	slots     []int

	frozen       bool // this router no longer uses the records of the group
	messages     []wire.Handover
	current      int // index of the unacknowledged message
	lastSent     time.Time
	lastProgress time.Time
	done         bool // completely acknowledged, or given up
	failed       bool
}

// BeginHandover starts a planned stop: no more tickets are issued, and the records are handed over
// to successors. The router must remain the owner of its key slots until Frozen returns true.
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

// activeIssuers returns the issuers whose ticket records this router uses, in a fixed order.
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

// slotGroups returns one session for each successor of key slots, in the order of slots.
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

// startSession adds a session and sends its opening message.
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

// onHandoverAck continues a session with its next message. The first acknowledgement freezes the
// group.
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

// freeze stops the use of the records of a group, so that they do not change during the transfer.
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

// clearComplete marks the records of the slots as incomplete. A second successor opens its session
// after the records were frozen and has no bound on how long ago that was.
func (s *Server) clearComplete(ss *outgoingSession) {
	for _, slot := range ss.slots {
		s.slots[slot].complete = false
	}
}

// redirectToSuccessor sets the successor of a frozen group, which is named in replies to clients.
func (s *Server) redirectToSuccessor(ss *outgoingSession) {
	if len(ss.slots) == 0 {
		s.registries[ss.issuer].successor = ss.successor
	}
	for _, slot := range ss.slots {
		s.slots[slot].successor = ss.successor
	}
}

// buildMessages appends the messages with the records of a frozen group to the opening message.
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

// records returns the records of a group, sorted.
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
		if slices.Contains(slots, KeySlot(id.workspace, id.key, s.opt.KeySlots)) {
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

// resendPending repeats unacknowledged messages. A successor that does not answer within
// handoverAckTimeout is replaced, unless the Last message was sent to it.
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

// Frozen reports whether this router has stopped using its records: all groups are frozen or given
// up. The ownership of key slots may then be released.
func (s *Server) Frozen() bool {
	for _, ss := range s.outgoing {
		if !ss.frozen && !ss.done {
			return false
		}
	}
	return s.stopping
}

// HandedOver reports whether the handover has ended: each group was completely transferred or given
// up. failed is the number of groups that were given up.
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
