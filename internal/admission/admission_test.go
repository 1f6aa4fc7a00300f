package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/pool"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	testDC   fleet.DataCentreID = "dc"
	self     fleet.InstanceID   = "i0"
	holder   fleet.InstanceID   = "i1"
	capacity                    = 8
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type allUsable struct{}

func (allUsable) Usable(fleet.InstanceID) bool { return true }

// testRouter is the admission state of the only router of a data centre, which owns all endpoints.
type testRouter struct {
	*State
	now  time.Time
	own  *ownership.State
	pool *pool.State
	out  wire.Outbox
}

func newTestRouter(endpoints, maxQueue int) *testRouter {
	var es []fleet.Endpoint
	for i := range endpoints {
		id := fleet.EndpointID(fmt.Sprintf("e%d", i))
		es = append(es, fleet.Endpoint{ID: id, DataCentre: testDC, Kind: fleet.Engine, Model: "m", Capacity: capacity})
	}
	v := fleet.NewView(
		&fleet.Configuration{DataCentres: map[fleet.DataCentreID]fleet.DataCentre{testDC: {ID: testDC, Region: "r"}}},
		&fleet.InstanceList{Instances: []fleet.Instance{{ID: self, DataCentre: testDC}}},
		&fleet.EndpointList{Endpoints: es})
	r := &testRouter{now: epoch, own: ownership.New(epoch, self, testDC, 1), pool: pool.New(self, rand.New(rand.NewPCG(1, 1)))}
	opts := Options{Multiple: 1.5, Ramp: 30 * time.Second, RampStart: 1, MaxQueue: maxQueue}
	r.State = New(opts, r.own, r.pool)
	r.pool.SetView(v)
	r.now = r.now.Add(10 * time.Second) // votes of earlier incarnations have expired
	r.own.Update(r.now, v, allUsable{})
	r.own.Tick(r.now, nil, nil, &r.out)
	r.Update(r.now, v, &r.out)
	return r
}

// advance advances the clock in steps and renews the votes in each of them.
func (r *testRouter) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(min(100*time.Millisecond, end.Sub(r.now)))
		r.own.Tick(r.now, nil, nil, &r.out)
		r.Tick(r.now, &r.out)
	}
}

// reportWarm reports an endpoint as idle and at its full capacity.
func (r *testRouter) reportWarm(id fleet.EndpointID) { r.report(id, 0, capacity, 1, 0) }

func (r *testRouter) report(id fleet.EndpointID, running, limit int, inc fleet.Incarnation, age time.Duration) {
	rep := fleet.LoadReport{Endpoint: id, Incarnation: inc, Running: running, Capacity: limit, Age: age}
	r.OnReport(r.now, rep, &r.out)
}

// requestLease sends a lease request and returns the replies that follow, by ID.
func (r *testRouter) requestLease(req wire.LeaseRequest) map[uint64]wire.LeaseReply {
	r.out.Reset()
	if req.DeadlineMS == 0 {
		req.DeadlineMS = 60_000
	}
	r.OnRequest(r.now, holder, 1, req, &r.out)
	return r.replies()
}

func (r *testRouter) release(ids ...uint64) map[uint64]wire.LeaseReply {
	r.out.Reset()
	r.OnUpdate(r.now, holder, 1, wire.LeaseUpdate{Released: ids}, &r.out)
	return r.replies()
}

func (r *testRouter) replies() map[uint64]wire.LeaseReply {
	got := map[uint64]wire.LeaseReply{}
	for _, o := range r.out.Messages {
		if m, ok := o.Message.(wire.LeaseReply); ok {
			got[m.ID] = m
		}
	}
	return got
}

// fill requests leases with IDs from first on until one is refused, and returns how many were granted.
func (r *testRouter) fill(id fleet.EndpointID, first uint64) int {
	for n := 0; ; n++ {
		if r.requestLease(wire.LeaseRequest{ID: first + uint64(n), Endpoint: id})[first+uint64(n)].Result != wire.LeaseGranted {
			return n
		}
	}
}

