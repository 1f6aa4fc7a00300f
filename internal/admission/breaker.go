package admission

import "time"

const (
	breakerFailures   = 3                // consecutive failures that open the breaker
	breakerMinBackoff = time.Second      // backoff before the first probe
	breakerMaxBackoff = 10 * time.Second // maximum backoff between probes
	minProbeAge       = 2 * time.Second  // running time after which a probe counts as a success
)

// breaker is a circuit breaker. Without it an endpoint that fails every attempt would receive most
// requests, because its load is always low. After breakerFailures consecutive failures it admits
// nothing for an exponential backoff, then one probe at a time.
type breaker struct {
	failures     int
	openUntil    time.Time
	backoff      time.Duration
	probeStarted time.Time // when the current probe was admitted, zero: none
}

func (b *breaker) open() bool { return b.failures >= breakerFailures }

// allows reports whether another request may be admitted.
func (b *breaker) allows(now time.Time) bool {
	return !b.open() || (b.probeStarted.IsZero() && !now.Before(b.openUntil))
}

func (b *breaker) admitted(now time.Time) {
	if b.open() {
		b.probeStarted = now
	}
}

func (b *breaker) failed(now time.Time) {
	b.failures++
	b.probeStarted = time.Time{}
	if !b.open() || now.Before(b.openUntil) {
		return
	}
	b.backoff = min(max(2*b.backoff, breakerMinBackoff), breakerMaxBackoff)
	b.openUntil = now.Add(b.backoff)
}

func (b *breaker) succeeded() { *b = breaker{} }

// cancelProbe allows another probe after the admitted one made no attempt.
func (b *breaker) cancelProbe() { b.probeStarted = time.Time{} }

// tick closes the breaker once the probe has run for minProbeAge.
func (b *breaker) tick(now time.Time) {
	if !b.probeStarted.IsZero() && now.Sub(b.probeStarted) >= minProbeAge {
		b.succeeded()
	}
}
