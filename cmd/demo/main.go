// Command demo runs the Coulee deployment on loopback for about a minute under a load of multi-turn chats and bookings.
// Meanwhile it takes a data centre out of service and back, and kills and restarts a router. It exits with 0 only if
// these checks pass:
//
//   - every chat response is complete and correct
//   - no booking ran more than once
//   - the number of bookings that ran is between answered and answered + unknown
//   - a data centre receives no new requests from maxOutOfServiceDelay after it is taken out of service
//   - in each phase, the mean load of every engine stays within the bound of bounded-load placement
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/deployment"
)

const (
	runTimeout  = 110 * time.Second
	exitFailure = 1
)

func main() {
	bin := flag.String("bin", "", "directory of the programs; default: that of this program")
	logFile := flag.String("log", "", "file for the log of all processes; default: demo.log in a new directory")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, *bin, *logFile)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, bin, logFile string) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "dandelionvane-demo-")
	if err != nil {
		return errors.Wrap(err, "create the working directory")
	}
	if bin == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find the directory of the programs")
		}
		bin = filepath.Dir(self)
	}
	if logFile == "" {
		logFile = filepath.Join(dir, "demo.log")
	}
	log, err := os.Create(logFile)
	if err != nil {
		return errors.Wrap(err, "create the log file")
	}
	defer func() { _ = log.Close() }()
	logProgress("certificates, settings and log are in %s", dir)

	spec := deployment.Coulee()
	logProgress("starting %d routers, %d engines, %d service replicas and the platform in %d data centres",
		len(spec.Routers), len(spec.Engines), len(spec.Services), len(spec.DataCentres))
	d, err := deployment.Start(ctx, spec, deployment.Options{BinDir: bin, Dir: dir, Log: log})
	if err != nil {
		return errors.Wrapf(err, "start the deployment (log: %s)", logFile)
	}
	defer d.Close()
	s := newDemoRun(d)
	if err := s.run(ctx); err != nil {
		return errors.Wrapf(err, "run the scenario (log: %s)", logFile)
	}
	if !s.report(os.Stdout) {
		return errors.Errorf("a guarantee was violated (log: %s)", logFile)
	}
	d.Close()
	return errors.Wrap(os.RemoveAll(dir), "remove the working directory")
}

var startTime = time.Now()

// logProgress prints a line with the time since the start.
func logProgress(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(startTime).Seconds(), fmt.Sprintf(format, args...))
}
