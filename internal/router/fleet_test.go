package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/deployment"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/settings"
	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/internal/standin/platform"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

const (
	callerKey    = "yard"
	readyTimeout = 20 * time.Second
	pollInterval = 10 * time.Millisecond

	progressTimeout = 500 * time.Millisecond
)

// testFleet runs routers in this process, with stand-ins for the platform, the engines and a service.
type testFleet struct {
	t        *testing.T
	platform *platform.Platform
	engines  []*engine.Engine
	links    []*link.Link // to the engines
	booking  *service.Service
	routers  []*testRouter
	client   *http.Client
}

type testRouter struct {
	settings *settings.Settings
	stop     context.CancelFunc
	done     chan error
}

func newTestFleet(t *testing.T, routers, engines int) *testFleet {
	f := &testFleet{t: t, client: &http.Client{Transport: &http.Transport{}}}
	f.startStandins(engines)
	dir := t.TempDir()
	ca, err := keys.NewCA()
	f.check(err)
	f.check(ca.WriteFiles(dir))
	var list platform.InstancesValue
	for i := range routers {
		r := f.newRouter(ca, dir, i)
		f.routers = append(f.routers, r)
		list.Instances = append(list.Instances, fleet.Instance{
			ID: fleet.InstanceID(r.settings.Instance.ID), DataCentre: "a", PeerAddr: r.settings.Listen.Peers,
		})
	}
	_, err = f.platform.Publish(platform.Instances, "", list)
	f.check(err)
	for _, r := range f.routers {
		f.start(r)
	}
	t.Cleanup(f.close)
	for _, r := range f.routers {
		f.waitReady(r)
	}
	return f
}

func (f *testFleet) check(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) startStandins(engines int) {
	var err error
	f.platform, err = platform.Start("127.0.0.1:0")
	f.check(err)
	f.booking, err = service.Start("127.0.0.1:0", service.Config{ID: "booking"})
	f.check(err)
	list := platform.EndpointsValue{Endpoints: []fleet.Endpoint{{
		ID: "booking", DataCentre: "a", Addr: f.booking.Addr(), Kind: fleet.Service, Service: "gates", Capacity: 8,
	}}}
	for i := range engines {
		id := fleet.EndpointID(fmt.Sprintf("engine-%d", i))
		e, err := engine.Start("127.0.0.1:0", engine.DefaultConfig(id))
		f.check(err)
		f.engines = append(f.engines, e)
		engineLink, err := link.Start("tcp", "127.0.0.1:0", e.Addr())
		f.check(err)
		f.links = append(f.links, engineLink)
		list.Endpoints = append(list.Endpoints, fleet.Endpoint{
			ID: id, DataCentre: "a", Addr: engineLink.Addr(), Kind: fleet.Engine, Model: "m", Capacity: 16,
		})
	}
	_, err = f.platform.Publish(platform.Endpoints, "", list)
	f.check(err)
	sum := sha256.Sum256([]byte(callerKey))
	_, err = f.platform.Publish(platform.Configuration, "", platform.ConfigurationValue{
		Plans:        fmt.Sprintf("[[workspace]]\nid = 'yard'\nplan = 'basic'\nkeys = ['sha256:%s']\n", hex.EncodeToString(sum[:])),
		Entitlements: "[[plan]]\nid = 'basic'\nmodels = ['m']\nservices = ['gates']\npriority = 1\n",
		State:        "[[data_centre]]\nid = 'a'\nregion = 'r'\n",
	})
	f.check(err)
}

func (f *testFleet) newRouter(ca *keys.CA, dir string, i int) *testRouter {
	id := fmt.Sprintf("a-%d", i)
	pair, err := ca.Issue(id)
	f.check(err)
	f.check(pair.WriteFiles(dir))
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, DataCentre: "a"}
	s.Listen.Callers = f.freeAddr()
	s.Listen.Peers = f.freeAddr()
	s.Listen.Operator = f.freeAddr()
	s.Requests.ProgressTimeout = progressTimeout
	s.Platform.URL = "http://" + f.platform.Addr()
	s.TLS.CA = filepath.Join(dir, keys.CACertFile)
	s.TLS.Certificate = filepath.Join(dir, id+".pem")
	s.TLS.Key = filepath.Join(dir, id+"-key.pem")
	return &testRouter{settings: s}
}

func (f *testFleet) freeAddr() string {
	addrs, err := deployment.FreeAddrs(1)
	f.check(err)
	return addrs[0]
}

func (f *testFleet) start(r *testRouter) {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.done = make(chan error, 1)
	go func() { r.done <- Run(ctx, r.settings) }()
}

func (f *testFleet) waitReady(r *testRouter) {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		resp, err := f.client.Get("http://" + r.settings.Listen.Operator + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		select {
		case err := <-r.done:
			f.t.Fatalf("router %s ended: %v", r.settings.Instance.ID, err)
		case <-time.After(pollInterval):
		}
	}
	f.t.Fatalf("router %s is not ready", r.settings.Instance.ID)
}

func (f *testFleet) close() {
	for _, r := range f.routers {
		r.stop()
	}
	for _, r := range f.routers {
		if err := <-r.done; err != nil {
			f.t.Errorf("router %s: %v", r.settings.Instance.ID, err)
		}
	}
	f.client.CloseIdleConnections()
	for i, e := range f.engines {
		_ = f.links[i].Close()
		_ = e.Close()
	}
	_ = f.booking.Close()
	_ = f.platform.Close()
}

// call sends a caller's request to router i. It retries while the response has the outcome
// not_run and a Retry-After header.
func (f *testFleet) call(i int, method, path, body string, header http.Header) (int, http.Header, string) {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for {
		status, h, b := f.callOnce(i, method, path, body, header)
		if !strings.Contains(b, `"outcome":"not_run"`) || h.Get("Retry-After") == "" || time.Now().After(deadline) {
			return status, h, b
		}
		time.Sleep(pollInterval)
	}
}

func (f *testFleet) callOnce(i int, method, path, body string, header http.Header) (int, http.Header, string) {
	f.t.Helper()
	rq, err := http.NewRequest(method, "http://"+f.routers[i].settings.Listen.Callers+path, strings.NewReader(body))
	f.check(err)
	rq.Header.Set("Authorization", "Bearer "+callerKey)
	for name, values := range header {
		rq.Header[name] = values
	}
	resp, err := f.client.Do(rq)
	f.check(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	f.check(err)
	return resp.StatusCode, resp.Header, string(b)
}

func (f *testFleet) getFromOperator(i int, path string) (int, string) {
	f.t.Helper()
	resp, err := f.client.Get("http://" + f.routers[i].settings.Listen.Operator + path)
	f.check(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	f.check(err)
	return resp.StatusCode, string(b)
}
