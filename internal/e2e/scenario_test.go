package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionvane/dandelionvane/internal/deployment"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/loadtest"
	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

const (
	waitTimeout        = 60 * time.Second // limit of each wait for a condition
	callerTimeout      = 20 * time.Second // of one request
	defaultIdleTimeout = 3 * time.Second
	pollInterval       = 20 * time.Millisecond
	workspace          = "yard"
	bearerKey          = "key-of-yard"
)

// maxConcurrentScripts limits the scripts that run concurrently, because each starts many processes.
const maxConcurrentScripts = 3

var scriptSlots = make(chan struct{}, maxConcurrentScripts)

// scenario is the state of one script.
type scenario struct {
	deployment  *deployment.Deployment
	engineLinks []*link.Link  // in front of the engines
	idleTimeout time.Duration // of callers, for a response without progress
	chats       loadtest.Results
	bookings    loadtest.Results
	stopLoad    context.CancelFunc // stops the load
	loadDone    sync.WaitGroup
}

type scenarioKey struct{}

func setup(env *testscript.Env) error {
	env.Values[scenarioKey{}] = &scenario{stopLoad: func() {}, idleTimeout: defaultIdleTimeout}
	return nil
}

// spec returns a deployment of two data centres with three routers, two engines and one service replica each.
func spec() deployment.Spec {
	s := deployment.Spec{
		Region: "prairie", DataCentres: []fleet.DataCentreID{"dc1", "dc2"},
		Plans: []fleet.Plan{{
			ID: "all", Models: []fleet.ModelID{deployment.AssistantModel}, Services: []fleet.ServiceID{deployment.GateService},
		}},
		Workspaces: []deployment.WorkspaceSpec{{ID: workspace, Plan: "all", APIKey: bearerKey}},
	}
	for i := range 6 {
		id := fleet.InstanceID(fmt.Sprintf("router-%d", i+1))
		s.Routers = append(s.Routers, deployment.RouterSpec{ID: id, DataCentre: s.DataCentres[i%2]})
	}
	for i := range 4 {
		cfg := engine.DefaultConfig(fleet.EndpointID(fmt.Sprintf("engine-%d", i+1)))
		cfg.Model, cfg.TokenInterval = deployment.AssistantModel, 10*time.Millisecond
		s.Engines = append(s.Engines, deployment.EngineSpec{DataCentre: s.DataCentres[i%2], Config: cfg})
	}
	for i, dc := range s.DataCentres {
		cfg := service.Config{ID: fmt.Sprintf("gate-%d", i+1), Delay: 5 * time.Millisecond}
		s.Services = append(s.Services, deployment.ServiceSpec{DataCentre: dc, Service: deployment.GateService, Config: cfg})
	}
	return s
}

func (s *scenario) deploy(ts *testscript.TestScript) {
	scriptSlots <- struct{}{}
	ts.Defer(func() { <-scriptSlots })
	log, err := os.Create(ts.MkAbs("processes.log"))
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s.deployment, err = deployment.Start(ctx, spec(), deployment.Options{
		BinDir: binDir, Dir: ts.MkAbs("."), Log: log, EngineProxy: s.addEngineLink,
	})
	if err != nil {
		ts.Logf("%s", ts.ReadFile(filepath.Base(log.Name())))
	}
	ts.Check(err)
	ts.Defer(func() {
		s.stopLoad()
		s.deployment.Close()
		for _, l := range s.engineLinks {
			_ = l.Close()
		}
		s.loadDone.Wait()
		_ = log.Close()
	})
}

// addEngineLink starts a link in front of an engine and returns its address.
func (s *scenario) addEngineLink(addr string) (string, error) {
	l, err := link.Start("tcp", "127.0.0.1:0", addr)
	if err != nil {
		return "", err
	}
	s.engineLinks = append(s.engineLinks, l)
	return l.Addr(), nil
}

func (s *scenario) startLoad() {
	var addrs []string
	for _, r := range s.deployment.Routers() {
		addrs = append(addrs, r.CallerAddr)
	}
	c := &loadtest.Client{
		Balancer: loadtest.NewBalancer(addrs), HTTP: &http.Client{}, APIKey: bearerKey,
		RequestTimeout: callerTimeout, IdleTimeout: s.idleTimeout,
	}
	l := loadtest.Load{
		Clients:  []*loadtest.Client{c},
		Chats:    []loadtest.ChatLoad{{Model: string(deployment.AssistantModel), Concurrency: 24, TurnsPerChat: 5, MaxTokens: 60, MeanThinkTime: 20 * time.Millisecond}},
		Bookings: loadtest.BookingLoad{Path: "/services/" + string(deployment.GateService) + "/bookings", Concurrency: 4, MeanThinkTime: 50 * time.Millisecond},
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stopLoad = stop
	s.loadDone.Go(func() { c.Balancer.Run(ctx) })
	s.loadDone.Go(func() { l.Run(ctx, &s.chats, &s.bookings) })
}

// awaitAnswered waits until n more requests have been answered.
func (s *scenario) awaitAnswered(ts *testscript.TestScript, r *loadtest.Results, n int) {
	want := r.Counts().Answered + n
	for end := time.Now().Add(waitTimeout); r.Counts().Answered < want; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			ts.Fatalf("%d answered, want %d: %+v", r.Counts().Answered, want, r.Counts())
		}
	}
}

// requestsTaken returns the number of requests that the endpoints of a data centre have received.
func (s *scenario) requestsTaken(ts *testscript.TestScript, dc string) int {
	n, err := s.deployment.DataCentreRequests(context.Background(), fleet.DataCentreID(dc))
	ts.Check(err)
	return n
}

// requestsAnswered returns the number of requests that the present process of a router has answered.
func (s *scenario) requestsAnswered(ts *testscript.TestScript, id string) float64 {
	for _, r := range s.deployment.Routers() {
		if string(r.ID) == id {
			m, err := s.deployment.Metrics(context.Background(), r)
			ts.Check(err)
			return m["requests_answered"]
		}
	}
	ts.Fatalf("unknown router %q", id)
	return 0
}
