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
	revocation  = 3 * time.Second  // as the settings say
	callTimeout = 4 * time.Second  // of a request, which callers wait for
	recovery    = 8 * time.Second  // after which everything is served again
	startLimit  = 20 * time.Second // for all gateways to be ready
	callers     = 12
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
	rng       *rand.Rand // of the faults, used by one goroutine
	fleet     *fleet
	endpoints []*endpoint
	ledger    *ledger
	began     time.Time

	mu     sync.Mutex
	faults []string
	key    string   // the newest
	keys   []string // all that count, the oldest first
	past   []string // all that ever counted, the oldest first
	next   int      // version of the next configuration

	pending sync.WaitGroup // of the ends of faults
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	r := &run{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), ledger: newLedger(), key: "key-1", keys: []string{"key-1"}, past: []string{"key-1"}, began: time.Now()}
	if err := r.start(); err != nil {
		r.close()
		return Report{}, err
	}
	defer r.close()
	if !r.until(ctx, startLimit, r.allServe) {
		return Report{}, errors.Errorf("soak: the fleet does not serve %v after its start, see %s", startLimit, o.Dir)
	}
	calls, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { r.call(calls, i) })
	}
	r.disturb(ctx, time.Now().Add(o.FaultDuration))
	r.heal()
	healed := r.until(ctx, recovery, r.allServe)
	stop()
	wg.Wait()
	report := r.ledger.report()
	report.Seed, report.Faults = o.Seed, r.faults
	if !healed && ctx.Err() == nil {
		report.Violations = append(report.Violations, fmt.Sprintf("not every gateway serves %v after the last fault", recovery))
	}
	report.Violations = append(report.Violations, r.fleet.exits()...)
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
	for i := range endpointsPerKind * len(kinds) {
		e, err := startEndpoint(fmt.Sprintf("i-%d", i), kinds[i%len(kinds)], r.ledger)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
		r.fleet.store.Write(e.entry(false))
	}
	r.fleet.store.Write(r.config())
	return nil
}

// allServe tells whether every gateway is up and answers a request of each kind.
func (r *run) allServe(ctx context.Context) bool {
	for _, g := range r.fleet.gateways {
		for _, kind := range kinds {
			if o := r.ask(ctx, g, kind, r.currentKey()); !o.whole {
				return false
			}
		}
	}
	return true
}

// until asks again until cond holds, at most for a time.
func (r *run) until(ctx context.Context, limit time.Duration, cond func(context.Context) bool) bool {
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
	return r.key
}

// lateKey returns one of the last keys, which may have been taken away.
func (r *run) lateKey(rng *rand.Rand) string {
	const last = 4
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.past[len(r.past)-1-rng.IntN(min(last, len(r.past)))]
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) close() {
	if r.fleet != nil {
		r.fleet.close()
	}
	for _, e := range r.endpoints {
		e.close()
	}
}
