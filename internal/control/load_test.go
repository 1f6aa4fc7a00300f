package control

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestWaterFill checks that the shares add up to the amount, that all loads with a share end at
// the same level, and that loads without a share lie at or above it.
func TestWaterFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 8).Draw(t, "loads")
		amount := rapid.Float64Range(0.5, 200).Draw(t, "amount")
		shares := waterFill(loads, amount)
		sum, level := 0.0, math.Inf(1)
		for i, s := range shares {
			sum += s
			if s > 0 {
				level = min(level, loads[i]+s)
			}
		}
		if math.Abs(sum-amount) > 1e-6 {
			t.Fatalf("%v of %v distributed over %v", sum, amount, loads)
		}
		for i, s := range shares {
			if s > 0 && math.Abs(loads[i]+s-level) > 1e-6 || s == 0 && loads[i] < level-1e-6 {
				t.Fatalf("%v distributed over %v gives %v", amount, loads, shares)
			}
		}
		if slices.Min(shares) < 0 {
			t.Fatalf("a negative share in %v", shares)
		}
	})
}
