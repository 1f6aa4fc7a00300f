// Package soak is a fault-injection test of real gateway processes on one machine. It
// injects random faults from outside of the processes and checks these invariants on what
// callers and endpoints observe:
//
//   - a non-idempotent request is executed at most once
//   - a request that is answered 429 or 503 was not executed
//   - the body of a 200 response is exactly the one that the endpoint produces for that request, or a
//     prefix of it if the response is truncated
//   - a request that is sent with a revoked key is not executed once the revocation delay has passed
//   - a whole request gets a response, unless its gateway is killed or paused, or the grace period of a planned stop is
//     over; a response of another status than 200, 503 and 429 and one that is truncated need a fault that explains them
//     (see excuses). Planned stops, reloads, changes of the configuration and silent endpoints explain none
//   - no stream holds events of two software versions, within one response or over the requests of its caller
//   - of the streams that callers resume at undisturbed gateways while two sound endpoints have their version, the
//     share that goes on is at least half of the share of new streams that begin
//   - a query of death ends at most maxEnds endpoint processes, but for those that had received it before the last of these
//     ends, unless all gateways are restarted or paused at once; from configDelay later on, gateways that are up and in touch
//     answer 500 to it. No other request gets a 500 of a gateway
//   - every gateway answers requests again within recoveryTimeout after the last fault
//   - a gateway exits only on request, and a planned stop ends in time and without an error
//
// The seed determines the sequence and the timing of the faults. The scheduling of the
// processes isn't deterministic, so a seed may fail in one run and pass in another.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/platform/platformtest"
)

// Options configures one run.
type Options struct {
	Binary         string // path of the dandelionvane program
	Dir            string // directory for settings, logs and the report
	LoopbackSubnet int    // third byte of the 127.0.x.y addresses; concurrent runs need different ones
	Seed           uint64
	Gateways       int           // number of processes
	FaultDuration  time.Duration // time during which faults are started
	Mix            int           // version of the mix of faults, 0 for the latest
}

const (
	keyRevocationDelay = 3 * time.Second  // as in the settings of the gateways
	requestTimeout     = 4 * time.Second  // timeout of a request, for callers and gateways
	recoveryTimeout    = 8 * time.Second  // limit from the end of the faults until allGatewaysServe holds
	startTimeout       = 20 * time.Second // limit from the start until allGatewaysServe holds
	callerCount        = 12               // per group of gateways
	gatewaysPerGroup   = 16               // for each of which there are more callers
	firstKey           = "key-1"
)

// softwareVersions are the versions of the endpoints. At the start, half of the endpoints of a kind have each of
// the first two.
var softwareVersions = []string{"v1", "v1.1", "v1.2"}

// run is the state of one run.
type run struct {
	opts      Options
	rng       *rand.Rand // chooses the faults; used by one goroutine only
	timeline  *timeline
	operator  *operator
	fleet     *fleet
	endpoints []*endpoint
	ledger    *ledger
	streams   streamLedger
	ends      endLedger
	contents  sharedContents
	startTime time.Time

	mu         sync.Mutex
	faultLog   []string
	newestKey  string
	issuedKeys []string // including revoked ones, oldest first

	activeFaults sync.WaitGroup // goroutines started by runAfter
}

