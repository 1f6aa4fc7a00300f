package core_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
)

// TestAmplificationOverCores bounds the retry amplification, the attempts per request over
// the whole fleet, while a third of the endpoints fail every attempt.
func TestAmplificationOverCores(t *testing.T) {
	for _, tc := range []struct {
		name    string
		failure coretest.Failure
		fill    func(*core.CallerRequest)
	}{
		{"service, no connection", coretest.FailConnect, func(r *core.CallerRequest) { r.Service = coretest.GateService }},
		{"service, cut", coretest.FailAfterRun, func(r *core.CallerRequest) { r.Service = coretest.GateService }},
		{"engine, refused", coretest.FailRefuse, func(r *core.CallerRequest) { r.Model = coretest.ModelID(0) }},
		{"engine, cut", coretest.FailBeforeRun, func(r *core.CallerRequest) { r.Model = coretest.ModelID(0) }},
	} {
		w := coretest.New(11)
		w.Build(coretest.Shape{Regions: 1, DataCentres: 3, Instances: 9, Engines: 12, Models: 1, ServiceReplicas: 12, Workspaces: 4, Capacity: 200})
		attempts, failed := 0, 0
		for id, e := range w.Endpoints {
			bad := id[1:] <= "004"
			e.Serve = func(*coretest.Endpoint, core.Dispatch, bool) time.Duration { return 300 * time.Millisecond }
			e.Fail = func(_ *coretest.Endpoint, d core.Dispatch) coretest.Failure {
				if d.Resume {
					return coretest.FailNone
				}
				attempts++
				if bad {
					failed++
					return tc.failure
				}
				return coretest.FailNone
			}
		}
		w.Run(15 * time.Second)
		requests, answered := 0, 0
		for range 6000 {
			req := core.CallerRequest{
				APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(w.Rand().IntN(4))),
				Idempotent: true,
				Affinity:   w.Rand().Uint64(),
				Deadline:   w.Now().Add(10 * time.Second),
			}
			tc.fill(&req)
			requests++
			w.Request(w.Nodes[w.Rand().IntN(len(w.Nodes))], req, func(f core.Finish) {
				if f.Outcome == core.Answered {
					answered++
				}
			})
			w.Run(5 * time.Millisecond)
		}
		w.Run(20 * time.Second)
		perRequest := float64(attempts) / float64(requests)
		t.Logf("%s: %.4f attempts a request, %d of them failed, %d of %d answered", tc.name, perRequest, failed, answered, requests)
		if perRequest > 1.1 {
			t.Errorf("%s: %.4f attempts a request", tc.name, perRequest)
		}
		if failed*20 > attempts {
			t.Errorf("%s: %d of %d attempts went to endpoints that fail", tc.name, failed, attempts)
		}
		if failed == 0 || attempts == 0 {
			t.Errorf("%s: nothing failed", tc.name)
		}
	}
}
