// Command loadrun runs a deployment of a chosen size on loopback under a steady load
// of chats and prints what each router process spent a second: control bytes, packets
// and frames, processor time and memory.
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
	maxRouters  = 60
	warmUp      = 10 * time.Second
	startLimit  = 60 * time.Second
	patience    = 30 * time.Second // of a caller with one request
	idle        = 10 * time.Second // of an answer, before the caller resumes it elsewhere
	turns       = 8                // of a chat
	tokens      = 40               // of an answer
	exitFailure = 1
	exitUsage   = 2
)

// plan is what a run measures.
type plan struct {
	routers int
	rate    float64 // requests/s of one router
	period  time.Duration
}

func main() {
	var p plan
	flag.IntVar(&p.routers, "routers", 9, "router processes")
	flag.Float64Var(&p.rate, "rate", 5.6, "requests/s of one router")
	flag.DurationVar(&p.period, "period", 20*time.Second, "time that is measured")
	flag.Parse()
	if p.routers < 1 || p.routers > maxRouters || p.rate <= 0 || p.period < time.Second {
		fmt.Fprintf(os.Stderr, "loadrun: give 1 to %d routers, a rate above 0 and a period of at least 1s\n", maxRouters)
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

func run(ctx context.Context, p plan) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit+warmUp+p.period+2*patience)
	defer cancel()
	dir, err := os.MkdirTemp("", "dandelionvane-load-")
	if err != nil {
		return errors.Wrap(err, "make a directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the programs")
	}
	log, err := os.Create(filepath.Join(dir, "load.log"))
	if err != nil {
		return errors.Wrap(err, "create the log")
	}
	defer func() { _ = log.Close() }()
	opts := deployment.Options{BinDir: filepath.Dir(self), Dir: dir, Log: log}
	d, err := deployment.Start(ctx, spec(p.routers), opts)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer d.Close()
	return measure(ctx, d, p)
}

// spec is Coulee with another number of routers.
func spec(routers int) deployment.Spec {
	s := deployment.Coulee()
	s.Routers = nil
	for i := range routers {
		id := fleet.InstanceID(fmt.Sprintf("router-%d", i+1))
		s.Routers = append(s.Routers, deployment.RouterSpec{ID: id, DataCentre: s.DataCentres[i%len(s.DataCentres)]})
	}
	return s
}

func measure(ctx context.Context, d *deployment.Deployment, p plan) error {
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
	if !wait(ctx, warmUp) {
		return ctx.Err()
	}
	before, err := readAll(ctx, d)
	if err != nil {
		return err
	}
	if !wait(ctx, p.period) {
		return ctx.Err()
	}
	after, err := readAll(ctx, d)
	if err != nil {
		return err
	}
	stopSending()
	<-done
	print(d, before, after)
	return nil
}

// newLoad returns as many chats as make the rate: a turn takes about two seconds,
// pause included.
func newLoad(d *deployment.Deployment, p plan) loadtest.Load {
	var addrs []string
	for _, r := range d.Routers() {
		addrs = append(addrs, r.CallerAddr)
	}
	balancer := loadtest.NewBalancer(addrs)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	const pause = 1500 * time.Millisecond
	const turn = 2 * time.Second
	n := int(p.rate * float64(p.routers) * turn.Seconds())
	l := loadtest.Load{Seed: 1, Chats: []loadtest.ChatLoad{
		{Model: string(deployment.AssistantModel), Concurrency: n, TurnsPerChat: turns, MaxTokens: tokens, MeanThinkTime: pause},
	}}
	for _, w := range d.Spec.Workspaces {
		l.Clients = append(l.Clients, &loadtest.Client{Balancer: balancer, HTTP: client, Key: w.Key, RequestTimeout: patience, IdleTimeout: idle})
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

// reading is the metrics of a router at a time.
type reading struct {
	at      time.Time
	metrics deployment.Metrics
}

func readAll(ctx context.Context, d *deployment.Deployment) ([]reading, error) {
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
