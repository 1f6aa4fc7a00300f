package feed

import (
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

func startedState(t *testing.T) (*State, *wire.Outbox) {
	t.Helper()
	sim := newSimulation(1, 1, 9, Options{})
	if _, ok := sim.runUntil(t0.Sub(t0.AddDate(0, 0, -1)), sim.converged); !ok {
		t.Fatal("instances have not converged after the start")
	}
	return sim.nodes[0].state, &wire.Outbox{}
}

// TestLaggingPeerIsSentDigests checks that a lagging peer is sent digests at a bounded rate, and
// none after it has caught up.
func TestLaggingPeerIsSentDigests(t *testing.T) {
	s, out := startedState(t)
	s.opts.AntiEntropyInterval, s.opts.RemoteAntiEntropyInterval = 1<<40, 1<<40
	now := t0.AddDate(1, 0, 0)
	s.Tick(now, out)
	for _, tc := range []struct {
		lagging bool
		want    int
	}{{true, 5}, {false, 0}} {
		out.Reset()
		for end := now.Add(5 * s.opts.LaggingDigestInterval); now.Before(end); now = now.Add(tickInterval) {
			h := wire.Header{Config: 1, Instances: 1, Endpoints: 1}
			if tc.lagging {
				h.Config = 0
			}
			s.OnHeader(now, "r0-001", h, out)
			s.Tick(now, out)
		}
		pushes := 0
		for _, o := range out.Messages {
			if m, ok := o.Message.(wire.FeedPush); ok && o.To == "r0-001" && m.Delta.Feed == wire.FeedConfig {
				pushes++
			}
		}
		if pushes != tc.want {
			t.Errorf("lagging %v: %d digests, want %d", tc.lagging, pushes, tc.want)
		}
	}
}

// TestOnePullInFlight checks that deltas with a wrong hash from several peers lead to one pull of a
// snapshot at a time.
func TestOnePullInFlight(t *testing.T) {
	s, out := startedState(t)
	now := t0.AddDate(1, 0, 0)
	d := changes{"plan/x": {}}.fillDelta(wire.Delta{Feed: wire.FeedConfig, From: 1, To: 2, Hash: 1})
	pulls := func() int {
		n := 0
		for _, o := range out.Messages {
			if o.Message.Kind() == wire.KindFeedPull {
				n++
			}
		}
		out.Reset()
		return n
	}
	for range 3 {
		s.OnPush(now, "r0-001", wire.FeedPush{Delta: d}, out)
		s.OnPush(now, "r0-002", wire.FeedPush{Delta: d}, out)
		s.OnHeader(now, "r0-003", wire.Header{Config: 2, Instances: 1, Endpoints: 1}, out)
		s.Tick(now, out)
		if n := pulls(); n != 1 {
			t.Errorf("%d pulls", n)
		}
		now = now.Add(snapshotTimeoutFactor * s.opts.PullTimeout)
		s.Tick(now, out)
		if n := pulls(); n != 1 {
			t.Errorf("%d pulls after the timeout", n)
		}
		now = now.Add(snapshotTimeoutFactor * s.opts.PullTimeout)
	}
}

// TestPullElsewhere checks that a pull without a reply is retried with another peer.
func TestPullElsewhere(t *testing.T) {
	s, out := startedState(t)
	now := t0.AddDate(1, 0, 0)
	h := wire.Header{Config: 2, Instances: 1, Endpoints: 1}
	pulledFrom := map[fleet.InstanceID]bool{}
	s.OnHeader(now, "r0-001", h, out)
	s.OnHeader(now, "r0-002", h, out)
	for range 20 {
		now = now.Add(tickInterval)
		s.Tick(now, out)
	}
	for _, o := range out.Messages {
		if o.Message.Kind() == wire.KindFeedPull {
			pulledFrom[o.To] = true
		}
	}
	if len(pulledFrom) != 2 {
		t.Errorf("pulls sent to %v", pulledFrom)
	}
}
