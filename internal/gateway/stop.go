package gateway

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
)

const (
	// balancerDrainDelay is how long the balancer may still send new connections after the
	// process has said that it is not ready: two questions a second apart, and their way.
	balancerDrainDelay = 2500 * time.Millisecond
	// stopReserve is left of the grace period for the end of the process itself.
	stopReserve = 600 * time.Millisecond
)

// awaitStop returns after a planned stop, or when a listener failed.
func (p *process) awaitStop(ctx context.Context) error {
	select {
	case err := <-p.listenerErrs:
		return err
	case <-ctx.Done():
	}
	p.drainAndStop()
	return nil
}

// drainAndStop serves on while the balancer still sends callers here, then finishes what runs.
func (p *process) drainAndStop() {
	began := time.Now()
	grace := p.settings.Bounds.StopGracePeriod - stopReserve
	event.Record(event.ProcessStopping, "grace_ms", grace.Milliseconds())
	p.server.Stop()
	p.loop.Do(func(s *control.State, now boottime.Instant) { s.Stop(now) })
	time.Sleep(min(balancerDrainDelay, grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace-time.Since(began))
	defer cancel()
	cutOff := p.callers.Shutdown(ctx) != nil
	event.Record(event.ProcessStopped, "took_ms", time.Since(began).Milliseconds(), "requests_cut_off", cutOff)
}
