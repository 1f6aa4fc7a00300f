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
	handoverAckTimeout         = 2 * time.Second        // without an acknowledgement, before another successor is tried
	maxHandoverSuccessors      = 3                      // successors tried per group, at most maxSuccessorCandidates
	maxRecordsPerMessage       = 128                    // records per message
	maxResponseBytesPerMessage = 48 << 10               // stored responses per message; the last one may exceed it
)

// Successors selects the peers to which a stopping router hands over its records. Excluded peers
// are not returned. "" means that there is none.
type Successors interface {
	// TicketSuccessor returns the successor for the tickets of an issuer, ranked as by
	// TicketCandidates.
	TicketSuccessor(issuer fleet.InstanceID, excluded []fleet.InstanceID) fleet.InstanceID
	// SlotSuccessor returns the expected next owner of a key slot.
	SlotSuccessor(slot int, excluded []fleet.InstanceID) fleet.InstanceID
}

// outgoingGroup is a group of records that is transferred to one successor: the tickets of an issuer,
// or the keys of a set of slots. If the successor is replaced, a new session is opened.
type outgoingGroup struct {
	sessionID uint64 // random ID of the transfer to the current successor
	successor fleet.InstanceID
	excluded  []fleet.InstanceID // successors that did not acknowledge in time
	issuer    ticketIssuer       // zero for a group of slots
	slots     []int

	frozen         bool // this router no longer uses the records
	messages       []wire.RedemptionHandover
	currentMessage int // index in messages of the unacknowledged one
	lastSent       time.Time
	lastProgress   time.Time
	done           bool // completely acknowledged, or abandoned (failed)
	failed         bool
}

// BeginHandover starts a planned stop: no more tickets are issued, and the records are handed over
// to successors. The router must remain the owner of its key slots until RecordsFrozen returns true.
func (s *Server) BeginHandover(now time.Time, successors Successors, out *wire.Outbox) {
	if s.stopping {
		return
	}
	s.stopping = true
	for _, iss := range s.activeIssuers() {
		s.startGroup(now, &outgoingGroup{issuer: iss}, successors, out)
	}
	for _, group := range s.groupSlots(successors, nil) {
		s.startGroup(now, group, successors, out)
	}
}

// activeIssuers returns the issuers whose ticket records this router uses, in a fixed order.
func (s *Server) activeIssuers() []ticketIssuer {
	var out []ticketIssuer
	for issuer, registry := range s.registries {
		if !registry.frozen {
			out = append(out, issuer)
		}
	}
	slices.SortFunc(out, func(a, registry ticketIssuer) int {
		return cmp.Or(cmp.Compare(a.instance, registry.instance), cmp.Compare(a.incarnation, registry.incarnation))
	})
	return out
}

// groupSlots returns one group for each successor of key slots, in the order of slots. Slots without a
// successor are left out.
func (s *Server) groupSlots(successors Successors, excluded []fleet.InstanceID) []*outgoingGroup {
	bySuccessor := map[fleet.InstanceID]*outgoingGroup{}
	var out []*outgoingGroup
	for slot := range s.slots {
		successor := successors.SlotSuccessor(slot, excluded)
		if successor == "" || s.slots[slot].frozen {
			continue
		}
		g := bySuccessor[successor]
		if g == nil {
			g = &outgoingGroup{successor: successor}
			bySuccessor[successor] = g
			out = append(out, g)
		}
		g.slots = append(g.slots, slot)
	}
	return out
}

// startGroup adds a group and opens the session with its successor.
func (s *Server) startGroup(now time.Time, g *outgoingGroup, successors Successors, out *wire.Outbox) {
	if g.successor == "" {
		g.successor = successors.TicketSuccessor(g.issuer.instance, g.excluded)
	}
	s.outgoing = append(s.outgoing, g)
	s.openSession(now, g, out)
}

