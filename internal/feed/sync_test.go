package feed

import (
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

func ready(t *testing.T) (*State, *wire.Outbox) {
	t.Helper()
	p := newPump(1, 1, 9, Options{})
	if _, ok := p.until(t0.Sub(t0.AddDate(0, 0, -1)), p.agree); !ok {
		t.Fatal("no agreement after the start")
	}
	return p.nodes[0].st, &wire.Outbox{}
}

// A peer that stays behind is told, at a bounded rate, and no longer once it caught up.
func TestLaggingPeerIsSentDigests(t *testing.T) {
	s, out := ready(t)
	s.opts.ProbeInterval, s.opts.RemoteProbeInterval = 1<<40, 1<<40
	now := t0.AddDate(1, 0, 0)
	s.Tick(now, out)
	for _, tc := range []struct {
		behind bool
		want   int
	}{{true, 5}, {false, 0}} {
		out.Reset()
		for end := now.Add(5 * s.opts.PushInterval); now.Before(end); now = now.Add(tickEvery) {
			h := wire.Header{Config: 1, Instances: 1, Endpoints: 1}
			if tc.behind {
				h.Config = 0
			}
			s.OnHeader(now, "r0-001", h, out)
			s.Tick(now, out)
		}
		told := 0
		for _, o := range out.Items {
			if m, ok := o.Message.(wire.FeedPush); ok && o.To == "r0-001" && m.Delta.Feed == wire.FeedConfig {
				told++
			}
		}
		if told != tc.want {
			t.Errorf("behind %v: told %d times, want %d", tc.behind, told, tc.want)
		}
	}
}

// Changes that do not fit, from many peers at once, lead to one pull of the whole value.
func TestOnePullInFlight(t *testing.T) {
	s, out := ready(t)
	now := t0.AddDate(1, 0, 0)
	d := changes{"plan/x": {}}.delta(wire.Delta{Feed: wire.FeedConfig, From: 1, To: 2, Hash: 1})
	pulls := func() int {
		n := 0
		for _, o := range out.Items {
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
		now = now.Add(wholeTimeouts * s.opts.PullTimeout)
		s.Tick(now, out)
		if n := pulls(); n != 1 {
			t.Errorf("%d pulls after the timeout", n)
		}
		now = now.Add(wholeTimeouts * s.opts.PullTimeout)
	}
}

// A pull that stays without answer is repeated at another peer.
func TestPullElsewhere(t *testing.T) {
	s, out := ready(t)
	now := t0.AddDate(1, 0, 0)
	h := wire.Header{Config: 2, Instances: 1, Endpoints: 1}
	asked := map[fleet.InstanceID]bool{}
	s.OnHeader(now, "r0-001", h, out)
	s.OnHeader(now, "r0-002", h, out)
	for range 20 {
		now = now.Add(tickEvery)
		s.Tick(now, out)
	}
	for _, o := range out.Items {
		if o.Message.Kind() == wire.KindFeedPull {
			asked[o.To] = true
		}
	}
	if len(asked) != 2 {
		t.Errorf("asked %v", asked)
	}
}
