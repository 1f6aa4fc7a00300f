package feed

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Restarts processes of a fleet that has configuration 5 beside a platform that
// still, or again, shows revision 2.
func TestRestartBesideStalePlatform(t *testing.T) {
	for _, tc := range []struct {
		name    string
		restart func(p *pump, n *node) bool
		adjust  func(p *pump)
		want    fleet.Revision
		within  time.Duration
	}{
		{"one process", only("r0-001"), nil, 5, time.Second},
		{"all but one of the data centre", func(_ *pump, n *node) bool { return n.dc == "dc0" && n.id != "r0-000" }, nil, 5, 3 * time.Second},
		{"a whole data centre", func(_ *pump, n *node) bool { return n.dc == "dc0" }, nil, 5, 3 * time.Second},
		{"all at once", func(*pump, *node) bool { return true }, nil, 2, 3 * time.Second},
		{"platform down, seeds known", only("r0-001"), func(p *pump) {
			p.nodes[0].replica.down = true
			p.opts.SeedPeers = []fleet.InstanceID{"r1-000"}
		}, 5, time.Second},
		{"platform down, seeds known, not heard by its data centre", only("r0-001"), func(p *pump) {
			p.nodes[0].replica.down = true
			p.opts.SeedPeers = []fleet.InstanceID{"r1-000"}
			p.cut = func(a, b *node) bool { return a.dc == b.dc && (a.id == "r0-001" || b.id == "r0-001") }
		}, 5, 3 * time.Second},
		{"platform down, no seeds, heard by peers", only("r0-001"), func(p *pump) { p.nodes[0].replica.down = true }, 5, 3 * time.Second},
		{"peers cut off", only("r0-001"), func(p *pump) {
			p.cut = func(a, b *node) bool { return a.id == "r0-001" || b.id == "r0-001" }
		}, 2, 3 * time.Second},
		{"a third of the messages lost", only("r0-001"), func(p *pump) { p.loss = 0.3 }, 5, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPump(1, 2, 3, Options{})
			p.nodes[0].replica.config = testConfig(5, 0)
			if _, ok := p.until(10*time.Second, p.agree); !ok {
				t.Fatal("no agreement after the start")
			}
			p.nodes[0].replica.config = testConfig(2, 0)
			if tc.adjust != nil {
				tc.adjust(p)
			}
			var started []*node
			for _, n := range p.nodes {
				if tc.restart(p, n) {
					p.restart(n)
					started = append(started, n)
				}
			}
			for _, n := range started {
				took, ok := p.until(tc.within, n.st.Ready)
				if cfg, _, _ := n.st.Revisions(); !ok || cfg != tc.want {
					t.Errorf("%s after %v: ready %v at %d, want %d", n.id, took, ok, cfg, tc.want)
				}
			}
		})
	}
}

// The only instance of a data centre asks another data centre before it serves.
func TestRestartAloneInDataCentre(t *testing.T) {
	p := newPump(1, 2, 1, Options{})
	if _, ok := p.until(10*time.Second, p.agree); !ok {
		t.Fatal("no agreement after the start")
	}
	p.restart(p.nodes[0])
	p.delay = time.Second
	if took, ok := p.until(3*time.Second, p.nodes[0].st.Ready); !ok || took < p.delay/2 {
		t.Errorf("ready %v after %v, before another data centre could answer", ok, took)
	}
}

func only(id fleet.InstanceID) func(*pump, *node) bool {
	return func(_ *pump, n *node) bool { return n.id == id }
}

func TestNotReadyWithoutValues(t *testing.T) {
	p := newPump(1, 1, 2, Options{})
	p.nodes[0].replica.down = true
	if _, ok := p.until(time.Minute, p.nodes[0].st.Ready); ok {
		t.Error("ready without a configuration")
	}
}

// A revision that a peer showed is waited for, but not for ever.
func TestRevisionOfLostPeer(t *testing.T) {
	p := newPump(1, 1, 2, Options{})
	n := p.nodes[0]
	p.nodes[1].down = true
	var out wire.Outbox
	n.st.OnHeader(p.now, "r0-001", wire.Header{Config: 9}, &out)
	took, ok := p.until(time.Minute, n.st.Ready)
	if !ok || took < n.st.opts.StartupCatchUpTimeout {
		t.Errorf("ready %v after %v, want after %v", ok, took, n.st.opts.StartupCatchUpTimeout)
	}
}
