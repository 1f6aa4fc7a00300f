package engine

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/standin"
)

type loadSample struct {
	at              time.Time
	running, queued int
}

// sampleLoad notes the load and forgets samples that no report needs any more.
func (e *Engine) sampleLoad(now time.Time) {
	e.load = append(e.load, loadSample{now, len(e.batch), len(e.queue)})
	for len(e.load) > 1 && now.Sub(e.load[1].at) >= e.cfg.LoadReportDelay {
		e.load = e.load[1:]
	}
}

// report returns the load as it was LoadLag ago and the capacity as it is now.
func (e *Engine) report(now time.Time) standin.LoadReport {
	e.sampleLoad(now)
	return standin.LoadReport{
		Incarnation: e.stats.Incarnation,
		Running:     e.load[0].running, Queued: e.load[0].queued,
		Capacity: e.capacity(now), AgeMS: e.cfg.LoadReportDelay.Milliseconds(),
	}
}

// capacity returns how many streams the batch takes now.
func (e *Engine) capacity(now time.Time) int {
	age := now.Sub(e.coldSince)
	if age >= e.cfg.ColdStartDuration {
		return e.cfg.Capacity
	}
	return e.cfg.ColdCapacity + int(float64(e.cfg.Capacity-e.cfg.ColdCapacity)*float64(age)/float64(e.cfg.ColdStartDuration))
}

// countConcurrent notes how many requests the engine holds against its capacity.
func (e *Engine) countConcurrent(capacity int) {
	n := len(e.batch) + len(e.queue)
	e.stats.Peak = max(e.stats.Peak, n)
	if capacity < e.cfg.Capacity && n > capacity {
		e.stats.ColdExcess = max(e.stats.ColdExcess, n-capacity)
	}
}
