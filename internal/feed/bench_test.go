package feed

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// startedNode returns one ready process of a fleet of five data centres with 82 instances each.
func startedNode(b *testing.B) *node {
	sim := newSimulation(1, 5, 82, Options{})
	n := sim.nodes[0]
	var out wire.Outbox
	sim.publish(n)
	n.state.OfferConfig(sim.now, largeConfig(2), &out)
	n.state.Tick(sim.now, &out)
	n.state.Tick(sim.now.Add(time.Minute), &out)
	if !n.state.Ready() {
		b.Fatal("not ready")
	}
	b.ReportAllocs()
	b.ResetTimer()
	return n
}

func BenchmarkOnHeader(b *testing.B) {
	n := startedNode(b)
	h := n.header()
	var out wire.Outbox
	for b.Loop() {
		n.state.OnHeader(t0, "r0-001", h, &out)
	}
}

func BenchmarkTick(b *testing.B) {
	n := startedNode(b)
	var out wire.Outbox
	now := t0.Add(time.Hour)
	for b.Loop() {
		now = now.Add(tickInterval)
		n.state.Tick(now, &out)
		out.Reset()
	}
}

func BenchmarkIsReader(b *testing.B) {
	n := startedNode(b)
	for b.Loop() {
		n.state.IsReader(t0)
	}
}

// BenchmarkOnPush changes one bearer key in a configuration of a megabyte.
func BenchmarkOnPush(b *testing.B) {
	n := startedNode(b)
	var out wire.Outbox
	v := &n.state.values[0]
	for b.Loop() {
		out.Reset()
		c := changes{"key/W000/" + string(rune('a'+v.rev%2)): []byte{}, "key/W000/" + string(rune('b'-v.rev%2)): nil}
		hash := v.records.apply(c).hash()
		d := c.fillDelta(wire.Delta{Feed: wire.FeedConfig, From: v.rev, To: v.rev + 1, Hash: hash})
		if res := n.state.OnPush(t0, "r0-001", wire.FeedPush{Delta: d}, &out); res.Outcome != Adopted {
			b.Fatal(res)
		}
	}
}

func BenchmarkPublishConfig(b *testing.B) {
	n := startedNode(b)
	var out wire.Outbox
	c := largeConfig(3)
	for rev := fleet.Revision(3); b.Loop(); rev++ {
		out.Reset()
		c.Revision = rev
		n.state.OfferConfig(t0, c, &out)
	}
}
