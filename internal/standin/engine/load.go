package engine

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/standin"
)

// loadSample is the load at one point in time.
type loadSample struct {
	at              time.Time
	running, queued int
}

// recordLoad adds a sample and discards those that are older than the one that loadReport returns. The caller holds
// e.mu.
func (e *Engine) recordLoad(now time.Time) {
	e.loadSamples = append(e.loadSamples, loadSample{now, len(e.batch), len(e.queue)})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.cfg.LoadReportDelay {
		e.loadSamples = e.loadSamples[1:]
	}
}

// loadReport returns the load as of LoadReportDelay ago and the current capacity. The caller holds e.mu.
func (e *Engine) loadReport(now time.Time) standin.LoadReport {
	e.recordLoad(now)
	return standin.LoadReport{
		Incarnation: e.stats.Incarnation,
		Running:     e.loadSamples[0].running, Queued: e.loadSamples[0].queued,
		Capacity: e.capacity(now), AgeMS: e.cfg.LoadReportDelay.Milliseconds(),
	}
}

// capacity returns the current limit of streams in the batch. It grows linearly from ColdCapacity to
// Capacity during ColdStartDuration.
func (e *Engine) capacity(now time.Time) int {
	age := now.Sub(e.coldStartedAt)
	if age >= e.cfg.ColdStartDuration {
		return e.cfg.Capacity
	}
	return e.cfg.ColdCapacity + int(float64(e.cfg.Capacity-e.cfg.ColdCapacity)*float64(age)/float64(e.cfg.ColdStartDuration))
}

// recordConcurrency updates Stats.Peak and Stats.ColdExcess. The caller holds e.mu.
func (e *Engine) recordConcurrency(capacity int) {
	n := len(e.batch) + len(e.queue)
	e.stats.Peak = max(e.stats.Peak, n)
	if capacity < e.cfg.Capacity && n > capacity {
		e.stats.ColdExcess = max(e.stats.ColdExcess, n-capacity)
	}
}
