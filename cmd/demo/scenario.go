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
	steadyDuration       = 10 * time.Second
	outOfServiceBound    = 5 * time.Second // after which a data centre taken out of service receives no new requests
	outOfServiceDuration = 8 * time.Second // measured after outOfServiceBound
	returnDuration       = 8 * time.Second
	routerDownDuration   = 5 * time.Second // between the kill and the restart of the router
	recoveryDuration     = 8 * time.Second
	requestTimeout       = 20 * time.Second // of one request including its retries
	idleTimeout          = 5 * time.Second  // of a response, before it is retried or resumed through another router
	progressInterval     = 5 * time.Second

	outOfServiceDataCentre fleet.DataCentreID = "dc2"
	killedRouter           fleet.InstanceID   = "router-1"
)

// scenario is a run of the demo and its results.
type scenario struct {
	d        *deployment.Deployment
	chats    loadtest.Results
	bookings loadtest.Results
	skew     *skewSampler

	lateRequests  int // accepted by the data centre while out of service, after outOfServiceBound
	trafficBefore map[fleet.InstanceID]deployment.Traffic
	trafficAfter  map[fleet.InstanceID]deployment.Traffic
	runs          map[string]int // by booking, summed over all replicas
	coldExcess    int            // maximum number of requests on a cold engine above its current capacity
	platform      platform.Stats
}

func newScenario(d *deployment.Deployment) *scenario {
	return &scenario{d: d, skew: newSkewSampler(d)}
}

// run sends the traffic, performs the operations meanwhile and collects the results.
func (s *scenario) run(ctx context.Context) (err error) {
	if s.trafficBefore, err = s.traffic(ctx); err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(ctx)
	sending, stopSending := context.WithCancel(ctx)
	load := s.load()
	var wg, senders sync.WaitGroup
	wg.Go(func() { load.Clients[0].Balancer.Run(background) })
	wg.Go(func() { s.skew.run(background) })
	wg.Go(func() { s.reportProgress(background) })
	senders.Go(func() { load.Run(sending, &s.chats, &s.bookings) })

	err = s.runOperations(ctx)
	stopSending()
	logProgress("sending stopped; waiting for requests in progress")
	senders.Wait()
	stopBackground()
	wg.Wait()
	load.Clients[0].HTTP.CloseIdleConnections()
	if err != nil {
		return err
	}
	return s.collectStats(ctx)
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
		Bookings: loadtest.BookingLoad{Path: "/services/" + string(deployment.GateService) + "/bookings", Concurrency: 8, MeanThinkTime: 200 * time.Millisecond},
	}
	for _, w := range s.d.Spec.Workspaces {
		if w.Plan == deployment.AllModelsPlan {
			l.Clients = append(l.Clients, &loadtest.Client{Balancer: balancer, HTTP: client, APIKey: w.APIKey, RequestTimeout: requestTimeout, IdleTimeout: idleTimeout})
		}
	}
	return l
}

// runOperations takes a data centre out of service and back, then kills and restarts a router.
func (s *scenario) runOperations(ctx context.Context) error {
	logProgress("sending chats and bookings")
	s.skew.beginPhase("steady")
	wait(ctx, steadyDuration)
	if err := s.cycleDataCentre(ctx); err != nil {
		return err
	}
	wait(ctx, returnDuration)
	s.skew.beginPhase("router killed")
	logProgress("killing %s", killedRouter)
	s.d.KillRouter(killedRouter)
	wait(ctx, routerDownDuration)
	logProgress("restarting %s", killedRouter)
	if err := s.d.StartRouter(killedRouter); err != nil {
		return err
	}
	if err := s.d.WaitRouterReady(ctx, killedRouter); err != nil {
		return err
	}
	logProgress("%s is ready", killedRouter)
	wait(ctx, recoveryDuration)
	s.skew.endPhase()
	return errors.Wrap(ctx.Err(), "interrupted")
}

func (s *scenario) cycleDataCentre(ctx context.Context) error {
	logProgress("taking %s out of service", outOfServiceDataCentre)
	s.skew.endPhase()
	if err := s.d.SetOutOfService(ctx, outOfServiceDataCentre, true); err != nil {
		return err
	}
	wait(ctx, outOfServiceBound)
	s.skew.beginPhase(string(outOfServiceDataCentre)+" out of service", outOfServiceDataCentre)
	first, err := s.d.DataCentreRequests(ctx, outOfServiceDataCentre)
	if err != nil {
		return err
	}
	wait(ctx, outOfServiceDuration)
	last, err := s.d.DataCentreRequests(ctx, outOfServiceDataCentre)
	if err != nil {
		return err
	}
	s.lateRequests = last - first
	logProgress("returning %s to service; it accepted %d requests while out of service", outOfServiceDataCentre, s.lateRequests)
	s.skew.beginPhase(string(outOfServiceDataCentre) + " back in service")
	return s.d.SetOutOfService(ctx, outOfServiceDataCentre, false)
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

func (s *scenario) reportProgress(ctx context.Context) {
	for wait(ctx, progressInterval); ctx.Err() == nil; wait(ctx, progressInterval) {
		c, b := s.chats.Counts(), s.bookings.Counts()
		logProgress("answered %d of %d chat turns, %d of %d bookings", c.Answered, c.Requests, b.Answered, b.Requests)
	}
}

// collectStats reads the statistics of all processes.
func (s *scenario) collectStats(ctx context.Context) (err error) {
	if s.trafficAfter, err = s.traffic(ctx); err != nil {
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
