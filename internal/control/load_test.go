package control

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestPour: the whole amount is poured, and what gets some ends at the same level, above
// which lie only loads that get none.
func TestWaterFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 8).Draw(t, "loads")
		amount := rapid.Float64Range(0.5, 200).Draw(t, "amount")
		shares := pour(loads, amount)
		sum, level := 0.0, math.Inf(1)
		for i, s := range shares {
			sum += s
			if s > 0 {
				level = min(level, loads[i]+s)
			}
		}
		if math.Abs(sum-amount) > 1e-6 {
			t.Fatalf("%v of %v poured over %v", sum, amount, loads)
		}
		for i, s := range shares {
			if s > 0 && math.Abs(loads[i]+s-level) > 1e-6 || s == 0 && loads[i] < level-1e-6 {
				t.Fatalf("%v poured over %v gives %v", amount, loads, shares)
			}
		}
		if slices.Min(shares) < 0 {
			t.Fatalf("a negative share in %v", shares)
		}
	})
}
