package gateway

import (
	"strconv"

	"github.com/dandelionvane/dandelionvane/internal/event"
)

// logStart logs the start of the process with the program that it runs.
func (p *process) logStart() {
	s, program := &p.settings, p.program.Info()
	event.LogFields(event.ProcessStarted, "instance", s.Instance, "data_centre", s.DataCentre, "callers", s.Listen.Callers, "peers", s.Peers.Addr, "first_start", s.FirstStart,
		"version", program.Version, "commit", program.Commit, "dirty", program.Dirty, "go", program.Go)
}

// identifyProgram determines the digest of the program, for the log, the dump and the metrics.
func (p *process) identifyProgram() {
	p.program.Identify(p.ctx)
	program := p.program.Info()
	tags := map[string]string{"version": program.Version, "commit": program.Commit, "dirty": strconv.FormatBool(program.Dirty), "go": program.Go, "digest": program.Digest}
	p.scope().Tagged(tags).Gauge("program").Update(1)
}
