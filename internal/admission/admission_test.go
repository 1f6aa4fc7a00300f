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

type usable struct{}

func (usable) Usable(fleet.InstanceID) bool { return true }

// rig is an owner of all endpoints of a data centre of one router.
type rig struct {
	*State
	now  time.Time
	own  *ownership.State
	pool *pool.State
	out  wire.Outbox
}

func newRig(endpoints, maxQueue int) *rig {
	var es []fleet.Endpoint
	for i := range endpoints {
		id := fleet.EndpointID(fmt.Sprintf("e%d", i))
		es = append(es, fleet.Endpoint{ID: id, DataCentre: testDC, Kind: fleet.Engine, Model: "m", Capacity: capacity})
	}
	v := fleet.NewView(
		&fleet.Configuration{DataCentres: map[fleet.DataCentreID]fleet.DataCentre{testDC: {ID: testDC, Region: "r"}}},
		&fleet.InstanceList{Instances: []fleet.Instance{{ID: self, DataCentre: testDC}}},
		&fleet.EndpointList{Endpoints: es})
	r := &rig{now: epoch, own: ownership.New(epoch, self, testDC), pool: pool.New(self, rand.New(rand.NewPCG(1, 1)))}
	opts := Options{Multiple: 1.5, Ramp: 30 * time.Second, RampStart: 1, MaxQueue: maxQueue}
	r.State = New(opts, r.own, r.pool)
	r.pool.SetView(v)
	r.now = r.now.Add(10 * time.Second) // promises of earlier runs have ended
	r.own.Update(r.now, v, usable{})
	r.own.Tick(r.now, nil, nil, &r.out)
	r.Update(r.now, v, &r.out)
	return r
}

// pass lets time go on and keeps the ownership.
func (r *rig) pass(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(min(100*time.Millisecond, end.Sub(r.now)))
		r.own.Tick(r.now, nil, nil, &r.out)
		r.Tick(r.now, &r.out)
	}
}

// warm reports an endpoint as idle and at its full capacity.
func (r *rig) warm(id fleet.EndpointID) { r.report(id, 0, capacity, 1, 0) }

func (r *rig) report(id fleet.EndpointID, running, bears int, inc fleet.Incarnation, age time.Duration) {
	rep := fleet.LoadReport{Endpoint: id, Incarnation: inc, Running: running, Capacity: bears, Age: age}
	r.OnReport(r.now, rep, &r.out)
}

// ask requests a lease and returns the results of all replies that follow, by ID.
func (r *rig) ask(req wire.LeaseRequest) map[uint64]wire.LeaseReply {
	r.out.Reset()
	if req.DeadlineMS == 0 {
		req.DeadlineMS = 60_000
	}
	r.OnRequest(r.now, holder, 1, req, &r.out)
	return r.replies()
}

func (r *rig) release(ids ...uint64) map[uint64]wire.LeaseReply {
	r.out.Reset()
	r.OnUpdate(r.now, holder, 1, wire.LeaseUpdate{Released: ids}, &r.out)
	return r.replies()
}

func (r *rig) replies() map[uint64]wire.LeaseReply {
	got := map[uint64]wire.LeaseReply{}
	for _, o := range r.out.Items {
		if m, ok := o.Message.(wire.LeaseReply); ok {
			got[m.ID] = m
		}
	}
	return got
}

// fill takes leases with the IDs from first on until one is refused and returns their number.
func (r *rig) fill(id fleet.EndpointID, first uint64) int {
	for n := 0; ; n++ {
		if r.ask(wire.LeaseRequest{ID: first + uint64(n), Endpoint: id})[first+uint64(n)].Result != wire.LeaseGranted {
			return n
		}
	}
}

func (r *rig) counted(id fleet.EndpointID) (leases, foreign int) {
	leases, foreign, _, _ = r.Load(id)
	return leases, foreign
}

