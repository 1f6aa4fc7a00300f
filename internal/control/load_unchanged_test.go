package control_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
)

// TestDecisionsWithoutContention: where endpoints report three figures and nothing is contended, gateways choose the same
// endpoints as the version before placement by time and admission under contention. The digests are those of commit 907b70e,
// computed by this test there, with the simulation of this version. It guards against changes of decisions, and further
// random numbers, where neither reports nor the load call for them.
func TestDecisionsWithoutContention(t *testing.T) {
	for _, tc := range []struct {
		load
		want string // of the attempts, in order
	}{
		{load{name: "usual load", seed: 45101}, "d266e74e82bbe7fa"},
		{load{name: "twice the usual, a quarter of a kind has one affinity", seed: 45102, rate: surge(2), hotKind: 1}, "76d3b1c30578d44a"},
		{load{name: "blackholed endpoints", seed: 45103, events: blackhole}, "62aceef626772047"},
		{load{name: "a data centre cut off", seed: 45104, events: isolateDataCentre}, "c6c571675a168bed"},
		{load{name: "gateways killed", seed: 45105, events: killOne}, "57081ba1eea45df0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.samePriority = true // the version before passed on only the workspaces' priorities
			p := newPlay(t, tc.load)
			h, n := sha256.New(), 0
			p.onAttempt = func(c *controltest.Call, e *controltest.Endpoint) {
				n++
				_, _ = fmt.Fprintln(h, c.ID, e.ID)
			}
			p.run()
			if got := hex.EncodeToString(h.Sum(nil)[:8]); got != tc.want {
				t.Errorf("the digest of %d attempts is %s, before %s", n, got, tc.want)
			}
		})
	}
}

// killOne kills a gateway of each data centre.
func killOne(p *play) {
	for _, i := range []int{1, 7, 12} {
		p.at(overloadAt, func() { p.w.Nodes[i].Kill(playRestartTime) })
	}
}
