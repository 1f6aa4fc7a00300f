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
	waitLimit   = 60 * time.Second // of one wait for a condition
	patience    = 20 * time.Second // of a caller with one request
	defaultIdle = 3 * time.Second
	pollPeriod  = 20 * time.Millisecond
	workspace   = "yard"
	bearerKey   = "key-of-yard"
)

// maxDeployments bounds how many scripts run at a time, because each starts many processes.
const maxDeployments = 3

var deployments = make(chan struct{}, maxDeployments)

// scenario is the state of one script.
type scenario struct {
	d        *deployment.Deployment
	links    []*link.Link  // between routers and engines
	idle     time.Duration // how long callers let an answer stand still
	chats    loadtest.Results
	bookings loadtest.Results
	stop     context.CancelFunc // of the sending
	sent     sync.WaitGroup
}

type scenarioKey struct{}

func setup(env *testscript.Env) error {
	env.Values[scenarioKey{}] = &scenario{stop: func() {}, idle: defaultIdle}
	return nil
}

// spec is two data centres with three routers, two engines and a service replica each.
func spec() deployment.Spec {
	s := deployment.Spec{
		Region: "prairie", DataCentres: []fleet.DataCentreID{"dc1", "dc2"},
		Plans: []fleet.Plan{{
			ID: "all", Models: []fleet.ModelID{deployment.AssistantModel}, Services: []fleet.ServiceID{deployment.GateService},
		}},
		Workspaces: []deployment.WorkspaceSpec{{ID: workspace, Plan: "all", Key: bearerKey}},
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
	deployments <- struct{}{}
	ts.Defer(func() { <-deployments })
	log, err := os.Create(ts.MkAbs("processes.log"))
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	s.d, err = deployment.Start(ctx, spec(), deployment.Options{
		BinDir: binDir, Dir: ts.MkAbs("."), Log: log, Relay: s.relay,
	})
	if err != nil {
		ts.Logf("%s", ts.ReadFile(filepath.Base(log.Name())))
	}
	ts.Check(err)
	ts.Defer(func() {
		s.stop()
		s.d.Close()
		for _, l := range s.links {
			_ = l.Close()
		}
		s.sent.Wait()
		_ = log.Close()
	})
}

// relay puts a link before an engine.
func (s *scenario) relay(addr string) (string, error) {
	l, err := link.Start("tcp", "127.0.0.1:0", addr)
	if err != nil {
		return "", err
	}
	s.links = append(s.links, l)
	return l.Addr(), nil
}

func (s *scenario) load() {
	var addrs []string
	for _, r := range s.d.Routers() {
		addrs = append(addrs, r.CallerAddr)
	}
	c := &loadtest.Client{
		Balancer: loadtest.NewBalancer(addrs), HTTP: &http.Client{}, Key: bearerKey,
		RequestTimeout: patience, IdleTimeout: s.idle,
	}
	l := loadtest.Load{
		Clients:  []*loadtest.Client{c},
		Chats:    []loadtest.ChatLoad{{Model: string(deployment.AssistantModel), Concurrency: 24, TurnsPerChat: 5, MaxTokens: 60, MeanThinkTime: 20 * time.Millisecond}},
		Bookings: loadtest.BookingLoad{Path: "/services/" + string(deployment.GateService) + "/bookings", Callers: 4, MeanThinkTime: 50 * time.Millisecond},
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.sent.Go(func() { c.Balancer.Run(ctx) })
	s.sent.Go(func() { l.Run(ctx, &s.chats, &s.bookings) })
}

// await waits until n more requests were answered.
func (s *scenario) await(ts *testscript.TestScript, r *loadtest.Results, n int) {
	want := r.Counts().Answered + n
	for end := time.Now().Add(waitLimit); r.Counts().Answered < want; time.Sleep(pollPeriod) {
		if time.Now().After(end) {
			ts.Fatalf("%d answered, not %d: %+v", r.Counts().Answered, want, r.Counts())
		}
	}
}

// work returns how many requests the endpoints of a data centre have taken.
func (s *scenario) work(ts *testscript.TestScript, dc string) int {
	n, err := s.d.DataCentreRequests(context.Background(), fleet.DataCentreID(dc))
	ts.Check(err)
	return n
}

// answered returns how many requests a router has answered since its start.
func (s *scenario) answered(ts *testscript.TestScript, id string) float64 {
	for _, r := range s.d.Routers() {
		if string(r.ID) == id {
			m, err := s.d.Metrics(context.Background(), r)
			ts.Check(err)
			return m["requests_answered"]
		}
	}
	ts.Fatalf("no router %q", id)
	return 0
}