func (r *testRouter) counted(id fleet.EndpointID) (leases, foreign int) {
	leases, foreign, _, _ = r.Load(id)
	return leases, foreign
}

func TestQueueGoesByPriorityThenDeadlineThenArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(1, 32)
		r.reportWarm("e0")
		n := r.fill("e0", 1)
		var want []wire.LeaseRequest
		for i := range rapid.IntRange(2, 12).Draw(t, "waiting") {
			req := wire.LeaseRequest{
				ID: uint64(100 + i), Endpoint: "e0", WaitMS: 5000,
				Priority:   fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
				DeadlineMS: uint32(rapid.IntRange(1, 3).Draw(t, "deadline")) * 10_000,
			}
			if got := r.requestLease(req)[req.ID].Result; got != wire.LeaseQueued {
				t.Fatalf("result %d, want queued", got)
			}
			want = append(want, req)
		}
		sort.SliceStable(want, func(i, j int) bool {
			if want[i].Priority != want[j].Priority {
				return want[i].Priority > want[j].Priority
			}
			return want[i].DeadlineMS < want[j].DeadlineMS
		})
		held := uint64(1)
		for i, w := range want {
			got := r.release(held)
			if len(got) != 1 || got[w.ID].Result != wire.LeaseGranted {
				t.Fatalf("release %d of %d leases: replies %v, want a grant of %d", i, n, got, w.ID)
			}
			held = w.ID
		}
	})
}

func TestFullQueueRefusesItsLastEntry(t *testing.T) {
	r := newTestRouter(1, 2)
	r.reportWarm("e0")
	r.fill("e0", 1)
	r.requestLease(wire.LeaseRequest{ID: 101, Endpoint: "e0", WaitMS: 1000, Priority: 1})
	r.requestLease(wire.LeaseRequest{ID: 102, Endpoint: "e0", WaitMS: 1000, Priority: 1})
	got := r.requestLease(wire.LeaseRequest{ID: 103, Endpoint: "e0", WaitMS: 1000, Priority: 2})
	if got[103].Result != wire.LeaseQueued || got[102].Result != wire.LeaseAtLimit || got[102].RetryAfterMS == 0 {
		t.Errorf("replies %v, want 103 queued and 102 refused with a retry-after time", got)
	}
	got = r.requestLease(wire.LeaseRequest{ID: 104, Endpoint: "e0", WaitMS: 1000})
	if got[104].Result != wire.LeaseAtLimit {
		t.Errorf("replies %v, want 104 refused immediately", got)
	}
}

func TestQueuedRequestExpires(t *testing.T) {
	r := newTestRouter(1, 8)
	r.reportWarm("e0")
	r.fill("e0", 1)
	r.requestLease(wire.LeaseRequest{ID: 101, Endpoint: "e0", WaitMS: 1000})
	r.out.Reset()
	r.advance(900 * time.Millisecond)
	if got := r.replies(); len(got) > 0 {
		t.Fatalf("replies %v before the wait is over", got)
	}
	r.advance(200 * time.Millisecond)
	if got := r.replies()[101]; got.Result != wire.LeaseExpired || got.RetryAfterMS == 0 {
		t.Errorf("reply %v, want expired with a retry-after time", got)
	}
}

// TestBoundedLoad compares admission at one endpoint with the load bound, for random loads of
// the other endpoints.
func TestBoundedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "endpoints")
		r := newTestRouter(n, 0)
		total := 0
		for i := range n {
			id := fleet.EndpointID(fmt.Sprintf("e%d", i))
			r.reportWarm(id)
			if i > 0 {
				load := rapid.IntRange(0, capacity).Draw(t, "load")
				r.report(id, load, capacity, 1, 0)
				r.report(id, load, capacity, 1, 0)
				total += load
			}
		}
		want := 0
		for want < capacity && want+1 <= max(1, int(math.Ceil(1.3*float64(total+want)/float64(n)))) {
			want++
		}
		if got := r.fill("e0", 1); got != want {
			t.Fatalf("%d leases with a load of %d on %d other endpoints, want %d", got, total, n-1, want)
		}
	})
}

