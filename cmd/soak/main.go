// Command soak runs real gateway processes under random faults and checks the invariants of
// package soak. "soak run" runs one seed, "soak hunt" many consecutive seeds, and "soak replay"
// the regression seeds, which have failed in an earlier version.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	commander := subcommands.NewCommander(flag.CommandLine, "soak")
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(&command{name: "run", synopsis: "run one seed", usage: "soak run [--seed N] [--length D]\n", seedCount: 1, jobs: 1}, "")
	commander.Register(&command{name: "hunt", synopsis: "run many seeds, several at a time", usage: "soak hunt [--seeds N] [--jobs N]\n", seedCount: 50, jobs: 3}, "")
	commander.Register(&command{name: "replay", synopsis: "run the seeds that have failed in an earlier version", usage: "soak replay [--jobs N]\n", jobs: 3}, "")
	flag.Parse()
	os.Exit(int(commander.Execute(ctx)))
}

// command is one of the sub-commands run, hunt and replay, which differ in the seeds that they run.
type command struct {
	name, synopsis, usage     string
	seedCount, jobs, gateways int
	seed                      uint64
	mix                       int
	faultDuration             time.Duration
	dir, binary               string
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string    { return c.usage }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", rand.Uint64N(1<<32), "first seed")
	f.IntVar(&c.mix, "mix", soak.LatestMix, "version of the mix of faults; replay uses that of each seed:\n"+strings.Join(soak.Mixes(), "\n")+"\n")
	f.DurationVar(&c.faultDuration, "length", 12*time.Second, "how long faults are injected per seed")
	f.IntVar(&c.gateways, "gateways", 4, "number of gateway processes per fleet")
	f.StringVar(&c.dir, "dir", filepath.Join(os.TempDir(), "dandelionvane-soak"), "directory for settings, logs and reports")
	f.StringVar(&c.binary, "binary", "", "path of the dandelionvane program; built from the sources if empty")
	if c.name == "hunt" {
		f.IntVar(&c.seedCount, "seeds", c.seedCount, "number of seeds")
	}
	if c.name != "run" {
		f.IntVar(&c.jobs, "jobs", c.jobs, "number of fleets that run concurrently")
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.buildBinary(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return subcommands.ExitFailure
	}
	seeds, err := c.selectSeeds()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed, classes := 0, map[string]int{}
	for job := range c.jobs {
		wg.Go(func() {
			for n := job; n < len(seeds) && ctx.Err() == nil; n += c.jobs {
				report, ok := c.runSeed(ctx, seeds[n], 100+job)
				mu.Lock()
				if !ok {
					failed++
				}
				for class, count := range report.Classes() {
					classes[class] += count
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		fmt.Printf("%6d violations: %s\n", classes[class], class)
	}
	fmt.Printf("%d of %d seeds failed\n", failed, len(seeds))
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// selectSeeds returns the seeds to run with their mixes: the regression seeds for replay, otherwise seedCount
// consecutive seeds from the first.
func (c *command) selectSeeds() ([]soak.FailedSeed, error) {
	if c.name == "replay" {
		return soak.FailedSeeds()
	}
	var out []soak.FailedSeed
	for n := range c.seedCount {
		out = append(out, soak.FailedSeed{Seed: c.seed + uint64(n), Mix: c.mix})
	}
	return out, nil
}

// buildBinary builds the dandelionvane program unless a path is given.
func (c *command) buildBinary(ctx context.Context) error {
	if c.binary != "" {
		return nil
	}
	c.binary = filepath.Join(c.dir, "dandelionvane")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", c.binary, "./cmd/dandelionvane").CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

func (c *command) runSeed(ctx context.Context, s soak.FailedSeed, loopbackSubnet int) (soak.Report, bool) {
	report, err := soak.Run(ctx, soak.Options{
		Binary: c.binary, Dir: filepath.Join(c.dir, fmt.Sprint(s.Seed)), LoopbackSubnet: loopbackSubnet, Seed: s.Seed, Mix: s.Mix, Gateways: c.gateways, FaultDuration: c.faultDuration,
	})
	if err != nil {
		fmt.Printf("seed %d: %v\n", s.Seed, err)
		return report, false
	}
	fmt.Println(report)
	return report, len(report.Violations) == 0
}
