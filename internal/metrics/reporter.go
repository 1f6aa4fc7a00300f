package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxSeries bounds the memory of a registry. Further series are dropped, and their allocations are counted.
const maxSeries = 4096

// reporter implements tally.CachedStatsReporter.
type reporter struct {
	mu                 sync.Mutex
	series             map[string]series // by seriesID.key
	droppedAllocations int64             // number of allocations of series that are not served
	timers             []*timer
	flushCount         int
}

// series is a metric with one set of labels. The reporter's mutex guards it.
type series interface {
	kind() string
	write(w *textWriter, id seriesID)
}

func newReporter() *reporter { return &reporter{series: map[string]series{}} }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Capabilities implements tally.BaseStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Flush implements tally.BaseStatsReporter. Tally calls it once per report interval.
func (r *reporter) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushCount++
	if r.flushCount%flushesPerWindow != 0 {
		return
	}
	for _, t := range r.timers {
		t.rotateWindows()
	}
}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return allocate(r, name, tags, func() *counter { return &counter{mu: &r.mu} })
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return allocate(r, name, tags, func() *gauge { return &gauge{mu: &r.mu} })
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return allocate(r, name, tags, func() *timer {
		t := newTimer(&r.mu)
		r.timers = append(r.timers, t)
		return t
	})
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return allocate(r, name, tags, func() *histogram { return &histogram{mu: &r.mu} })
}

// allocate returns the series with a name and tags, and creates it if there is none. A
// series above maxSeries, or of another kind than the existing one, is not served.
func allocate[T series](r *reporter, name string, tags map[string]string, create func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := newSeriesID(name, tags).key()
	if existing, ok := r.series[key].(T); ok {
		return existing
	}
	if r.series[key] != nil || len(r.series) >= maxSeries {
		r.droppedAllocations++
		return create()
	}
	created := create()
	r.series[key] = created
	return created
}

type counter struct {
	mu    *sync.Mutex
	value int64
}

// ReportCount implements tally.CachedCount.
func (c *counter) ReportCount(delta int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value += delta
}

type gauge struct {
	mu    *sync.Mutex
	value float64
}

// ReportGauge implements tally.CachedGauge.
func (g *gauge) ReportGauge(value float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.value = value
}

// ReportTimer implements tally.CachedTimer.
func (t *timer) ReportTimer(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(d)
}