// openSession opens a session with the current successor of a group. The group is abandoned if there is
// none.
func (s *Server) openSession(now time.Time, g *outgoingGroup, out *wire.Outbox) {
	if g.successor == "" {
		g.done, g.failed = true, true
		return
	}
	g.sessionID = s.rng.Uint64()
	g.currentMessage = 0
	g.lastProgress = now
	g.messages = []wire.RedemptionHandover{s.openingMessage(g)}
	if g.frozen {
		s.clearComplete(g)
		s.buildMessages(now, g)
		s.redirectToSuccessor(g)
	}
	s.sendCurrent(now, g, out)
}

func (s *Server) openingMessage(g *outgoingGroup) wire.RedemptionHandover {
	h := wire.RedemptionHandover{Session: g.sessionID, Issuer: g.issuer.instance, Incarnation: g.issuer.incarnation}
	for _, slot := range g.slots {
		h.Slots = append(h.Slots, wire.SlotHandover{Slot: uint32(slot)})
	}
	return h
}

func (s *Server) sendCurrent(now time.Time, g *outgoingGroup, out *wire.Outbox) {
	g.lastSent = now
	out.Send(g.successor, g.messages[g.currentMessage])
}

// onHandoverAck continues a session with its next message. The first acknowledgement freezes the group,
// and that of the last message completes it.
func (s *Server) onHandoverAck(now time.Time, from fleet.InstanceID, m *wire.RedemptionHandover, ownedSince OwnedSince, out *wire.Outbox) {
	for _, g := range s.outgoing {
		if g.done || g.sessionID != m.Session || g.successor != from || int(m.Seq) != g.currentMessage {
			continue
		}
		g.lastProgress = now
		if !g.frozen {
			s.freeze(now, g, ownedSince)
		}
		if g.currentMessage == 0 {
			g.addressTo(m.Incarnation)
		}
		g.currentMessage++
		if g.currentMessage == len(g.messages) {
			g.done = true
			return
		}
		s.sendCurrent(now, g, out)
		return
	}
}

// addressTo addresses all messages after the opening one to the incarnation of the successor that
// acknowledged the opening.
func (g *outgoingGroup) addressTo(inc fleet.Incarnation) {
	for i := range g.messages[1:] {
		g.messages[1+i].Incarnation = inc
	}
}

// freeze stops the use of the records of a group, which then do not change during the transfer.
func (s *Server) freeze(now time.Time, g *outgoingGroup, ownedSince OwnedSince) {
	g.frozen = true
	if len(g.slots) == 0 {
		s.registries[g.issuer].frozen = true
	}
	for _, slot := range g.slots {
		st := &s.slots[slot]
		st.frozen = true
		from, ok := ownedSince(slot)
		st.complete = ok
		if ok {
			st.completeFrom = st.completeSince(from, s.opt.MaxClockSkew)
		}
		st.completeUntil = now
	}
	s.redirectToSuccessor(g)
	s.buildMessages(now, g)
}

// clearComplete marks the records of the slots as incomplete, for a session that is opened after the
// freeze: its receiver would take the opening as the earliest time of the freeze (completeUntil), which
// would be too late.
func (s *Server) clearComplete(g *outgoingGroup) {
	for _, slot := range g.slots {
		s.slots[slot].complete = false
	}
}

// redirectToSuccessor sets the successor that replies to clients name as owner of the frozen records.
func (s *Server) redirectToSuccessor(g *outgoingGroup) {
	if len(g.slots) == 0 {
		s.registries[g.issuer].successor = g.successor
	}
	for _, slot := range g.slots {
		s.slots[slot].successor = g.successor
	}
}

