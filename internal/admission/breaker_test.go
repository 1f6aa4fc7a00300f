package admission

import (
	"testing"
	"time"
)

// TestBreaker checks what the breaker admits after a sequence of attempt outcomes.
func TestBreaker(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	var b breaker
	steps := []struct {
		at    float64
		do    func(now time.Time)
		after float64
		want  bool // whether another request is admitted at after
	}{
		{0, b.failed, 0, true},
		{0, b.failed, 0, true},
		{0, func(time.Time) { b.succeeded() }, 0, true}, // a success resets the count of failures
		{1, b.failed, 1, true},
		{1, b.failed, 1, true},
		{1, b.failed, 1, false},
		{1.1, b.failed, 1.9, false}, // failures of attempts already running do not extend the backoff
		{2, func(time.Time) {}, 2, true},
		{2, b.admitted, 2, false}, // one probe at a time
		{2.1, func(time.Time) { b.cancelProbe() }, 2.1, true},
		{2.2, b.admitted, 2.2, false},
		{2.3, b.failed, 4.2, false}, // a failed probe doubles the backoff
		{4.3, b.admitted, 4.3, false},
		{6.2, b.tick, 6.2, false},
		{6.3, b.tick, 6.3, true}, // a probe that has run for minProbeAge counts as a success
	}
	for i, s := range steps {
		s.do(at(s.at))
		if got := b.allows(at(s.after)); got != s.want {
			t.Errorf("step %d: allows is %v at %v s", i, got, s.after)
		}
	}
}