func TestForeignLoadFromLateReports(t *testing.T) {
	const lag = time.Second
	r := newTestRouter(1, 0)
	r.advance(2 * lag)
	r.report("e0", 5, capacity, 1, lag)
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Fatalf("foreign load %d, want the 5 requests of an earlier owner", foreign)
	}
	if got := r.fill("e0", 1); got != capacity-5 {
		t.Fatalf("%d leases in addition to 5 foreign requests", got)
	}
	r.advance(100 * time.Millisecond)
	r.report("e0", 5, capacity, 1, 200*time.Millisecond)
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Fatalf("foreign load %d after a report from before the leases were granted, want 5", foreign)
	}
	for range 4 { // the owner's leases do not count as foreign load
		r.advance(lag)
		r.report("e0", capacity, capacity, 1, lag)
	}
	if leases, foreign := r.counted("e0"); leases+foreign != capacity {
		t.Fatalf("%d leases and %d foreign, want a total of %d", leases, foreign, capacity)
	}
	for range 4 { // the foreign requests have ended
		r.advance(lag)
		r.report("e0", capacity-5, capacity, 1, lag)
	}
	if _, foreign := r.counted("e0"); foreign != 0 {
		t.Errorf("foreign load %d after it ended", foreign)
	}
}

func TestReportsOfAPauseDoNotCount(t *testing.T) {
	r := newTestRouter(1, 0)
	r.reportWarm("e0")
	r.fill("e0", 1)
	r.now = r.now.Add(10 * time.Second) // paused; another owner admits 5
	r.OnPause(r.now)
	r.release(1, 2, 3, 4, 5, 6, 7, 8)
	r.report("e0", 5, capacity, 1, 100*time.Millisecond)
	if !r.endpoints["e0"].measured.Before(epoch.Add(11 * time.Second)) {
		t.Error("a report measured during the pause was used")
	}
}

// newResumedOwner returns an owner of e0 with two leases that was paused until its votes had expired.
func newResumedOwner() *testRouter {
	r := newTestRouter(1, 0)
	r.reportWarm("e0")
	for id := range uint64(2) {
		r.requestLease(wire.LeaseRequest{ID: 1 + id, Endpoint: "e0"})
	}
	r.now = r.now.Add(10 * time.Second)
	r.OnPause(r.now)
	r.advance(time.Second)
	return r
}

// TestForeignLoadAfterLapsedVotes pauses an owner until its votes have expired, so that another owner admits
// 5 requests. One of the two leases of this owner ends so close to the measurement of the next report that
// the report may or may not include it.
func TestForeignLoadAfterLapsedVotes(t *testing.T) {
	r := newResumedOwner()
	r.release(1)
	measured := r.now.Add(100 * time.Millisecond)
	r.advance(time.Second)
	r.report("e0", 1+5, capacity, 1, r.now.Sub(measured))
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Errorf("foreign load %d, want the 5 requests of the other owner", foreign)
	}
}

// TestReportBeforeDroppedLeasesAfterLapsedVotes is like TestForeignLoadAfterLapsedVotes, but the holder of the
// leases restarts just before the report is measured. The owner admits nothing until a later report shows the
// requests of the other owner.
func TestReportBeforeDroppedLeasesAfterLapsedVotes(t *testing.T) {
	r := newResumedOwner()
	r.OnRequest(r.now, holder, 2, wire.LeaseRequest{ID: 1, Endpoint: "e0", DeadlineMS: 60_000}, &r.out)
	measured := r.now.Add(100 * time.Millisecond)
	r.advance(time.Second)
	r.report("e0", 2+5, capacity, 1, r.now.Sub(measured))
	if got := r.fill("e0", 100); got > capacity-2-5 {
		t.Errorf("%d leases in addition to 2 requests of the earlier incarnation and 5 of the other owner", got)
	}
}

