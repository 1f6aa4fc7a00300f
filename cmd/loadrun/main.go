// Command loadrun runs a deployment with a configurable number of routers on loopback under a steady load of chats, and
// prints the resource usage of each router process: control bytes, packets and frames per second, CPU time and memory.
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
	routers     int
	requestRate float64 // requests/s per router
	period      time.Duration
}

func main() {
	var p runConfig
	flag.IntVar(&p.routers, "routers", 9, "number of router processes")
	flag.Float64Var(&p.requestRate, "rate", 5.6, "requests/s per router")
	flag.DurationVar(&p.period, "period", 20*time.Second, "duration of the measurement")
	flag.Parse()
	if p.routers < 1 || p.routers > maxRouters || p.requestRate <= 0 || p.period < time.Second {
		fmt.Fprintf(os.Stderr, "loadrun: -routers must be 1 to %d, -rate above 0 and -period at least 1s\n", maxRouters)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, p)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadrun:", err)
		os.Exit(exitFailure)
	}
}

func run(ctx context.Context, p runConfig) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+warmUpDuration+p.period+2*requestTimeout)
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
	d, err := deployment.Start(ctx, newSpec(p.routers), opts)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer d.Close()
	return measure(ctx, d, p)
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

func measure(ctx context.Context, d *deployment.Deployment, p runConfig) error {
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var chats, bookings loadtest.Results
	load := newLoad(d, p)
	done := make(chan struct{})
	go load.Clients[0].Balancer.Run(sending)
	go func() {
		load.Run(sending, &chats, &bookings)
		close(done)
	}()
	if !wait(ctx, warmUpDuration) {
		return ctx.Err()
	}
	before, err := readMetrics(ctx, d)
	if err != nil {
		return err
	}
	if !wait(ctx, p.period) {
		return ctx.Err()
	}
	after, err := readMetrics(ctx, d)
	if err != nil {
		return err
	}
	stopSending()
	<-done
	print(d, before, after)
	return nil
}

// newLoad returns the load that produces the configured request rate. It assumes that a turn takes about two seconds
// including the think time.
func newLoad(d *deployment.Deployment, p runConfig) loadtest.Load {
	var addrs []string
	for _, r := range d.Routers() {
		addrs = append(addrs, r.CallerAddr)
	}
	balancer := loadtest.NewBalancer(addrs)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	const thinkTime = 1500 * time.Millisecond
	const turnDuration = 2 * time.Second
	n := int(p.requestRate * float64(p.routers) * turnDuration.Seconds())
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
