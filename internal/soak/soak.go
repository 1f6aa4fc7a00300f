// Package soak is a fault-injection test of real gateway processes on one machine. It
// injects random faults from outside of the processes and checks these invariants on what
// callers and endpoints observe:
//
//   - a non-idempotent request is executed at most once
//   - a request that is answered 429 or 503 was not executed
//   - the body of a 200 response is exactly the one that the endpoint produces for that request, or a
//     prefix of it if the response is truncated
//   - a request that is sent with a revoked key is not executed once the revocation delay has passed
//   - a request that is executed while neither its gateway nor its endpoint is disturbed gets a response;
//     planned stops and reloads, which must lose no request, are no disturbances
//   - no stream holds events of two software versions, within one response or over the requests of its caller
//   - of the streams that callers resume at undisturbed gateways while two sound endpoints have their version, the
//     share that goes on is at least half of the share of new streams that begin
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
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configures one run.
type Options struct {
	Binary         string // path of the dandelionvane program
	Dir            string // directory for settings, logs and the report
	LoopbackSubnet int    // third byte of the 127.0.x.y addresses; concurrent runs need different ones
	Seed           uint64
	Gateways       int           // number of processes
	FaultDuration  time.Duration // time during which faults are started
}

const (
	keyRevocationDelay = 3 * time.Second  // as in the settings of the gateways
	requestTimeout     = 4 * time.Second  // timeout of a request, for callers and gateways
	recoveryTimeout    = 8 * time.Second  // limit from the end of the faults until allGatewaysServe holds
	startTimeout       = 20 * time.Second // limit from the start until allGatewaysServe holds
	callerCount        = 12
)

// softwareVersions are the versions of the endpoints. At the start, half of the endpoints of a kind have each of
// the first two.
var softwareVersions = []string{"v1", "v1.1", "v1.2"}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Answered   int      // complete 200 response
	Refused    int      // 429 or 503
	Resumed    int      // requests that resume a stream at an undisturbed gateway, while two sound endpoints have its version
	WentOn     int      // those of them that brought an event
	Unknown    int      // no response, or any other one, such as 401, 5xx and truncated bodies
	Faults     []string // log of the injected faults, with their times
	Violations []string
}

// String formats the report as text, one line per violation.
func (r Report) String() string {
	out := fmt.Sprintf("seed %d: %d requests, %d answered, %d refused, %d unknown, %d of %d resumed streams went on, %d faults, %d violations",
		r.Seed, r.Requests, r.Answered, r.Refused, r.Unknown, r.WentOn, r.Resumed, len(r.Faults), len(r.Violations))
	for _, v := range r.Violations {
		out += "\n  " + v
	}
	return out
}

// run is the state of one run.
type run struct {
	opts      Options
	rng       *rand.Rand // chooses the faults; used by one goroutine only
	fleet     *fleet
	endpoints []*endpoint
	ledger    *ledger
	streams   streamLedger
	startTime time.Time

	mu            sync.Mutex
	faultLog      []string
	newestKey     string
	validKeys     []string // oldest first
	issuedKeys    []string // including revoked ones, oldest first
	configVersion int      // version of the configuration published last

	activeFaults sync.WaitGroup // goroutines started by runAfter
}

// Run injects the faults of one seed into a new fleet and reports the violations.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	r := &run{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), ledger: newLedger(), newestKey: "key-1", validKeys: []string{"key-1"}, issuedKeys: []string{"key-1"}, startTime: time.Now()}
	if err := r.start(); err != nil {
		r.close()
		return Report{}, err
	}
	defer r.close()
	if !r.waitUntil(ctx, startTimeout, r.allGatewaysServe) {
		return Report{}, errors.Errorf("soak: not every gateway is serving %v after the start; see the logs in %s", startTimeout, o.Dir)
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { r.runCaller(callerCtx, i) })
	}
	for i := range streamCallerCount {
		wg.Go(func() { r.runStreamCaller(callerCtx, i) })
	}
	r.injectFaults(ctx, time.Now().Add(o.FaultDuration))
	r.restoreHealthyState()
	recovered := r.waitUntil(ctx, recoveryTimeout, r.allGatewaysServe)
	stopCallers()
	wg.Wait()
	report := r.ledger.report()
	report.Seed, report.Faults = o.Seed, r.faultLog
	if !recovered && ctx.Err() == nil {
		report.Violations = append(report.Violations, fmt.Sprintf("not every gateway is serving %v after the last fault", recoveryTimeout))
	}
	report.Violations = append(report.Violations, r.streams.report()...)
	report.Violations = append(report.Violations, r.fleet.processViolations()...)
	report.Resumed, report.WentOn = r.streams.resumed, r.streams.wentOn
	return report, r.save(report)
}

func (r *run) save(report Report) error {
	text := report.String() + "\n"
	for _, f := range report.Faults {
		text += f + "\n"
	}
	return errors.Wrap(os.WriteFile(filepath.Join(r.opts.Dir, "report.txt"), []byte(text), 0o644), "soak: report")
}

func (r *run) start() error {
	var err error
	if r.fleet, err = startFleet(r.opts); err != nil {
		return err
	}
	for i := range endpointsPerKind * len(routeKinds) {
		e, err := startEndpoint(fmt.Sprintf("i-%d", i), routeKinds[i%len(routeKinds)], softwareVersions[i/len(routeKinds)%2], r.ledger)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
		r.fleet.store.Write(e.item(false))
	}
	r.fleet.store.Write(r.nextConfig())
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
