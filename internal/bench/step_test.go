package bench

import (
	"runtime"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	targetRouters            = 410
	targetRequestsInProgress = 200      // of one router
	maxRetainedBytes         = 32 << 20 // of one core and its test harness
)

// coreHarness drives one core of a fleet of the target size and simulates the messages of its peers.
type coreHarness struct {
	core    *core.Core
	now     time.Time
	w       *coretest.World
	self    fleet.Instance
	peer    fleet.Instance // a peer in the same data centre
	lastSeq uint64

	header wire.Header // of the messages of peers
}

// newCoreHarness starts the core of the n-th published instance of the target size.
func newCoreHarness(n int) *coreHarness {
	w := coretest.New(seed)
	w.Publish(scaledShape(targetRouters))
	in := w.Platform.Instances()
	s := &coreHarness{w: w, now: coretest.Epoch, self: in[n]}
	for _, x := range in {
		if x.DataCentre == s.self.DataCentre && x.ID != s.self.ID {
			s.peer = x
		}
	}
	s.core = core.New(s.now, core.DefaultOptions(s.self.ID, s.self.DataCentre, 1))
	for _, ev := range w.Platform.Events() {
		s.core.Step(s.now, ev)
	}
	r := s.core.Dump().Revisions
	s.header = wire.Header{Incarnation: 1, Config: r.Configuration, Instances: r.Instances, Endpoints: r.Endpoints}
	for range 20 * 20 { // 20 s, until the core considers its peers alive and votes granted before its start have expired
		s.tick()
	}
	return s
}

func (s *coreHarness) tick() {
	s.now = s.now.Add(50 * time.Millisecond)
	if s.now.Sub(coretest.Epoch)%time.Second == 0 {
		for _, in := range s.w.Platform.Instances() {
			if in.DataCentre == s.self.DataCentre && in.ID != s.self.ID {
				s.receive(in.ID, s.claim())
			}
		}
	}
	s.core.Step(s.now, core.Tick{})
}

func (s *coreHarness) claim() wire.Claim {
	s.lastSeq++
	return wire.Claim{Seq: s.lastSeq, TTLMS: 1000, Full: true, ListVersion: 1}
}

func (s *coreHarness) receive(from fleet.InstanceID, m wire.Message) []core.Action {
	return s.step(s.peerMessage(from, m))
}

func (s *coreHarness) peerMessage(from fleet.InstanceID, m wire.Message) core.Event {
	return core.PeerMessage{From: from, Frame: wire.Frame{Header: s.header, Message: m}}
}

func (s *coreHarness) step(ev core.Event) []core.Action { return s.core.Step(s.now, ev) }

func (s *coreHarness) request() core.CallerRequest {
	return core.CallerRequest{
		ID: s.w.NextID(), APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Model: coretest.ModelID(0),
		Idempotent: true, Affinity: s.w.Rand().Uint64(), MaxTokens: 100,
	}
}

// firstLeaseRequest returns the first lease request among actions, and its receiver.
func firstLeaseRequest(acts []core.Action) (fleet.InstanceID, wire.LeaseRequest, bool) {
	for _, a := range acts {
		if x, ok := a.(core.Send); ok {
			if m, ok := x.Frame.Message.(wire.LeaseRequest); ok {
				return x.To, m, true
			}
		}
	}
	return "", wire.LeaseRequest{}, false
}

// ownedEndpoint returns an endpoint that the core owns, or "".
func (s *coreHarness) ownedEndpoint() fleet.EndpointID {
	for _, e := range s.core.Dump().Endpoints {
		return e.ID
	}
	return ""
}

