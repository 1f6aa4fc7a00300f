package main

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/deployment"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	sampleInterval  = 200 * time.Millisecond
	maxLoadMultiple = 1.5 // limit of an engine's load as a multiple of the mean load of its pool; the routers' default
)

// skewSampler samples the load that engines report and sums it by phase of the run.
type skewSampler struct {
	d *deployment.Deployment

	mu      sync.Mutex
	phases  []*phase
	current *phase // nil between phases
}

// phase holds the sums of the samples of one phase. Engines in the data centres of outOfService are not sampled.
type phase struct {
	name         string
	outOfService []fleet.DataCentreID
	pools        map[fleet.ModelID]*poolLoad
}

// poolLoad holds the sums of the load samples of the engines of one model.
type poolLoad struct {
	samples  int
	loadSums map[fleet.EndpointID]int
	limitSum float64 // sum over the samples of the limit of bounded-load placement
}

func newSkewSampler(d *deployment.Deployment) *skewSampler { return &skewSampler{d: d} }

// beginPhase begins a phase during which the given data centres are out of service.
func (s *skewSampler) beginPhase(name string, outOfService ...fleet.DataCentreID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = &phase{name: name, outOfService: outOfService, pools: map[fleet.ModelID]*poolLoad{}}
	s.phases = append(s.phases, s.current)
}

// endPhase ends the current phase. Nothing is sampled until the next one begins.
func (s *skewSampler) endPhase() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = nil
}

func (s *skewSampler) run(ctx context.Context) {
	for ; ctx.Err() == nil; wait(ctx, sampleInterval) {
		s.mu.Lock()
		p := s.current
		s.mu.Unlock()
		if p != nil {
			s.sample(ctx, p)
		}
	}
}

func (s *skewSampler) sample(ctx context.Context, p *phase) {
	loads := map[fleet.ModelID]map[fleet.EndpointID]int{}
	for _, e := range s.d.Endpoints {
		if e.Kind != fleet.Engine || slices.Contains(p.outOfService, e.DataCentre) {
			continue
		}
		l, err := s.d.Load(ctx, e)
		if err != nil {
			return
		}
		if loads[e.Model] == nil {
			loads[e.Model] = map[fleet.EndpointID]int{}
		}
		loads[e.Model][e.ID] = l.Running + l.Queued
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for m, l := range loads {
		if p.pools[m] == nil {
			p.pools[m] = &poolLoad{loadSums: map[fleet.EndpointID]int{}}
		}
		p.pools[m].add(l)
	}
}

func (l *poolLoad) add(loads map[fleet.EndpointID]int) {
	total := 0
	for id, n := range loads {
		total += n
		l.loadSums[id] += n
	}
	l.samples++
	l.limitSum += math.Ceil(maxLoadMultiple * float64(total+1) / float64(len(loads)))
}

// summary returns, averaged over all samples, the mean load of the engines, the load of the most loaded engine, and the
// limit.
func (l *poolLoad) summary() (mean, highest, limit float64) {
	total := 0
	for _, n := range l.loadSums {
		total += n
		highest = max(highest, float64(n))
	}
	samples := float64(l.samples)
	return float64(total) / samples / float64(len(l.loadSums)), highest / samples, l.limitSum / samples
}