func TestQueueGoesByPriorityThenDeadlineThenArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(1, 32)
		r.warm("e0")
		n := r.fill("e0", 1)
		var want []wire.LeaseRequest
		for i := range rapid.IntRange(2, 12).Draw(t, "waiting") {
			req := wire.LeaseRequest{
				ID: uint64(100 + i), Endpoint: "e0", WaitMS: 5000,
				Priority:   fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
				DeadlineMS: uint32(rapid.IntRange(1, 3).Draw(t, "deadline")) * 10_000,
			}
			if got := r.ask(req)[req.ID].Result; got != wire.LeaseQueued {
				t.Fatalf("result %d in place of queued", got)
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
	r := newRig(1, 2)
	r.warm("e0")
	r.fill("e0", 1)
	r.ask(wire.LeaseRequest{ID: 101, Endpoint: "e0", WaitMS: 1000, Priority: 1})
	r.ask(wire.LeaseRequest{ID: 102, Endpoint: "e0", WaitMS: 1000, Priority: 1})
	got := r.ask(wire.LeaseRequest{ID: 103, Endpoint: "e0", WaitMS: 1000, Priority: 2})
	if got[103].Result != wire.LeaseQueued || got[102].Result != wire.LeaseAtLimit || got[102].RetryAfterMS == 0 {
		t.Errorf("replies %v, want 103 queued and 102 refused with a time to come back", got)
	}
	got = r.ask(wire.LeaseRequest{ID: 104, Endpoint: "e0", WaitMS: 1000})
	if got[104].Result != wire.LeaseAtLimit {
		t.Errorf("replies %v, want 104 refused at once", got)
	}
}

func TestQueueRefusesWhatWaitedTooLong(t *testing.T) {
	r := newRig(1, 8)
	r.warm("e0")
	r.fill("e0", 1)
	r.ask(wire.LeaseRequest{ID: 101, Endpoint: "e0", WaitMS: 1000})
	r.out.Reset()
	r.pass(900 * time.Millisecond)
	if got := r.replies(); len(got) > 0 {
		t.Fatalf("replies %v before the wait is over", got)
	}
	r.pass(200 * time.Millisecond)
	if got := r.replies()[101]; got.Result != wire.LeaseExpired || got.RetryAfterMS == 0 {
		t.Errorf("reply %v, want expired with a time to come back", got)
	}
}

// TestBoundedLoad compares admission at one endpoint with the formula, over all loads
// of the others.
func TestBoundedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "endpoints")
		r := newRig(n, 0)
		total := 0
		for i := range n {
			id := fleet.EndpointID(fmt.Sprintf("e%d", i))
			r.warm(id)
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
			t.Fatalf("%d leases beside a load of %d on %d others, want %d", got, total, n-1, want)
		}
	})
}

func TestForeignLoadFromLateReports(t *testing.T) {
	const lag = time.Second
	r := newRig(1, 0)
	r.pass(2 * lag)
	r.report("e0", 5, capacity, 1, lag)
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Fatalf("foreign load %d, want the 5 requests that an earlier owner admitted", foreign)
	}
	if got := r.fill("e0", 1); got != capacity-5 {
		t.Fatalf("%d leases beside 5 foreign requests", got)
	}
	r.pass(100 * time.Millisecond)
	r.report("e0", 5, capacity, 1, 200*time.Millisecond)
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Fatalf("foreign load %d by a report from before the count grew, 5 run", foreign)
	}
	for range 4 { // its own leases are no foreign load
		r.pass(lag)
		r.report("e0", capacity, capacity, 1, lag)
	}
	if leases, foreign := r.counted("e0"); leases+foreign != capacity {
		t.Fatalf("%d leases and %d foreign, want %d together", leases, foreign, capacity)
	}
	for range 4 { // the foreign requests ended
		r.pass(lag)
		r.report("e0", capacity-5, capacity, 1, lag)
	}
	if _, foreign := r.counted("e0"); foreign != 0 {
		t.Errorf("foreign load %d after it ended", foreign)
	}
}

