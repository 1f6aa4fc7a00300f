package control_test

import "testing"

// TestSimulationRepeats guards against a seed that does not reproduce what it showed: two simulations with one seed have the
// same calls with the same outcomes.
func TestSimulationRepeats(t *testing.T) {
	f := answersFleet{gateways: []int{5, 4, 4, 4}, engines: 20, replicas: 4, perSecond: 300}
	for _, seed := range []uint64{27201, 27202, 27203} {
		first, second := newAnswersRun(t, f, seed), newAnswersRun(t, f, seed)
		first.play()
		second.play()
		if len(first.calls) != len(second.calls) {
			t.Fatalf("seed %d: %d calls, then %d", seed, len(first.calls), len(second.calls))
		}
		for i, c := range first.calls {
			if *c != *second.calls[i] {
				t.Fatalf("seed %d: %+v, then %+v", seed, *c, *second.calls[i])
			}
		}
	}
}
