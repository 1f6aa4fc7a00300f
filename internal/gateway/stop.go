package gateway

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

const (
	// balancerTime is how long the balancer may still send new connections after the
	// process has said that it is not ready: two questions a second apart, and their way.
	balancerTime = 2500 * time.Millisecond
	// stopMargin is left of the grace period for the end of the process itself.
	stopMargin = 600 * time.Millisecond
)

// wait returns after a planned stop, or when a listener failed.
func (p *process) wait(ctx context.Context) error {
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
	}
	p.stop()
	return nil
}

// stop serves on while the balancer still sends callers here, then finishes what runs.
func (p *process) stop() {
	began := time.Now()
	grace := p.settings.Bounds.StopGracePeriod - stopMargin
	event.Record(event.ProcessStopping, "grace_ms", grace.Milliseconds())
	p.server.Stop()
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.Stop(now) })
	time.Sleep(min(balancerTime, grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace-time.Since(began))
	defer cancel()
	cut := p.callers.Shutdown(ctx) != nil
	event.Record(event.ProcessStopped, "took_ms", time.Since(began).Milliseconds(), "requests_cut_off", cut)
}