func TestReportsOfAPauseDoNotCount(t *testing.T) {
	r := newRig(1, 0)
	r.warm("e0")
	r.fill("e0", 1)
	r.now = r.now.Add(10 * time.Second) // paused; another owner admitted 5
	r.OnPause(r.now)
	r.release(1, 2, 3, 4, 5, 6, 7, 8)
	r.report("e0", 5, capacity, 1, 100*time.Millisecond)
	if !r.endpoints["e0"].measured.Before(epoch.Add(11 * time.Second)) {
		t.Error("a report of the pause was compared with the count")
	}
}

func TestEndOfAFormerLeaseCountsOnce(t *testing.T) {
	r := newRig(1, 0)
	r.report("e0", 5, capacity, 1, 0)
	u := wire.LeaseUpdate{Former: []wire.FormerLease{{ID: 7, Endpoint: "e0"}}}
	for range 3 {
		r.OnUpdate(r.now, holder, 1, u, &r.out)
	}
	if _, foreign := r.counted("e0"); foreign != 4 {
		t.Errorf("foreign load %d after one of 5 ended", foreign)
	}
}

func TestLeaseRequestsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(1, 4)
		r.warm("e0")
		asked, released := map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "messages") {
			id := uint64(rapid.IntRange(1, 12).Draw(t, "id"))
			if rapid.IntRange(0, 9).Draw(t, "message") == 0 {
				r.release(id)
				released[id] = true
			} else {
				r.ask(wire.LeaseRequest{ID: id, Endpoint: "e0", WaitMS: 1000})
				asked[id] = true
			}
			held := 0
			for id := range asked {
				if !released[id] {
					held++
				}
			}
			if leases, _, queued, _ := r.Load("e0"); leases+queued != held {
				t.Fatalf("%d leases and %d waiting, %d requests have not given up", leases, queued, held)
			}
		}
	})
}

func TestLostLeasesAreForgotten(t *testing.T) {
	const lag = time.Second
	r := newRig(1, 0)
	r.warm("e0")
	r.fill("e0", 1)
	for range lostReports + int(lostAge/lag) {
		r.pass(lag)
		r.report("e0", 3, capacity, 1, lag)
	}
	if leases, _ := r.counted("e0"); leases != 3 {
		t.Errorf("%d leases, 3 run", leases)
	}
}

func TestLateReleasesAreNotTakenForLostOnes(t *testing.T) {
	const lag = time.Second
	r := newRig(1, 0)
	r.warm("e0")
	r.fill("e0", 1)
	r.pass(lostAge)
	for range lostReports - 1 {
		r.pass(lag)
		r.report("e0", 3, capacity, 1, lag)
	}
	r.pass(lag)
	r.release(1, 2, 3, 4, 5)
	r.report("e0", 3, capacity, 1, lag)
	if leases, _ := r.counted("e0"); leases != 3 {
		t.Errorf("%d leases, 3 run", leases)
	}
}

func TestLeasesEndWithTheirDeadline(t *testing.T) {
	r := newRig(1, 0)
	r.warm("e0")
	r.ask(wire.LeaseRequest{ID: 1, Endpoint: "e0", DeadlineMS: 3000})
	r.pass(3*time.Second + startTTL - 100*time.Millisecond)
	if leases, _ := r.counted("e0"); leases != 1 {
		t.Error("the lease ended while its request may still run")
	}
	r.pass(200 * time.Millisecond)
	if leases, _ := r.counted("e0"); leases != 0 {
		t.Error("the lease outlives its request")
	}
}

