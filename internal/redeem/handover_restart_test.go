package redeem

import (
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// TestRestartedSuccessorAcceptsNoOldRecords repeats all messages of a handover to the next incarnation of
// the successor. It must not use the records, because the earlier incarnation may have used them and
// handed them over since.
func TestRestartedSuccessorAcceptsNoOldRecords(t *testing.T) {
	sender := newTestServer("s", nil)
	id := issueTicket(t, sender)
	sender.slots = nil // tickets only
	successor := newTestServer("a", nil)
	successors := &simulation{view: fleet.NewView(nil, &fleet.InstanceList{Instances: []fleet.Instance{
		{ID: "a", DataCentre: testDataCentre},
	}}, nil)}
	sent := handOver(sender, successor, successors)
	if done, failed := sender.HandedOver(); !done || failed != 0 {
		t.Fatalf("handover done %v, failed %d", done, failed)
	}
	if got := redeemAt(successor, id); got != wire.RedeemGranted {
		t.Fatalf("the successor answers %v, want RedeemGranted", got)
	}
	restarted := newTestServer("a", func(o *Options) { o.Incarnation = 2 })
	for _, m := range sent {
		restarted.OnHandover(t0, "s", m, nil, &wire.Outbox{})
	}
	if got := redeemAt(restarted, id); got == wire.RedeemGranted {
		t.Error("the next incarnation grants the right again")
	}
}

// handOver delivers the messages of a handover without loss and returns those that the sender sent.
func handOver(sender, receiver *Server, successors Successors) []wire.RedemptionHandover {
	var sent []wire.RedemptionHandover
	out := &wire.Outbox{}
	sender.BeginHandover(t0, successors, out)
	for i := 0; i < len(out.Messages); i++ {
		m := out.Messages[i].Message.(wire.RedemptionHandover)
		sent = append(sent, m)
		acks := &wire.Outbox{}
		receiver.OnHandover(t0, "s", m, nil, acks)
		for _, ack := range acks.Messages {
			sender.OnHandover(t0, receiver.self.instance, ack.Message.(wire.RedemptionHandover), nil, out)
		}
	}
	return sent
}

func redeemAt(s *Server, id wire.TicketID) wire.RedeemResult {
	m := wire.Redeem{Ticket: id, Workspace: testWorkspace, Request: "r", RequestHash: 1}
	reply, _ := s.OnRedeem(t0, "x", m, nil)
	return reply.Result
}

// TestSettleOfAFrozenKeyIsRedirected: the acknowledgement of a Settle for a key whose slot was handed over names the
// successor.
func TestSettleOfAFrozenKeyIsRedirected(t *testing.T) {
	s := newTestServer("s", nil)
	for slot := range s.slots {
		s.slots[slot].frozen, s.slots[slot].successor = true, "a"
	}
	ack, answered := s.OnSettle(t0, "x", wire.Settle{Key: "k", Workspace: testWorkspace, Request: "r", Outcome: wire.SettleAnswered})
	if !answered || ack.Owner != "a" || ack.Request != "r" {
		t.Errorf("acknowledgement %+v, answered %t, want the owner a", ack, answered)
	}
}
