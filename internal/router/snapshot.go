package router

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/peering"
)

// Snapshot is what a process measures about itself.
type Snapshot struct {
	At                 time.Time
	Core               core.Stats
	Peering            peering.Stats
	RequestsInProgress int   // callers' requests
	BodyBytes          int64 // reserved for request bodies
	CPU                time.Duration
	RSSBytes           uint64
}

// snapshot collects the measures. Fields that cannot be read stay zero.
func (p *process) snapshot(ctx context.Context) Snapshot {
	s := Snapshot{
		At:                 time.Now(),
		Peering:            p.peers.Stats(),
		RequestsInProgress: p.callers.InProgress(),
		BodyBytes:          p.callers.BodyBytes(),
	}
	if u, err := readUsage(); err == nil {
		s.CPU = u.CPU
		s.RSSBytes = u.RSSBytes
	}
	_ = p.loop.query(ctx, func() { s.Core = p.core.Stats() })
	return s
}

// report passes a snapshot on in each period until ctx ends.
func (p *process) report(ctx context.Context) {
	if p.opts.Report == nil || p.opts.ReportInterval <= 0 {
		return
	}
	for ctxtime.Sleep(ctx, p.opts.ReportInterval) {
		p.opts.Report(p.snapshot(ctx))
	}
}