func TestColdEndpointGetsWhatItBears(t *testing.T) {
	tests := []struct {
		name string
		cold func(r *rig)
	}{
		{"never reported", func(r *rig) {}},
		{"an attempt broke off", func(r *rig) {
			r.warm("e0")
			r.ask(wire.LeaseRequest{ID: 1000, Endpoint: "e0"})
			r.OnUpdate(r.now, holder, 1, wire.LeaseUpdate{Failed: []uint64{1000}}, &r.out)
		}},
		{"another incarnation answered", func(r *rig) {
			r.warm("e0")
			seen := []wire.ObservedIncarnation{{Endpoint: "e0", Incarnation: 2}}
			r.OnUpdate(r.now, holder, 1, wire.LeaseUpdate{Observed: seen}, &r.out)
		}},
		{"another incarnation reported", func(r *rig) {
			r.warm("e0")
			r.report("e0", 0, capacity, 2, 0)
		}},
		{"it publishes a capacity of 1", func(r *rig) {
			r.warm("e0")
			r.report("e0", 0, 1, 1, 0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(1, 0)
			r.pass(10 * time.Second)
			tt.cold(r)
			if got := r.fill("e0", 1); got != 1 {
				t.Errorf("%d requests at once, want 1", got)
			}
		})
	}
}

func TestRampLeadsToFullLoad(t *testing.T) {
	r := newRig(1, 0)
	r.warm("e0")
	r.report("e0", 0, capacity, 2, 0)
	last := 0
	for s := range 31 {
		limit, _ := r.Limit(r.now, "e0")
		if limit < last || limit > 1+capacity*(s+1)/30 {
			t.Errorf("limit %d after %d s, %d before", limit, s, last)
		}
		last = limit
		if s == 30 && r.fill("e0", 1) != capacity {
			t.Error("not all room is used after the ramp")
		}
		r.pass(time.Second)
	}
}

// TestReportedColdnessReplacesTheRamp: an endpoint that reported less than its capacity
// after a start gets what it reports, and all when it reports all.
func TestReportedColdnessReplacesTheRamp(t *testing.T) {
	for _, bears := range []int{1, 3, capacity} {
		r := newRig(1, 0)
		r.warm("e0")
		r.report("e0", 0, 1, 2, 0)
		r.pass(time.Second)
		r.report("e0", 0, bears, 2, 0)
		if got := r.fill("e0", 1); got != bears {
			t.Errorf("%d requests at an endpoint that bears %d", got, bears)
		}
	}
}

func TestHandoverCarriesTheLoad(t *testing.T) {
	r := newRig(1, 0)
	r.OnHandover(r.now, wire.LeaseHandover{Endpoint: "e0", Load: 5, Incarnation: 1})
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Fatalf("foreign load %d after 5 were handed over", foreign)
	}
	r.report("e0", 1, capacity, 1, time.Second) // measured before
	if _, foreign := r.counted("e0"); foreign != 5 {
		t.Errorf("foreign load %d by a report older than the handover", foreign)
	}
	if got := r.fill("e0", 1); got != capacity-5 {
		t.Errorf("%d leases beside 5 that were handed over", got)
	}
}

func TestHandoverCountsAfterAnOlderReport(t *testing.T) {
	r := newRig(1, 0)
	r.report("e0", 1, capacity, 1, time.Second)
	r.OnHandover(r.now, wire.LeaseHandover{Endpoint: "e0", Load: 5, Incarnation: 1})
	if got := r.fill("e0", 1); got != capacity-5 {
		t.Errorf("%d leases beside 5 that were handed over after a report", got)
	}
	r = newRig(1, 0)
	r.report("e0", 1, capacity, 2, time.Second)
	r.OnHandover(r.now, wire.LeaseHandover{Endpoint: "e0", Load: 5, Incarnation: 1})
	if _, foreign := r.counted("e0"); foreign == 5 {
		t.Error("a handover of an earlier run of the endpoint was taken")
	}
}

func TestRestartOfAHolderMakesItsLeasesForeign(t *testing.T) {
	r := newRig(1, 0)
	r.warm("e0")
	r.fill("e0", 1)
	r.pass(time.Second)
	r.out.Reset()
	r.OnRequest(r.now, holder, 2, wire.LeaseRequest{ID: 1, Endpoint: "e0", DeadlineMS: 60_000}, &r.out)
	if got := r.replies()[1].Result; got == wire.LeaseGranted {
		t.Error("a lease beside the requests that the former run of its holder left running")
	}
	for range fallReports { // the count held them then
		r.report("e0", capacity, capacity, 1, 500*time.Millisecond)
	}
	if leases, foreign := r.counted("e0"); leases+foreign < capacity {
		t.Errorf("%d leases and %d foreign, %d run", leases, foreign, capacity)
	}
}
