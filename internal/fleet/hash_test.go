package fleet

import (
	"fmt"
	"testing"
)

// TestWeightDistributesEvenly compares the number of keys that each node owns with a
// uniform distribution, by a chi-square test at a significance level of 0.001.
func TestWeightDistributesEvenly(t *testing.T) {
	const (
		nodes    = 10
		perNode  = 1000
		critical = 27.88 // for 9 degrees of freedom
	)
	keys := map[string]func(i uint64) uint64{
		"hashed":     func(i uint64) uint64 { return Hash(fmt.Sprint(i)) },
		"sequential": func(i uint64) uint64 { return i },
	}
	for name, key := range keys {
		t.Run(name, func(t *testing.T) {
			wins := make([]int, nodes)
			for i := range uint64(nodes * perNode) {
				best, top := 0, uint64(0)
				for n := range nodes {
					if w := Weight(key(i), Hash(fmt.Sprintf("node-%d", n))); w > top {
						best, top = n, w
					}
				}
				wins[best]++
			}
			chi := 0.0
			for _, n := range wins {
				d := float64(n - perNode)
				chi += d * d / perNode
			}
			if chi > critical {
				t.Errorf("chi-square %.1f exceeds %.1f: %v", chi, critical, wins)
			}
		})
	}
}