// buildMessages builds the messages with the records of a frozen group after the opening message. The
// last one lists the slots whose records are complete.
func (s *Server) buildMessages(now time.Time, g *outgoingGroup) {
	g.messages = g.messages[:1]
	next := g.messages[0]
	next.Slots = nil
	size := 0
	flush := func() {
		next.Seq = uint32(len(g.messages))
		g.messages = append(g.messages, next)
		next.Records = nil
		size = 0
	}
	for _, r := range s.groupRecords(now, g) {
		next.Records = append(next.Records, r)
		size += responseBytes(r.Response)
		if len(next.Records) >= maxRecordsPerMessage || size >= maxResponseBytesPerMessage {
			flush()
		}
	}
	next.Last = true
	for _, slot := range g.slots {
		st := s.slots[slot]
		if st.complete {
			completeFor := now.Sub(st.completeFrom)
			next.Slots = append(next.Slots, wire.SlotHandover{Slot: uint32(slot), CompleteMS: uint64(max(completeFor, 0) / time.Millisecond)})
		}
	}
	flush()
}

// groupRecords returns the records of a group, sorted by ticket number or by workspace and key.
func (s *Server) groupRecords(now time.Time, g *outgoingGroup) []wire.RedemptionRecord {
	if len(g.slots) > 0 {
		return s.keyRecords(now, g.slots)
	}
	var out []wire.RedemptionRecord
	for seq, t := range s.registries[g.issuer].tickets {
		r := t.toWire(now)
		r.Ticket = wire.TicketID{Issuer: g.issuer.instance, Incarnation: g.issuer.incarnation, Seq: seq, Nonce: t.nonce}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b wire.RedemptionRecord) int { return cmp.Compare(a.Ticket.Seq, b.Ticket.Seq) })
	return out
}

func (s *Server) keyRecords(now time.Time, slots []int) []wire.RedemptionRecord {
	var out []wire.RedemptionRecord
	for id, rec := range s.keys {
		if slices.Contains(slots, KeySlot(id.workspace, id.key, s.opt.KeySlots)) {
			r := rec.toWire(now)
			r.Key = id.key
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b wire.RedemptionRecord) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// resendPending repeats unacknowledged messages, and replaces a successor that has not acknowledged for
// handoverAckTimeout.
func (s *Server) resendPending(now time.Time, successors Successors, out *wire.Outbox) {
	for _, g := range s.outgoing {
		if g.done || now.Sub(g.lastSent) < handoverResendInterval {
			continue
		}
		if now.Sub(g.lastProgress) >= handoverAckTimeout {
			s.replaceSuccessor(now, g, successors, out)
			continue
		}
		s.sendCurrent(now, g, out)
	}
}

// replaceSuccessor continues with the next successor of a group. It abandons the group if the last
// message was sent, because the former successor may then use the records, or after
// maxHandoverSuccessors.
func (s *Server) replaceSuccessor(now time.Time, g *outgoingGroup, successors Successors, out *wire.Outbox) {
	g.excluded = append(g.excluded, g.successor)
	if g.messages[g.currentMessage].Last || len(g.excluded) >= maxHandoverSuccessors {
		g.done, g.failed = true, true
		return
	}
	g.successor = s.nextSuccessor(g, successors)
	s.openSession(now, g, out)
}

// nextSuccessor returns the next successor of a group: for slots, that of the first one. A slot's next
// owner may be another router. Without complete records of the slot, it does not grant the right for keys
// that may have been used before.
func (s *Server) nextSuccessor(g *outgoingGroup, successors Successors) fleet.InstanceID {
	if len(g.slots) == 0 {
		return successors.TicketSuccessor(g.issuer.instance, g.excluded)
	}
	return successors.SlotSuccessor(g.slots[0], g.excluded)
}

// RecordsFrozen reports whether this router has stopped using its records: all groups are frozen or
// abandoned. The ownership of key slots may then be released.
func (s *Server) RecordsFrozen() bool {
	for _, g := range s.outgoing {
		if !g.frozen && !g.done {
			return false
		}
	}
	return s.stopping
}

// HandedOver reports whether the handover has ended, that is, each group was completely transferred or
// abandoned. failed is the number of groups that were abandoned.
func (s *Server) HandedOver() (done bool, failed int) {
	for _, g := range s.outgoing {
		if !g.done {
			return false, 0
		}
		if g.failed {
			failed++
		}
	}
	return s.stopping, failed
}
