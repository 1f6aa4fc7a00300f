package redeem

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// fixedRoutes implements Routes with the same candidates for all messages.
type fixedRoutes []fleet.InstanceID

func (r fixedRoutes) Candidates(*wire.Redeem) []fleet.InstanceID { return r }

// TestLateGrant checks that a RedeemGranted that arrives after the end of a redemption does not permit
// the request to run and is answered with a Settle of the attempt's actual outcome.
func TestLateGrant(t *testing.T) {
	const deadline = time.Second
	for _, tc := range []struct {
		name   string
		before func(c *Client, r Routes, out *wire.Outbox)
		after  time.Duration
		want   wire.SettleOutcome // 0: no message
	}{
		{"after giving up", func(c *Client, r Routes, out *wire.Outbox) { c.Tick(t0.Add(2*deadline), r, out) }, 3 * time.Second, wire.SettleNotRun},
		{"past the deadline, no tick", func(*Client, Routes, *wire.Outbox) {}, 2 * deadline, wire.SettleNotRun},
		{"after cancel", func(c *Client, r Routes, out *wire.Outbox) { c.Cancel(t0, "r", r, out) }, 0, wire.SettleNotRun},
		{"after another result", func(c *Client, r Routes, out *wire.Outbox) {
			c.OnReply(t0, "a", wire.RedeemReply{Request: "r", Result: wire.RedeemPending}, r, out)
		}, 0, wire.SettleNotRun},
		{"while holding", func(c *Client, r Routes, out *wire.Outbox) {
			c.OnReply(t0, "a", wire.RedeemReply{Request: "r", Result: wire.RedeemGranted}, r, out)
		}, 0, 0},
		{"after the answer was settled", func(c *Client, r Routes, out *wire.Outbox) {
			c.OnReply(t0, "a", wire.RedeemReply{Request: "r", Result: wire.RedeemGranted}, r, out)
			c.Settle(t0, "r", wire.SettleAnswered, nil, r, out)
			c.OnSettleAck(t0, wire.SettleAck{Request: "r"}, r, out)
		}, 0, wire.SettleAnswered},
	} {
		c := NewClient(testOptions(), rand.New(rand.NewPCG(1, 2)))
		routes, out := fixedRoutes{"a"}, &wire.Outbox{}
		c.Redeem(t0, wire.Redeem{Request: "r"}, t0.Add(deadline), routes, out)
		tc.before(c, routes, out)
		out.Reset()
		res, done := c.OnReply(t0.Add(tc.after), "a", wire.RedeemReply{Request: "r", Result: wire.RedeemGranted}, routes, out)
		if done && res.Code == wire.RedeemGranted {
			t.Errorf("%s: the request may run", tc.name)
		}
		var got wire.SettleOutcome
		for _, o := range out.Messages {
			if s, ok := o.Message.(wire.Settle); ok {
				got = s.Outcome
			}
		}
		if got != tc.want {
			t.Errorf("%s: settled with outcome %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestUnresponsiveIssuerTimeout checks how long a request with a distant deadline waits for an issuer
// that does not answer: a few seconds if no other candidate can answer, else up to maxRedeemDuration.
func TestUnresponsiveIssuerTimeout(t *testing.T) {
	for _, tc := range []struct {
		name   string
		m      wire.Redeem
		routes fixedRoutes
		most   time.Duration
		least  time.Duration
	}{
		{"no other candidate", wire.Redeem{Request: "r"}, fixedRoutes{"a"}, 4 * time.Second, time.Second},
		{"successors without records", wire.Redeem{Request: "r"}, fixedRoutes{"a", "b", "c"}, 6 * time.Second, time.Second},
		{"unresponsive successor", wire.Redeem{Request: "r"}, fixedRoutes{"a", "unresponsive"}, maxRedeemDuration + time.Second, maxRedeemDuration},
		{"key", wire.Redeem{Request: "r", Key: "k"}, fixedRoutes{"a"}, maxRedeemDuration + time.Second, maxRedeemDuration},
	} {
		c := NewClient(testOptions(), rand.New(rand.NewPCG(1, 2)))
		out := &wire.Outbox{}
		c.Redeem(t0, tc.m, t0.Add(time.Hour), tc.routes, out)
		var ended time.Duration
		for now := time.Duration(0); ended == 0 && now < time.Minute; now += 50 * time.Millisecond {
			if res := c.Tick(t0.Add(now), tc.routes, out); len(res) == 1 && res[0].Abandoned && !res[0].NotRun() {
				ended = now
			}
			for _, o := range slices.Clone(out.Messages) {
				if o.To == "b" || o.To == "c" {
					c.OnReply(t0.Add(now), o.To, wire.RedeemReply{Request: "r", Result: wire.RedeemNotOwner}, tc.routes, out)
				}
			}
			out.Reset()
		}
		if ended < tc.least || ended > tc.most {
			t.Errorf("%s: ended after %v, want %v to %v", tc.name, ended, tc.least, tc.most)
		}
	}
}

// TestClientAsksInTurn checks that unanswered messages go to the candidates in turn, and that
// RedeemNotOwner redirects to the named owner or excludes the candidate.
func TestClientAsksInTurn(t *testing.T) {
	c := NewClient(testOptions(), rand.New(rand.NewPCG(1, 2)))
	routes, out := fixedRoutes{"a", "b"}, &wire.Outbox{}
	c.Redeem(t0, wire.Redeem{Request: "r"}, t0.Add(time.Minute), routes, out)
	for i := range 60 {
		c.Tick(t0.Add(time.Duration(i)*100*time.Millisecond), routes, out)
	}
	if n := len(out.Messages); n < 5 || n > 12 || out.Messages[0].To != "a" || out.Messages[2].To != "b" {
		t.Fatalf("%d messages in 6 s: %v", n, out.Messages)
	}
	peer := out.Messages[len(out.Messages)-1].To
	out.Reset()
	c.OnReply(t0, peer, wire.RedeemReply{Request: "r", Result: wire.RedeemNotOwner, Owner: "h"}, routes, out)
	if len(out.Messages) != 1 || out.Messages[0].To != "h" {
		t.Fatalf("redirected to %v", out.Messages)
	}
	for _, id := range []fleet.InstanceID{"h", "a", "b"} {
		res, done := c.OnReply(t0, id, wire.RedeemReply{Request: "r", Result: wire.RedeemNotOwner}, routes, out)
		if done {
			if !res.Abandoned || res.Code != wire.RedeemUnknown || res.NotRun() {
				t.Fatalf("redemption ended with %+v", res)
			}
			return
		}
	}
	t.Fatal("the redemption did not end though no candidate owns the ticket")
}

// TestLastMessageGoesToOneSuccessor checks that an unresponsive successor is replaced only while it cannot
// have received the last message. Otherwise two routers could use the same records.
func TestLastMessageGoesToOneSuccessor(t *testing.T) {
	for _, tc := range []struct {
		acks int // messages acknowledged by the first successor
		want int // successors that receive a message
	}{{0, 3}, {1, 1}} {
		s := newTestServer("s", nil)
		issueTicket(t, s)
		successors := &simulation{view: fleet.NewView(nil, &fleet.InstanceList{Instances: []fleet.Instance{
			{ID: "a", DataCentre: testDataCentre}, {ID: "b", DataCentre: testDataCentre}, {ID: "c", DataCentre: testDataCentre},
		}}, nil)}
		out := &wire.Outbox{}
		s.slots = nil // tickets only
		s.BeginHandover(t0, successors, out)
		first := out.Messages[0]
		for i := range tc.acks {
			m := first.Message.(wire.RedemptionHandover)
			s.OnHandover(t0, first.To, wire.RedemptionHandover{Session: m.Session, Seq: uint32(i), Ack: true}, nil, out)
		}
		for i := range 100 {
			s.Tick(t0.Add(time.Duration(i)*100*time.Millisecond), successors, out)
		}
		seen := map[fleet.InstanceID]bool{}
		for _, o := range out.Messages {
			seen[o.To] = true
		}
		if done, failed := s.HandedOver(); len(seen) != tc.want || !done || failed != 1 {
			t.Errorf("%d acknowledgements: %d successors, done %v, failed %d", tc.acks, len(seen), done, failed)
		}
	}
}
