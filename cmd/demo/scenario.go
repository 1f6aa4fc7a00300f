package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/deployment"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/loadtest"
	"github.com/dandelionvane/dandelionvane/internal/standin/platform"
)

const (
	steadyTime   = 10 * time.Second
	outBound     = 5 * time.Second // after which a data centre that was taken out gets no new work
	outTime      = 8 * time.Second // beyond the bound
	returnTime   = 8 * time.Second
	deadTime     = 5 * time.Second // of the killed router
	recoveryTime = 8 * time.Second
	patience     = 20 * time.Second // of a caller with one request
	idle         = 5 * time.Second  // of an answer, before the caller resumes it elsewhere
	progressTime = 5 * time.Second

	outDataCentre fleet.DataCentreID = "dc2"
	killedRouter  fleet.InstanceID   = "router-1"
)

// scenario is one run of the demo.
type scenario struct {
	d        *deployment.Deployment
	chats    loadtest.Results
	bookings loadtest.Results
	skew     *skewSampler

	newWork    int // requests that the data centre took while it was out, after the bound
	before     map[fleet.InstanceID]deployment.Traffic
	after      map[fleet.InstanceID]deployment.Traffic
	runs       map[string]int // by booking, over all replicas
	coldExcess int            // most requests that an engine held beyond its capacity while cold
	platform   platform.Stats
}

func newScenario(d *deployment.Deployment) *scenario {
	return &scenario{d: d, skew: newSkewSampler(d)}
}

// run sends the traffic and does what the operators do meanwhile.
func (s *scenario) run(ctx context.Context) (err error) {
	if s.before, err = s.traffic(ctx); err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(ctx)
	sending, stopSending := context.WithCancel(ctx)
	load := s.load()
	var wg, sent sync.WaitGroup
	wg.Go(func() { load.Clients[0].Balancer.Run(background) })
	wg.Go(func() { s.skew.run(background) })
	wg.Go(func() { s.progress(background) })
	sent.Go(func() { load.Run(sending, &s.chats, &s.bookings) })

	err = s.operate(ctx)
	stopSending()
	say("no new requests; waiting for those in progress")
	sent.Wait()
	stopBackground()
	wg.Wait()
	load.Clients[0].HTTP.CloseIdleConnections()
	if err != nil {
		return err
	}
	return s.collect(ctx)
}

func (s *scenario) load() loadtest.Load {
	var addrs []string
	for _, r := range s.d.Routers() {
		addrs = append(addrs, r.CallerAddr)
	}
	balancer := loadtest.NewBalancer(addrs)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	l := loadtest.Load{
		Seed: 1,
		Chats: []loadtest.ChatLoad{
			{Model: string(deployment.AssistantModel), Concurrency: 60, TurnsPerChat: 6, MaxTokens: 40, MeanThinkTime: 300 * time.Millisecond},
			{Model: string(deployment.BookingModel), Concurrency: 24, TurnsPerChat: 4, MaxTokens: 30, MeanThinkTime: 300 * time.Millisecond},
		},
		Bookings: loadtest.BookingLoad{Path: "/services/" + string(deployment.GateService) + "/bookings", Callers: 8, MeanThinkTime: 200 * time.Millisecond},
	}
	for _, w := range s.d.Spec.Workspaces {
		if w.Plan == deployment.AllModelsPlan {
			l.Clients = append(l.Clients, &loadtest.Client{Balancer: balancer, HTTP: client, Key: w.Key, RequestTimeout: patience, IdleTimeout: idle})
		}
	}
	return l
}

// operate takes a data centre out and back, and lets a router die and return.
func (s *scenario) operate(ctx context.Context) error {
	say("chats and bookings begin")
	s.skew.phase("steady")
	wait(ctx, steadyTime)
	if err := s.dataCentreLeaves(ctx); err != nil {
		return err
	}
	wait(ctx, returnTime)
	s.skew.phase("router killed")
	say("%s is killed", killedRouter)
	s.d.KillRouter(killedRouter)
	wait(ctx, deadTime)
	say("%s is started anew", killedRouter)
	if err := s.d.StartRouter(killedRouter); err != nil {
		return err
	}
	if err := s.d.WaitRouterReady(ctx, killedRouter); err != nil {
		return err
	}
	say("%s takes callers", killedRouter)
	wait(ctx, recoveryTime)
	s.skew.pause()
	return errors.Wrap(ctx.Err(), "interrupted")
}

func (s *scenario) dataCentreLeaves(ctx context.Context) error {
	say("%s is taken out of service", outDataCentre)
	s.skew.pause()
	if err := s.d.SetOutOfService(ctx, outDataCentre, true); err != nil {
		return err
	}
	wait(ctx, outBound)
	s.skew.phase(string(outDataCentre)+" out", outDataCentre)
	first, err := s.d.DataCentreRequests(ctx, outDataCentre)
	if err != nil {
		return err
	}
	wait(ctx, outTime)
	last, err := s.d.DataCentreRequests(ctx, outDataCentre)
	if err != nil {
		return err
	}
	s.newWork = last - first
	say("%s is back in service; it took %d requests while it was out", outDataCentre, s.newWork)
	s.skew.phase(string(outDataCentre) + " back")
	return s.d.SetOutOfService(ctx, outDataCentre, false)
}

func (s *scenario) traffic(ctx context.Context) (map[fleet.InstanceID]deployment.Traffic, error) {
	out := map[fleet.InstanceID]deployment.Traffic{}
	for _, r := range s.d.Routers() {
		t, err := s.d.Traffic(ctx, r)
		if err != nil {
			return nil, err
		}
		out[r.ID] = t
	}
	return out, nil
}

func (s *scenario) progress(ctx context.Context) {
	for wait(ctx, progressTime); ctx.Err() == nil; wait(ctx, progressTime) {
		c, b := s.chats.Counts(), s.bookings.Counts()
		say("%d chat turns answered of %d, %d bookings of %d", c.Answered, c.Requests, b.Answered, b.Requests)
	}
}

// collect reads what the processes counted.
func (s *scenario) collect(ctx context.Context) (err error) {
	if s.after, err = s.traffic(ctx); err != nil {
		return err
	}
	if s.runs, err = s.d.BookingRuns(ctx); err != nil {
		return err
	}
	for _, e := range s.d.Endpoints {
		if e.Kind != fleet.Engine {
			continue
		}
		stats, err := s.d.EngineStats(ctx, e)
		if err != nil {
			return err
		}
		s.coldExcess = max(s.coldExcess, stats.ColdExcess)
	}
	s.platform, err = s.d.PlatformStats(ctx)
	return err
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