func TestEndOfAFormerLeaseCountsOnce(t *testing.T) {
	r := newTestRouter(1, 0)
	r.report("e0", 5, capacity, 1, 0)
	u := wire.LeaseUpdate{Former: []wire.FormerLease{{ID: 7, Endpoint: "e0"}}}
	for range 3 {
		r.OnUpdate(r.now, holder, 1, u, &r.out)
	}
	if _, foreign := r.counted("e0"); foreign != 4 {
		t.Errorf("foreign load %d after one of 5 ended, want 4", foreign)
	}
}

func TestLeaseRequestsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(1, 4)
		r.reportWarm("e0")
		asked, released := map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "messages") {
			id := uint64(rapid.IntRange(1, 12).Draw(t, "id"))
			if rapid.IntRange(0, 9).Draw(t, "message") == 0 {
				r.release(id)
				released[id] = true
			} else {
				r.requestLease(wire.LeaseRequest{ID: id, Endpoint: "e0", WaitMS: 1000})
				asked[id] = true
			}
			held := 0
			for id := range asked {
				if !released[id] {
					held++
				}
			}
			if leases, _, queued, _ := r.Load("e0"); leases+queued != held {
				t.Fatalf("%d leases and %d queued, want %d in total", leases, queued, held)
			}
		}
	})
}

func TestLeasesWithLostReleaseAreDropped(t *testing.T) {
	const lag = time.Second
	r := newTestRouter(1, 0)
	r.reportWarm("e0")
	r.fill("e0", 1)
	for range lostReleaseReports + int(minLostLeaseAge/lag) {
		r.advance(lag)
		r.report("e0", 3, capacity, 1, lag)
	}
	if leases, _ := r.counted("e0"); leases != 3 {
		t.Errorf("%d leases, want 3", leases)
	}
}

func TestLateReleasesAreNotTakenForLostOnes(t *testing.T) {
	const lag = time.Second
	r := newTestRouter(1, 0)
	r.reportWarm("e0")
	r.fill("e0", 1)
	r.advance(minLostLeaseAge)
	for range lostReleaseReports - 1 {
		r.advance(lag)
		r.report("e0", 3, capacity, 1, lag)
	}
	r.advance(lag)
	r.release(1, 2, 3, 4, 5)
	r.report("e0", 3, capacity, 1, lag)
	if leases, _ := r.counted("e0"); leases != 3 {
		t.Errorf("%d leases, want 3", leases)
	}
}

func TestLeasesEndWithTheirDeadline(t *testing.T) {
	r := newTestRouter(1, 0)
	r.reportWarm("e0")
	r.requestLease(wire.LeaseRequest{ID: 1, Endpoint: "e0", DeadlineMS: 3000})
	r.advance(3*time.Second + leaseStartTimeout - 100*time.Millisecond)
	if leases, _ := r.counted("e0"); leases != 1 {
		t.Error("the lease expired before its request's deadline")
	}
	r.advance(200 * time.Millisecond)
	if leases, _ := r.counted("e0"); leases != 0 {
		t.Error("the lease did not expire after its request's deadline")
	}
}

