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
	targetRouters    = 410
	targetInProgress = 200      // requests of one router
	maxRetained      = 32 << 20 // bytes of one core
)

// solo is one core at the target's size, with peers that are played by hand.
type solo struct {
	core *core.Core
	now  time.Time
	w    *coretest.World
	self fleet.Instance
	peer fleet.Instance // of the same data centre
	seq  uint64

	header wire.Header // of the peers' messages
}

// newSolo starts the core of the n-th instance among the published lists of the target.
func newSolo(n int) *solo {
	w := coretest.New(seed)
	w.Publish(scaled(targetRouters))
	in := w.Platform.Instances()
	s := &solo{w: w, now: coretest.Epoch, self: in[n]}
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
	for range 20 * 20 { // the peers are heard, and the promises of earlier runs have ended
		s.tick()
	}
	return s
}

func (s *solo) tick() {
	s.now = s.now.Add(50 * time.Millisecond)
	if s.now.Sub(coretest.Epoch)%time.Second == 0 {
		for _, in := range s.w.Platform.Instances() {
			if in.DataCentre == s.self.DataCentre && in.ID != s.self.ID {
				s.hear(in.ID, s.claim())
			}
		}
	}
	s.core.Step(s.now, core.Tick{})
}

func (s *solo) claim() wire.Claim {
	s.seq++
	return wire.Claim{Seq: s.seq, TTLMS: 1000, Full: true, ListVersion: 1}
}

func (s *solo) hear(from fleet.InstanceID, m wire.Message) []core.Action {
	return s.step(s.message(from, m))
}

func (s *solo) message(from fleet.InstanceID, m wire.Message) core.Event {
	return core.PeerMessage{From: from, Frame: wire.Frame{Header: s.header, Message: m}}
}

func (s *solo) step(ev core.Event) []core.Action { return s.core.Step(s.now, ev) }

func (s *solo) request() core.CallerRequest {
	return core.CallerRequest{
		ID: s.w.NextID(), APIKeyHash: coretest.Key(coretest.Workspace(0)), Model: coretest.Model(0),
		Idempotent: true, Affinity: s.w.Rand().Uint64(), MaxTokens: 100,
	}
}

// sent returns the first lease request among actions with its receiver.
func sent(acts []core.Action) (fleet.InstanceID, wire.LeaseRequest, bool) {
	for _, a := range acts {
		if x, ok := a.(core.Send); ok {
			if m, ok := x.Frame.Message.(wire.LeaseRequest); ok {
				return x.To, m, true
			}
		}
	}
	return "", wire.LeaseRequest{}, false
}

// owned returns an endpoint that the core owns.
func (s *solo) owned() fleet.EndpointID {
	for _, e := range s.core.Dump().Endpoints {
		return e.ID
	}
	return ""
}

// BenchmarkStep reports what a core spends on each kind of event at the target's size.
func BenchmarkStep(b *testing.B) {
	s := newSolo(0)
	for n := 1; s.owned() == ""; n++ {
		s = newSolo(n)
	}
	own := s.owned()
	digest := wire.Digest{Reply: true}
	for _, e := range s.w.Platform.Endpoints() {
		if e.Model == coretest.Model(0) && len(digest.Loads) < 24 {
			digest.Loads = append(digest.Loads, wire.EndpointLoad{ID: fleet.Hash(string(e.ID)), Load: 3, Limit: 9})
		}
	}
	message := func(m wire.Message) core.Event { return s.message(s.peer.ID, m) }
	events := []struct {
		name string
		next func() core.Event
	}{
		{"tick", func() core.Event { s.now = s.now.Add(50 * time.Millisecond); return core.Tick{} }},
		{"claim", func() core.Event { return message(s.claim()) }},
		{"claim ack", func() core.Event { s.seq++; return message(wire.ClaimAck{Seq: s.seq}) }},
		{"digest", func() core.Event {
			s.seq++
			for i := range digest.Loads {
				digest.Loads[i].Version = s.seq
			}
			return message(digest)
		}},
		{"lease request", func() core.Event {
			s.seq++
			return message(wire.LeaseRequest{ID: s.seq, Endpoint: own, DeadlineMS: 1})
		}},
		{"lease update", func() core.Event { s.seq++; return message(wire.LeaseUpdate{Released: []uint64{s.seq}}) }},
		{"report", func() core.Event {
			return core.EndpointReport{Report: fleet.LoadReport{Endpoint: own, Incarnation: 1, Running: 3, Capacity: 128}}
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
			s.serve(b)
		}
	})
}

// serve takes a request from the caller to its answer: request, lease reply, start and end.
func (s *solo) serve(b testing.TB) {
	req := s.request()
	owner, ask, ok := sent(s.step(req))
	for !ok {
		req = s.request() // the endpoint of the first was owned by this core
		owner, ask, ok = sent(s.step(req))
	}
	s.hear(owner, wire.LeaseReply{ID: ask.ID, Result: wire.LeaseGranted, TTLMS: 2000, Incarnation: 1})
	s.step(core.AttemptStarted{ID: req.ID, Attempt: 1, Incarnation: 1})
	for _, a := range s.step(core.AttemptDone{ID: req.ID, Attempt: 1, Status: 200, Tokens: 100}) {
		if f, ok := a.(core.Finish); ok && f.Outcome == core.Answered {
			return
		}
	}
	b.Fatal("the request was not answered")
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRetained reports the memory that one core holds at the target's size.
func BenchmarkRetained(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(retained()), "B")
	}
	b.ReportMetric(0, "ns/op")
}

// retained returns the memory of a core with its lists and requests in progress.
func retained() uint64 {
	before := heap()
	s := newSolo(0)
	for range targetInProgress {
		if owner, ask, ok := sent(s.step(s.request())); ok {
			s.hear(owner, wire.LeaseReply{ID: ask.ID, Result: wire.LeaseGranted, TTLMS: 2000, Incarnation: 1})
		}
	}
	after := heap()
	if got := s.core.Dump().Requests; got < targetInProgress {
		panic("requests were refused")
	}
	runtime.KeepAlive(s)
	return after - before
}

func TestRetainedMemory(t *testing.T) {
	got := retained()
	t.Logf("%d bytes", got)
	if got > maxRetained {
		t.Errorf("a core holds %d bytes", got)
	}
}
