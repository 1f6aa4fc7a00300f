// Package soak runs real gateway processes on one machine under random faults from outside
// and checks what callers and endpoints see: each non-idempotent request runs at most
// once, "not run" is true, answers are whole and belong to their request, revoked keys
// stop working, planned stops lose nothing, and the fleet serves again after the faults.
//
// A seed fixes which faults come when; what the processes make of them is not
// repeatable, so that a seed may fail in one run and pass in another.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options set up one run.
type Options struct {
	Binary         string // the program
	Dir            string // for settings and logs
	LoopbackSubnet int    // third byte of the loopback addresses, one for each run at a time
	Seed           uint64
	Gateways       int
	FaultDuration  time.Duration // of the faults
}

const (
	keyRevocationDelay = 3 * time.Second  // as the settings say
	requestTimeout     = 4 * time.Second  // of a request, which callers wait for
	recoveryTimeout    = 8 * time.Second  // after which everything is served again
	startTimeout       = 20 * time.Second // for all gateways to be ready
	callerCount        = 12
)

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Answered   int
	Refused    int
	Unknown    int      // failed without a promise
	Faults     []string // as they came
	Violations []string
}

// String formats the report for people.
func (r Report) String() string {
	out := fmt.Sprintf("seed %d: %d requests, %d answered, %d refused, %d unknown, %d faults, %d violations",
		r.Seed, r.Requests, r.Answered, r.Refused, r.Unknown, len(r.Faults), len(r.Violations))
	for _, v := range r.Violations {
		out += "\n  " + v
	}
	return out
}

// run is one run in progress.
type run struct {
	opts      Options
	faultRand *rand.Rand // of the faults, used by one goroutine
	fleet     *fleet
	endpoints []*endpoint
	ledger    *ledger
	startTime time.Time

	mu            sync.Mutex
	faultLog      []string
	newestKey     string   // the newest
	validKeys     []string // all that count, the oldest first
	issuedKeys    []string // all that ever counted, the oldest first
	configVersion int      // version of the next configuration

	activeFaults sync.WaitGroup // of the ends of faults
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	r := &run{opts: o, faultRand: rand.New(rand.NewPCG(o.Seed, 7)), ledger: newLedger(), newestKey: "key-1", validKeys: []string{"key-1"}, issuedKeys: []string{"key-1"}, startTime: time.Now()}
	if err := r.start(); err != nil {
		r.close()
		return Report{}, err
	}
	defer r.close()
	if !r.waitUntil(ctx, startTimeout, r.allGatewaysServe) {
		return Report{}, errors.Errorf("soak: the fleet does not serve %v after its start, see %s", startTimeout, o.Dir)
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { r.runCaller(callerCtx, i) })
	}
	r.injectFaults(ctx, time.Now().Add(o.FaultDuration))
	r.endFaults()
	recovered := r.waitUntil(ctx, recoveryTimeout, r.allGatewaysServe)
	stopCallers()
	wg.Wait()
	report := r.ledger.report()
	report.Seed, report.Faults = o.Seed, r.faultLog
	if !recovered && ctx.Err() == nil {
		report.Violations = append(report.Violations, fmt.Sprintf("not every gateway serves %v after the last fault", recoveryTimeout))
	}
	report.Violations = append(report.Violations, r.fleet.processViolations()...)
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
		e, err := startEndpoint(fmt.Sprintf("i-%d", i), routeKinds[i%len(routeKinds)], r.ledger)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
		r.fleet.store.Write(e.item(false))
	}
	r.fleet.store.Write(r.nextConfig())
	return nil
}

// allGatewaysServe tells whether every gateway is up and answers a request of each kind.
func (r *run) allGatewaysServe(ctx context.Context) bool {
	for _, g := range r.fleet.gateways {
		for _, kind := range routeKinds {
			if o := r.probe(ctx, g, kind, r.currentKey()); !o.complete {
				return false
			}
		}
	}
	return true
}

// waitUntil asks again until cond holds, at most for a time.
func (r *run) waitUntil(ctx context.Context, limit time.Duration, cond func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
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

// randomRecentKey returns one of the last keys, which may have been taken away.
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
