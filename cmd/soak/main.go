// Command soak runs real gateway processes under random faults and checks what callers
// and endpoints see.
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
	cdr := subcommands.NewCommander(flag.CommandLine, "soak")
	cdr.Register(cdr.HelpCommand(), "help")
	cdr.Register(&command{name: "run", synopsis: "play one seed", usage: "soak run [--seed N] [--length D]\n", runs: 1, jobs: 1}, "")
	cdr.Register(&command{name: "hunt", synopsis: "play many seeds, some at a time", usage: "soak hunt [--seeds N] [--jobs N]\n", runs: 50, jobs: 3}, "")
	cdr.Register(&command{name: "replay", synopsis: "play the seeds that failed once", usage: "soak replay [--jobs N]\n", jobs: 3}, "")
	flag.Parse()
	os.Exit(int(cdr.Execute(ctx)))
}

// command plays one seed or many. Playing one again is a run with its seed.
type command struct {
	name, synopsis, usage string
	runs, jobs, gateways  int
	seed                  uint64
	length                time.Duration
	dir, binary           string
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string    { return c.usage }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", rand.Uint64N(1<<32), "first seed")
	f.DurationVar(&c.length, "length", 12*time.Second, "of the faults of one seed")
	f.IntVar(&c.gateways, "gateways", 4, "processes of a fleet")
	f.StringVar(&c.dir, "dir", filepath.Join(os.TempDir(), "dandelionvane-soak"), "for settings, logs and reports")
	f.StringVar(&c.binary, "binary", "", "the program to run, built from the sources if empty")
	if c.name == "hunt" {
		f.IntVar(&c.runs, "seeds", c.runs, "how many")
	}
	if c.name != "run" {
		f.IntVar(&c.jobs, "jobs", c.jobs, "fleets at a time")
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.build(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return subcommands.ExitFailure
	}
	seeds, err := c.seeds()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for job := range c.jobs {
		wg.Go(func() {
			for n := job; n < len(seeds) && ctx.Err() == nil; n += c.jobs {
				ok := c.play(ctx, seeds[n], 100+job)
				mu.Lock()
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("%d of %d seeds failed\n", failed, len(seeds))
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// seeds returns what to play: those that failed once, or as many as wanted from the first.
func (c *command) seeds() ([]uint64, error) {
	if c.name == "replay" {
		failed, err := soak.FailedSeeds()
		return slices.Sorted(maps.Keys(failed)), err
	}
	var out []uint64
	for n := range c.runs {
		out = append(out, c.seed+uint64(n))
	}
	return out, nil
}

// build builds the program unless one is given.
func (c *command) build(ctx context.Context) error {
	if c.binary != "" {
		return nil
	}
	c.binary = filepath.Join(c.dir, "dandelionvane")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", c.binary, "./cmd/dandelionvane").CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

func (c *command) play(ctx context.Context, seed uint64, network int) bool {
	report, err := soak.Run(ctx, soak.Options{
		Binary: c.binary, Dir: filepath.Join(c.dir, fmt.Sprint(seed)), LoopbackSubnet: network, Seed: seed, Gateways: c.gateways, FaultDuration: c.length,
	})
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Println(report)
	return len(report.Violations) == 0
}