// BenchmarkStep measures the time and the allocations of a core per kind of event at the target size.
func BenchmarkStep(b *testing.B) {
	s := newCoreHarness(0)
	for n := 1; s.ownedEndpoint() == ""; n++ {
		s = newCoreHarness(n)
	}
	ownedID := s.ownedEndpoint()
	loadGossip := wire.LoadGossip{Reply: true}
	for _, e := range s.w.Platform.Endpoints() {
		if e.Model == coretest.ModelID(0) && len(loadGossip.Loads) < 24 {
			loadGossip.Loads = append(loadGossip.Loads, wire.EndpointLoad{ID: fleet.Hash(string(e.ID)), Load: 3, Limit: 9})
		}
	}
	message := func(m wire.Message) core.Event { return s.peerMessage(s.peer.ID, m) }
	events := []struct {
		name string
		next func() core.Event
	}{
		{"tick", func() core.Event { s.now = s.now.Add(50 * time.Millisecond); return core.Tick{} }},
		{"claim", func() core.Event { return message(s.claim()) }},
		{"claim ack", func() core.Event { s.lastSeq++; return message(wire.ClaimAck{Seq: s.lastSeq}) }},
		{"digest", func() core.Event {
			s.lastSeq++
			for i := range loadGossip.Loads {
				loadGossip.Loads[i].Version = s.lastSeq
			}
			return message(loadGossip)
		}},
		{"lease request", func() core.Event {
			s.lastSeq++
			return message(wire.LeaseRequest{ID: s.lastSeq, Endpoint: ownedID, DeadlineMS: 1})
		}},
		{"lease update", func() core.Event { s.lastSeq++; return message(wire.LeaseUpdate{Released: []uint64{s.lastSeq}}) }},
		{"report", func() core.Event {
			return core.EndpointReport{Report: fleet.LoadReport{Endpoint: ownedID, Incarnation: 1, Running: 3, Capacity: 128}}
		}},
	}
	for _, e := range events {
		b.Run(e.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.step(e.next())
			}
		})
	}
	b.Run("request to answer", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.serveRequest(b)
		}
	})
}

// serveRequest steps the core through one request that needs a lease of another router: request, lease reply, start and
// end of the attempt.
func (s *coreHarness) serveRequest(b testing.TB) {
	req := s.request()
	owner, lease, ok := firstLeaseRequest(s.step(req))
	for !ok {
		req = s.request() // the core owned the endpoint itself and sent no lease request
		owner, lease, ok = firstLeaseRequest(s.step(req))
	}
	s.receive(owner, wire.LeaseReply{ID: lease.ID, Result: wire.LeaseGranted, TTLMS: 2000, Incarnation: 1})
	s.step(core.AttemptStarted{ID: req.ID, Attempt: 1, Incarnation: 1})
	for _, a := range s.step(core.AttemptDone{ID: req.ID, Attempt: 1, Status: 200, Tokens: 100}) {
		if f, ok := a.(core.Finish); ok && f.Outcome == core.Answered {
			return
		}
	}
	b.Fatal("the request was not answered")
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRetained reports the heap size of one core, including its test harness, at the target size.
func BenchmarkRetained(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(retainedBytes()), "B")
	}
	b.ReportMetric(0, "ns/op")
}

// retainedBytes returns the heap size of a core with the published lists and requests in progress. It includes the test
// harness with the simulated platform.
func retainedBytes() uint64 {
	before := heapBytes()
	s := newCoreHarness(0)
	for range targetRequestsInProgress {
		if owner, lease, ok := firstLeaseRequest(s.step(s.request())); ok {
			s.receive(owner, wire.LeaseReply{ID: lease.ID, Result: wire.LeaseGranted, TTLMS: 2000, Incarnation: 1})
		}
	}
	after := heapBytes()
	if got := s.core.Dump().Requests; got < targetRequestsInProgress {
		panic("requests were refused")
	}
	runtime.KeepAlive(s)
	return after - before
}

func TestRetainedMemory(t *testing.T) {
	got := retainedBytes()
	t.Logf("%d bytes", got)
	if got > maxRetainedBytes {
		t.Errorf("a core retains %d bytes", got)
	}
}
