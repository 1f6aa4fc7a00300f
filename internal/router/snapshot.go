package router

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
	"github.com/dandelionvane/dandelionvane/internal/peering"
)

// Snapshot holds the statistics of a process at one time.
type Snapshot struct {
	At                 time.Time
	Core               core.Stats
	Peering            peering.Stats
	RequestsInProgress int   // requests of callers
	BodyBytes          int64 // memory reserved for request bodies
	CPU                time.Duration
	RSSBytes           uint64
}

// snapshot collects the statistics. Fields that cannot be read stay zero.
func (p *process) snapshot(ctx context.Context) Snapshot {
	s := Snapshot{
		At:                 time.Now(),
		Peering:            p.peers.Stats(),
		RequestsInProgress: p.callers.InProgress(),
		BodyBytes:          p.callers.BodyBytes(),
	}
	if u, err := readProcessUsage(); err == nil {
		s.CPU = u.CPU
		s.RSSBytes = u.RSSBytes
	}
	_ = p.loop.runOnLoop(ctx, func() { s.Core = p.core.Stats() })
	return s
}

// reportSnapshots passes a snapshot to Options.Report once per ReportInterval until ctx ends.
func (p *process) reportSnapshots(ctx context.Context) {
	if p.opts.Report == nil || p.opts.ReportInterval <= 0 {
		return
	}
	for ctxtime.Sleep(ctx, p.opts.ReportInterval) {
		p.opts.Report(p.snapshot(ctx))
	}
}
