package admission

import (
	"math"
	"time"
)

// history is a ring of recent lease counts of an endpoint, for comparison with delayed reports.
type history struct {
	samples [leaseCountSamples]sample
	next    int
	n       int
}

type sample struct {
	at    time.Time
	count int
}

func (h *history) add(at time.Time, count int) {
	h.samples[h.next] = sample{at, count}
	h.next = (h.next + 1) % leaseCountSamples
	h.n = min(h.n+1, leaseCountSamples)
}

// peak returns the highest count between from and to.
func (h *history) peak(from, to time.Time) int {
	peak := 0
	for i := range h.n {
		s := h.samples[(h.next-1-i+leaseCountSamples)%leaseCountSamples]
		if s.at.After(to) {
			continue
		}
		peak = max(peak, s.count)
		if !s.at.After(from) {
			break // the count at the start of the interval
		}
	}
	return peak
}

// trough returns the lowest count between from and to, or 0 if the history does not reach back to
// from.
func (h *history) trough(from, to time.Time) int {
	low := math.MaxInt
	for i := range h.n {
		s := h.samples[(h.next-1-i+leaseCountSamples)%leaseCountSamples]
		if s.at.After(to) {
			continue
		}
		low = min(low, s.count)
		if !s.at.After(from) {
			return low
		}
	}
	return 0
}

// recentEndings is a bounded list of lease endings.
type recentEndings struct{ recent []ending }

type ending struct {
	key leaseKey
	at  time.Time
}

// maxRecentEndings is the maximum number of endings in a recentEndings.
const maxRecentEndings = 256

// add records an ending. It returns false for a duplicate.
func (x *recentEndings) add(at time.Time, key leaseKey) bool {
	for _, e := range x.recent {
		if e.key == key {
			return false
		}
	}
	if len(x.recent) == maxRecentEndings {
		x.recent = append(x.recent[:0], x.recent[1:]...)
	}
	x.recent = append(x.recent, ending{key, at})
	return true
}

// countSince returns the number of endings after at.
func (x *recentEndings) countSince(at time.Time) int {
	n := 0
	for i := len(x.recent) - 1; i >= 0 && x.recent[i].at.After(at); i-- {
		n++
	}
	return n
}

// excessTracker finds the smallest excess of a count over the reported load in consecutive reports.
type excessTracker struct {
	reports  int
	smallest int
}

// add records the excess of one report. After minReports consecutive reports with an excess it returns
// the smallest one and starts again; otherwise it returns 0.
func (x *excessTracker) add(excess, minReports int) int {
	if excess <= 0 {
		*x = excessTracker{}
		return 0
	}
	if x.reports == 0 || excess < x.smallest {
		x.smallest = excess
	}
	x.reports++
	if x.reports < minReports {
		return 0
	}
	smallest := x.smallest
	*x = excessTracker{}
	return smallest
}

// releasedKeys holds the most recently released leases, so that a request that arrives after its
// release is not granted.
type releasedKeys struct {
	ring  []leaseKey
	next  int
	known map[leaseKey]bool
}

// maxReleasedKeys is the maximum number of keys in a releasedKeys.
const maxReleasedKeys = 1024

func (x *releasedKeys) add(key leaseKey) {
	if x.known[key] {
		return
	}
	if len(x.ring) < maxReleasedKeys {
		x.ring = append(x.ring, key)
	} else {
		delete(x.known, x.ring[x.next])
		x.ring[x.next] = key
	}
	x.next = (x.next + 1) % maxReleasedKeys
	x.known[key] = true
}

// intervalMeter is an exponentially weighted moving average of the time between releases.
type intervalMeter struct {
	last time.Time
	mean time.Duration
}

const (
	releaseIntervalDivisor = 8           // each new interval has the weight 1/8 in the moving average
	defaultReleaseInterval = time.Second // assumed until two leases were released
)

func (m *intervalMeter) add(now time.Time) {
	if !m.last.IsZero() {
		gap := now.Sub(m.last)
		if m.mean == 0 {
			m.mean = gap
		}
		m.mean += (gap - m.mean) / releaseIntervalDivisor
	}
	m.last = now
}

func (m *intervalMeter) interval() time.Duration {
	if m.mean == 0 {
		return defaultReleaseInterval
	}
	return m.mean
}
