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

// outgoingGroup transfers one group of records to one successor: the tickets of an issuer, or the
// keys of a set of slots.
type outgoingGroup struct {
	sessionID uint64
	successor fleet.InstanceID
	excluded  []fleet.InstanceID
	issuer    ticketIssuer // zero for a session of slots
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
	for _, issuer := range s.activeIssuers() {
		s.startGroup(now, &outgoingGroup{issuer: issuer}, successors, out)
	}
	for _, group := range s.slotGroups(successors, nil) {
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

// slotGroups returns one session for each successor of key slots, in the order of slots.
func (s *Server) slotGroups(successors Successors, excluded []fleet.InstanceID) []*outgoingGroup {
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

// startGroup adds a session and sends its opening message.
func (s *Server) startGroup(now time.Time, g *outgoingGroup, successors Successors, out *wire.Outbox) {
	if g.successor == "" {
		g.successor = successors.TicketSuccessor(g.issuer.instance, g.excluded)
	}
	s.outgoing = append(s.outgoing, g)
	s.openSession(now, g, out)
}

func (s *Server) openSession(now time.Time, g *outgoingGroup, out *wire.Outbox) {
	if g.successor == "" {
		g.done, g.failed = true, true
		return
	}
	g.sessionID = s.rng.Uint64()
	g.current = 0
	g.lastProgress = now
	g.messages = []wire.Handover{s.openingMessage(g)}
	if g.frozen {
		s.clearComplete(g)
		s.buildMessages(now, g)
		s.redirectToSuccessor(g)
	}
	s.sendCurrent(now, g, out)
}

func (s *Server) openingMessage(g *outgoingGroup) wire.Handover {
	h := wire.Handover{Session: g.sessionID, Issuer: g.issuer.instance, Incarnation: g.issuer.incarnation}
	for _, slot := range g.slots {
		h.Slots = append(h.Slots, wire.SlotHandover{Slot: uint32(slot)})
	}
	return h
}

func (s *Server) sendCurrent(now time.Time, g *outgoingGroup, out *wire.Outbox) {
	g.lastSent = now
	out.Send(g.successor, g.messages[g.current])
}

// onHandoverAck continues a session with its next message. The first acknowledgement freezes the
// group.
func (s *Server) onHandoverAck(now time.Time, from fleet.InstanceID, m *wire.Handover, ownedSince OwnedSince, out *wire.Outbox) {
	for _, g := range s.outgoing {
		if g.done || g.sessionID != m.Session || g.successor != from || int(m.Seq) != g.current {
			continue
		}
		g.lastProgress = now
		if !g.frozen {
			s.freeze(now, g, ownedSince)
		}
		g.current++
		if g.current == len(g.messages) {
			g.done = true
			return
		}
		s.sendCurrent(now, g, out)
		return
	}
}

// freeze stops the use of the records of a group, so that they do not change during the transfer.
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

// clearComplete marks the records of the slots as incomplete. A second successor opens its session
// after the records were frozen and has no bound on how long ago that was.
func (s *Server) clearComplete(g *outgoingGroup) {
	for _, slot := range g.slots {
		s.slots[slot].complete = false
	}
}

// redirectToSuccessor sets the successor of a frozen group, which is named in replies to clients.
func (s *Server) redirectToSuccessor(g *outgoingGroup) {
	if len(g.slots) == 0 {
		s.registries[g.issuer].successor = g.successor
	}
	for _, slot := range g.slots {
		s.slots[slot].successor = g.successor
	}
}

// buildMessages appends the messages with the records of a frozen group to the opening message.
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
	for _, r := range s.records(now, g) {
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

// records returns the records of a group, sorted.
func (s *Server) records(now time.Time, g *outgoingGroup) []wire.RedemptionRecord {
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
		if slices.Contains(slots, Slot(id.workspace, id.key, s.opt.KeySlots)) {
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

// resendPending repeats unacknowledged messages. A successor that does not answer within
// handoverAckTimeout is replaced, unless the Last message was sent to it.
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

func (s *Server) replaceSuccessor(now time.Time, g *outgoingGroup, successors Successors, out *wire.Outbox) {
	g.excluded = append(g.excluded, g.successor)
	if g.messages[g.current].Last || len(g.excluded) >= maxHandoverSuccessors {
		g.done, g.failed = true, true
		return
	}
	g.successor = s.nextSuccessor(g, successors)
	s.openSession(now, g, out)
}

func (s *Server) nextSuccessor(g *outgoingGroup, successors Successors) fleet.InstanceID {
	if len(g.slots) == 0 {
		return successors.TicketSuccessor(g.issuer.instance, g.excluded)
	}
	return successors.SlotSuccessor(g.slots[0], g.excluded)
}

// Frozen reports whether this router has stopped using its records: all groups are frozen or given
// up. The ownership of key slots may then be released.
func (s *Server) Frozen() bool {
	for _, g := range s.outgoing {
		if !g.frozen && !g.done {
			return false
		}
	}
	return s.stopping
}

// HandedOver reports whether the handover has ended: each group was completely transferred or given
// up. failed is the number of groups that were given up.
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