// Run injects the faults of one seed into a new fleet and reports the violations.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	if o.Mix == 0 {
		o.Mix = LatestMix
	}
	if _, ok := mixes[o.Mix]; !ok {
		return Report{}, errors.Errorf("soak: there is no mix %d", o.Mix)
	}
	r := &run{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), timeline: &timeline{}, ledger: newLedger(), newestKey: firstKey, issuedKeys: []string{firstKey}, startTime: time.Now(), contents: newSharedContents(o.Seed, mixes[o.Mix])}
	if err := r.start(); err != nil {
		r.close()
		return Report{}, err
	}
	defer r.close()
	if !r.waitUntil(ctx, startTimeout, r.allGatewaysServe) {
		return Report{}, errors.Errorf("soak: not every gateway is serving %v after the start; see the logs in %s", startTimeout, o.Dir)
	}
	r.timeline.endAll(gatewayDown) // since all serve
	stopCallers := r.startCallers(ctx)
	r.injectFaults(ctx, time.Now().Add(o.FaultDuration))
	r.restoreHealthyState()
	recovered := r.waitUntil(ctx, recoveryTimeout, r.allGatewaysServe)
	r.sendBlocked(ctx)
	stopCallers()
	report := r.report()
	if !recovered && ctx.Err() == nil {
		report.add("recovery", "not every gateway is serving %v after the last fault", recoveryTimeout)
	}
	return report, report.save(o.Dir)
}

// startCallers starts the callers. The returned function ends them and waits for their last requests.
func (r *run) startCallers(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	groups := 1 + r.opts.Gateways/gatewaysPerGroup
	start := func(perGroup int, caller func(context.Context, int)) {
		for i := range perGroup * groups {
			wg.Go(func() { caller(ctx, i) })
		}
	}
	m := mixes[r.opts.Mix]
	start(callerCount, r.runCaller)
	start(streamCallerCount, r.runStreamCaller)
	start(m.burstCallers, r.runBurstCaller)
	start(m.soundCallers, r.runSoundCaller)
	start(m.deathCallers, r.runDeathCaller)
	start(m.uploadCallers, r.runUploadCaller)
	return func() {
		cancel()
		wg.Wait()
	}
}

// report collects the results of all ledgers.
func (r *run) report() Report {
	out := r.ledger.report(r.startTime, r.circumstances)
	out.Seed, out.Mix, out.Faults = r.opts.Seed, r.opts.Mix, r.faultLog
	out.Violations = append(out.Violations, r.streams.report()...)
	r.reportEnds(&out)
	r.fleet.addMemory(&out)
	out.Violations = append(out.Violations, r.fleet.processViolations()...)
	out.Resumed, out.WentOn = r.streams.resumed, r.streams.wentOn
	return out
}

func (r *run) start() error {
	var err error
	if r.fleet, err = startFleet(r.opts, r.timeline); err != nil {
		return err
	}
	r.operator = newOperator(r.fleet.store, r.timeline, firstKey, mixes[r.opts.Mix].idleTimeout)
	for i := range endpointsPerKind * len(routeKinds) {
		e, err := r.startEndpoint(fmt.Sprintf("i-%d", i), routeKinds[i%len(routeKinds)], softwareVersions[i/len(routeKinds)%2])
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
	}
	r.operator.publish(func(*platformtest.ConfigEntry) {})
	return nil
}

// allGatewaysServe reports whether every gateway sends a complete response, of any status, to a request of
// each route kind.
func (r *run) allGatewaysServe(ctx context.Context) bool {
	for _, g := range r.fleet.gateways {
		for _, kind := range routeKinds {
			if o := r.probe(ctx, g, kind, r.currentKey()); !o.complete || o.status != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// waitUntil evaluates cond until it holds or the timeout has passed, and reports whether it held. It
// doesn't pause in between, as cond sends requests.
func (r *run) waitUntil(ctx context.Context, timeout time.Duration, cond func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		if cond(ctx) {
			return true
		}
	}
	return false
}

func (r *run) currentKey() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestKey
}

// randomRecentKey returns one of the keys issued last, which may be revoked.
func (r *run) randomRecentKey(rng *rand.Rand) string {
	const recentKeys = 4
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.issuedKeys[len(r.issuedKeys)-1-rng.IntN(min(recentKeys, len(r.issuedKeys)))]
}

func (r *run) logFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultLog = append(r.faultLog, fmt.Sprintf("%6.2f s  ", time.Since(r.startTime).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) close() {
	if r.fleet != nil {
		r.fleet.close()
	}
	for _, e := range r.endpoints {
		e.close()
	}
}