func TestColdEndpointLimit(t *testing.T) {
	tests := []struct {
		name string
		cold func(r *testRouter)
	}{
		{"never reported", func(r *testRouter) {}},
		{"an attempt failed", func(r *testRouter) {
			r.reportWarm("e0")
			r.requestLease(wire.LeaseRequest{ID: 1000, Endpoint: "e0"})
			r.OnUpdate(r.now, holder, 1, wire.LeaseUpdate{Failed: []uint64{1000}}, &r.out)
		}},
		{"a response showed another incarnation", func(r *testRouter) {
			r.reportWarm("e0")
			seen := []wire.ObservedIncarnation{{Endpoint: "e0", Incarnation: 2}}
			r.OnUpdate(r.now, holder, 1, wire.LeaseUpdate{Observed: seen}, &r.out)
		}},
		{"another incarnation reported", func(r *testRouter) {
			r.reportWarm("e0")
			r.report("e0", 0, capacity, 2, 0)
		}},
		{"it publishes a capacity of 1", func(r *testRouter) {
			r.reportWarm("e0")
			r.report("e0", 0, 1, 1, 0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(1, 0)
			r.advance(10 * time.Second)
			tt.cold(r)
			if got := r.fill("e0", 1); got != 1 {
				t.Errorf("%d leases granted, want 1", got)
			}
		})
	}
}

func TestRampLeadsToFullLoad(t *testing.T) {
	r := newTestRouter(1, 0)
	r.reportWarm("e0")
	r.report("e0", 0, capacity, 2, 0)
	last := 0
	for s := range 31 {
		limit, _ := r.Limit(r.now, "e0")
		if limit < last || limit > 1+capacity*(s+1)/30 {
			t.Errorf("limit %d after %d s, previous limit %d", limit, s, last)
		}
		last = limit
		if s == 30 && r.fill("e0", 1) != capacity {
			t.Error("fewer leases than the capacity after the ramp")
		}
		r.advance(time.Second)
	}
}

// TestReportedCapacityReplacesRamp checks that an endpoint that reported a reduced capacity after a
// restart is limited by its reports alone, also after it reports its full capacity again.
func TestReportedCapacityReplacesRamp(t *testing.T) {
	for _, reported := range []int{1, 3, capacity} {
		r := newTestRouter(1, 0)
		r.reportWarm("e0")
		r.report("e0", 0, 1, 2, 0)
		r.advance(time.Second)
		r.report("e0", 0, reported, 2, 0)
		if got := r.fill("e0", 1); got != reported {
			t.Errorf("%d leases at an endpoint that reports a capacity of %d", got, reported)
		}
	}
}

func TestHandoverCarriesTheLoad(t *testing.T) {
	r := newTestRouter(1, 0)
	r.OnHandover(r.now, wire.LeaseHandover{Endpoint: "e0", Load: 5, Incarnation: 1})
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Fatalf("foreign load %d after a handover of 5", foreign)
	}
	r.report("e0", 1, capacity, 1, time.Second) // measured before the handover
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Errorf("foreign load %d after a report older than the handover, want 5", foreign)
	}
	if got := r.fill("e0", 1); got != capacity-5 {
		t.Errorf("%d leases in addition to a handover of 5", got)
	}
}

func TestHandoverCountsAfterAnOlderReport(t *testing.T) {
	r := newTestRouter(1, 0)
	r.report("e0", 1, capacity, 1, time.Second)
	r.OnHandover(r.now, wire.LeaseHandover{Endpoint: "e0", Load: 5, Incarnation: 1})
	if got := r.fill("e0", 1); got != capacity-5 {
		t.Errorf("%d leases in addition to a handover of 5 after a report", got)
	}
	r = newTestRouter(1, 0)
	r.report("e0", 1, capacity, 2, time.Second)
	r.OnHandover(r.now, wire.LeaseHandover{Endpoint: "e0", Load: 5, Incarnation: 1})
	if _, foreign := r.counted("e0"); foreign == 5 {
		t.Error("a handover of an earlier incarnation of the endpoint was applied")
	}
}

func TestRestartOfAHolderMakesItsLeasesForeign(t *testing.T) {
	r := newTestRouter(1, 0)
	r.reportWarm("e0")
	r.fill("e0", 1)
	r.advance(time.Second)
	r.out.Reset()
	r.OnRequest(r.now, holder, 2, wire.LeaseRequest{ID: 1, Endpoint: "e0", DeadlineMS: 60_000}, &r.out)
	if got := r.replies()[1].Result; got == wire.LeaseGranted {
		t.Error("granted a lease in addition to the requests of the holder's previous incarnation")
	}
	for range foreignDropReports { // measured while they were counted as leases
		r.report("e0", capacity, capacity, 1, 500*time.Millisecond)
	}
	if leases, foreign := r.counted("e0"); leases+foreign < capacity {
		t.Errorf("%d leases and %d foreign, want a total of at least %d", leases, foreign, capacity)
	}
}
