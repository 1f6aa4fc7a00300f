package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// configBound is the time within which a configuration has to be in force.
const configBound = 5 * time.Second

// TestGatewayWithoutThePeersKeyReadsSoon guards against a gateway of a large fleet that was cut off while the API keys changed, and then
// backs off from the store as if it could verify what its peers send: it stays with the old configuration.
func TestGatewayWithoutThePeersKeyReadsSoon(t *testing.T) {
	for n := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed+n), func(t *testing.T) {
			w := eraFleet(seed + n)
			cutOff := someGateways(w)
			w.Partitioned = func(a, b string) bool { return a != b && (cutOff[a] || cutOff[b]) }
			w.Write(publishedtest.Config(config(2, "key", "later")))
			w.Run(time.Second)
			for _, g := range w.Nodes {
				if !cutOff[string(g.ID)] {
					g.RestartAfter(time.Duration(w.Rand().Int64N(int64(5 * time.Second)))) // and forgets the former key
				}
			}
			w.Run(10 * time.Second)
			w.Partitioned = func(a, b string) bool { return a == controltest.StoreName || b == controltest.StoreName }
			w.Run(20 * time.Second)
			w.Partitioned = nil
			w.Run(configBound)
			checkVersion(t, w, 2)
		})
	}
}

// TestGatewayWhosePullsFailReadsSoon guards against the same of a gateway that hears of changes, but gets no answers to its pulls.
func TestGatewayWhosePullsFailReadsSoon(t *testing.T) {
	for n := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed+n), func(t *testing.T) {
			w := eraFleet(seed + n)
			unanswered := someGateways(w)
			w.PullDelay = func(g *controltest.Node) time.Duration {
				if unanswered[string(g.ID)] {
					return time.Hour
				}
				return 0
			}
			w.Partitioned = func(a, b string) bool {
				return a == controltest.StoreName && unanswered[b] || b == controltest.StoreName && unanswered[a]
			}
			w.Run(20 * time.Second)
			w.Write(publishedtest.Config(config(2, "key")))
			w.Run(time.Second)
			w.Partitioned = nil
			w.Run(configBound)
			checkVersion(t, w, 2)
		})
	}
}

// someGateways returns a few gateways that are no seeds.
func someGateways(w *controltest.World) map[string]bool {
	some := map[string]bool{}
	for i := 20; i < len(w.Nodes); i += 9 {
		some[string(w.Nodes[i].ID)] = true
	}
	return some
}

// checkVersion fails the test unless all gateways have a version of the configuration.
func checkVersion(t *testing.T, w *controltest.World, version int64) {
	t.Helper()
	for _, g := range w.Nodes {
		if d := g.State.Dump(w.Now()); d.Store.ConfigVersion != version {
			t.Errorf("%s has configuration %d, want %d", g.ID, d.Store.ConfigVersion, version)
		}
	}
}
