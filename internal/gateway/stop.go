package gateway

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/ingress"
)

const (
	// balancerDrainDelay is how long the load balancer may still send new connections after the
	// process has become unready: two readiness checks a second apart, and their latency.
	balancerDrainDelay = 2500 * time.Millisecond
	// idleDrainTime is how long after the stop signal a connection without a request may stay open for what its caller
	// still sends, if its last answer announced that long. A long request that came later could not end in time.
	idleDrainTime = balancerDrainDelay
	// stopReserve is the part of the grace period reserved for the exit of the process itself.
	stopReserve = 600 * time.Millisecond
)

// awaitStop returns nil after a planned stop, or the error of a failed listener.
func (p *process) awaitStop(ctx context.Context) error {
	select {
	case err := <-p.listenerErrs:
		p.callers.Close(ingress.EndProcess)
		return err
	case <-ctx.Done():
	}
	p.drainAndStop()
	return nil
}

// drainAndStop performs a planned stop. The process becomes unready but keeps serving while the
// load balancer may still send new connections, and then completes the requests in progress
// within the grace period, or ends them.
func (p *process) drainAndStop() {
	began := time.Now()
	grace := p.settings.Bounds.StopGracePeriod - stopReserve
	event.LogFields(event.ProcessStopping, "grace_ms", grace.Milliseconds())
	p.callers.DisableKeepAlives()
	fault.Contain("stop", func() {
		p.loop.Do(func(s *control.State, now boottime.Instant) { s.Stop(now) })
	})
	time.Sleep(min(balancerDrainDelay, grace))
	cutOff := p.callers.Drain(began.Add(idleDrainTime), began.Add(grace))
	event.LogFields(event.ProcessStopped, "took_ms", time.Since(began).Milliseconds(), "requests_cut_off", cutOff)
}
