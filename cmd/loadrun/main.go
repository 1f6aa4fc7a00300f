// Command loadrun runs a deployment with a configurable number of routers on loopback under a steady load of chats, and
// prints for each router process the rates of requests, lease requests and control traffic, and its CPU and memory
// usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/deployment"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/loadtest"
)

const (
	maxRouters     = 60
	warmUpDuration = 10 * time.Second
	startTimeout   = 60 * time.Second
	requestTimeout = 30 * time.Second // of one request including its retries
	idleTimeout    = 10 * time.Second // of a response, before it is retried or resumed through another router
	turnsPerChat   = 8
	maxTokens      = 40 // per response
	exitFailure    = 1
	exitUsage      = 2
)

// runConfig holds the parameters of a run.
type runConfig struct {
	routers             int
	requestRate         float64 // requests/s per router
	measurementDuration time.Duration
}

func main() {
	var cfg runConfig
	flag.IntVar(&cfg.routers, "routers", 9, "number of router processes")
	flag.Float64Var(&cfg.requestRate, "rate", 5.6, "requests/s per router")
	flag.DurationVar(&cfg.measurementDuration, "period", 20*time.Second, "duration of the measurement")
	flag.Parse()
	if cfg.routers < 1 || cfg.routers > maxRouters || cfg.requestRate <= 0 || cfg.measurementDuration < time.Second {
		fmt.Fprintf(os.Stderr, "loadrun: -routers must be 1 to %d, -rate above 0 and -period at least 1s\n", maxRouters)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, cfg)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadrun:", err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, cfg runConfig) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+warmUpDuration+cfg.measurementDuration+2*requestTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "dandelionvane-load-")
	if err != nil {
		return errors.Wrap(err, "create the working directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the directory of the programs")
	}
	log, err := os.Create(filepath.Join(dir, "load.log"))
	if err != nil {
		return errors.Wrap(err, "create the log file")
	}
	defer func() { _ = log.Close() }()
	opts := deployment.Options{BinDir: filepath.Dir(self), Dir: dir, Log: log}
	d, err := deployment.Start(ctx, newSpec(cfg.routers), opts)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer d.Close()
	return measure(ctx, d, cfg)
}

// newSpec returns the Coulee deployment with the given number of routers.
func newSpec(routers int) deployment.Spec {
	s := deployment.Coulee()
	s.Routers = nil
	for i := range routers {
		id := fleet.InstanceID(fmt.Sprintf("router-%d", i+1))
		s.Routers = append(s.Routers, deployment.RouterSpec{ID: id, DataCentre: s.DataCentres[i%len(s.DataCentres)]})
	}
	return s
}

func measure(ctx context.Context, d *deployment.Deployment, cfg runConfig) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var chats, bookings loadtest.Results
	load := newLoad(d, cfg)
	done := make(chan struct{})
	go load.Clients[0].Balancer.Run(loadCtx)
	go func() {
		load.Run(loadCtx, &chats, &bookings)
		close(done)
	}()
	if !wait(ctx, warmUpDuration) {
		return ctx.Err()
	}
	before, err := readMetrics(ctx, d)
	if err != nil {
		return err
	}
	if !wait(ctx, cfg.measurementDuration) {
		return ctx.Err()
	}
	after, err := readMetrics(ctx, d)
	if err != nil {
		return err
	}
	stopLoad()
	<-done
	printUsage(d, before, after)
	return nil
}

// newLoad returns the load that produces the configured request rate. It assumes that a turn takes about two seconds
// including the think time.
func newLoad(d *deployment.Deployment, cfg runConfig) loadtest.Load {
	var addrs []string
	for _, r := range d.Routers() {
		addrs = append(addrs, r.CallerAddr)
	}
	balancer := loadtest.NewBalancer(addrs)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	const thinkTime = 1500 * time.Millisecond
	const turnDuration = 2 * time.Second
	n := int(cfg.requestRate * float64(cfg.routers) * turnDuration.Seconds())
	l := loadtest.Load{Seed: 1, Chats: []loadtest.ChatLoad{
		{Model: string(deployment.AssistantModel), Concurrency: n, TurnsPerChat: turnsPerChat, MaxTokens: maxTokens, MeanThinkTime: thinkTime},
	}}
	for _, w := range d.Spec.Workspaces {
		l.Clients = append(l.Clients, &loadtest.Client{Balancer: balancer, HTTP: client, APIKey: w.APIKey, RequestTimeout: requestTimeout, IdleTimeout: idleTimeout})
	}
	return l
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// reading holds the metrics of a router at one point in time.
type reading struct {
	at      time.Time
	metrics deployment.Metrics
}

func readMetrics(ctx context.Context, d *deployment.Deployment) ([]reading, error) {
	var out []reading
	for _, r := range d.Routers() {
		m, err := d.Metrics(ctx, r)
		if err != nil {
			return nil, err
		}
		out = append(out, reading{time.Now(), m})
	}
	return out, nil
}
