package coretest

import (
	"math"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Measures are fleet-wide measurements of a World.
type Measures struct {
	CacheHits   int
	CacheMisses int
	OverBound   int     // requests that raised a load above LoadBound times its pool's mean, rounded up, with a mean of at least 1
	MaxSkew     float64 // highest ratio of load to mean in pools with a mean of at least MinMean
	Accepted    int

	waits []time.Duration

	LoadBound float64 // multiple of the pool's mean; 0: not checked
	MinMean   float64
}

// CacheReuse returns the cache hit ratio.
func (m Measures) CacheReuse() float64 {
	return float64(m.CacheHits) / math.Max(1, float64(m.CacheHits+m.CacheMisses))
}

// WaitQuantile returns the quantile q of the time from a caller's request to its start at an endpoint.
func (m Measures) WaitQuantile(q float64) time.Duration {
	if len(m.waits) == 0 {
		return 0
	}
	ws := slices.Clone(m.waits)
	slices.Sort(ws)
	return ws[min(len(ws)-1, int(q*float64(len(ws))))]
}

func (w *World) recordWait(id fleet.RequestID) {
	if requestedAt, ok := w.requestedAt[id]; ok {
		delete(w.requestedAt, id)
		w.Measures.waits = append(w.Measures.waits, w.Now().Sub(requestedAt))
	}
}

func (w *World) affinity(id fleet.RequestID) uint64 { return w.affinities[id] }

// recordPlacement records a request that endpoint e has just accepted.
func (w *World) recordPlacement(e *Endpoint, cached bool) {
	m := &w.Measures
	m.Accepted++
	if cached {
		m.CacheHits++
	} else {
		m.CacheMisses++
	}
	total, n := w.poolLoad(e)
	mean := float64(total) / float64(n)
	if m.LoadBound > 0 && mean >= 1 && float64(e.Running) > math.Ceil(m.LoadBound*mean) {
		m.OverBound++
	}
	if mean >= m.MinMean {
		m.MaxSkew = math.Max(m.MaxSkew, float64(e.Running)/mean)
	}
}

func (w *World) connected(a, b fleet.DataCentreID) bool {
	return !w.partitions[[2]string{string(a), string(b)}]
}

// poolLoad returns the total running requests and the number of the endpoints in e's pool.
// It excludes endpoints that are down, whose data centre is out of service or partitioned from
// that of e, or whose capacity is below half of the mean load.
func (w *World) poolLoad(e *Endpoint) (total, n int) {
	var members []*Endpoint
	for _, x := range w.Endpoints {
		if w.samePool(e, x) {
			members = append(members, x)
		}
	}
	for {
		total, n = 0, len(members)
		for _, x := range members {
			total += x.Running
		}
		able := members[:0]
		for _, x := range members {
			if 2*x.CurrentCapacity()*n >= total {
				able = append(able, x)
			}
		}
		if len(able) == n {
			return total, max(1, n)
		}
		members = able
	}
}

// samePool reports whether x shares load with e: x is up, and its data centre is in service and
// connected to that of e. Endpoints that are leaving or singly taken out of service are included.
func (w *World) samePool(e, x *Endpoint) bool {
	cfg := w.Platform.config
	dc := cfg.DataCentres[x.DataCentre]
	return x.Model == e.Model && x.Service == e.Service && x.Up && !dc.OutOfService &&
		dc.Region == cfg.DataCentres[e.DataCentre].Region && w.connected(e.DataCentre, x.DataCentre)
}
