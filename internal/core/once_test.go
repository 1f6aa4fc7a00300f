package core_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

var onceSeeds = flag.Int("once.seeds", 8, "fault schedules of TestRunsAtMostOnce")

// job is work that a caller wants to run once, under one ticket, one key or neither.
type job struct {
	ticket, key string
	idempotent  bool // may run more than once
	attempts    []*attempt
}

// attempt is one request of a caller for a job.
type attempt struct {
	id        fleet.RequestID
	call, ret time.Time
	finish    core.Finish
	finishes  int
	ranBefore bool // the job had already run when the attempt finished
}

func (j *job) runs(w *coretest.World) int {
	n := 0
	for _, a := range j.attempts {
		n += w.RunsOf(a.id)
	}
	return n
}

// faultyWorld is a fleet into which random faults are injected and whose callers repeat requests.
type faultyWorld struct {
	*coretest.World
	jobs          []*job
	endpointsFail bool
	faultKinds    []func(*coretest.Node) // injected by injectFault
	chance        func(int) bool
}

// keySlotWarmup is the time after which all key slots have had an owner for longer than KeyLifetime.
const keySlotWarmup = 70 * time.Second

func newFaultyWorld(seed uint64, warmup time.Duration) *faultyWorld {
	w := &faultyWorld{World: coretest.New(seed)}
	w.faultKinds = []func(*coretest.Node){w.pause, w.crash, w.stop, w.cutDataCentre, w.cutPeer, w.restartEndpoint}
	w.chance = func(n int) bool { return w.Rand().IntN(100) < n }
	w.Options = func(o *core.Options) {
		o.KeyLifetime, o.TicketTTL = time.Minute, time.Minute
		o.DrainTimeout = 20 * time.Second
	}
	w.Build(coretest.Shape{Regions: 1, DataCentres: 2, Instances: 6, Engines: 2, Models: 1, ServiceReplicas: 4, Workspaces: 2, Capacity: 16})
	for _, e := range w.Endpoints {
		e.Serve = func(*coretest.Endpoint, core.Dispatch, bool) time.Duration { return w.randomDuration(2 * time.Second) }
		e.Fail = func(*coretest.Endpoint, core.Dispatch) coretest.Failure {
			if w.endpointsFail && w.chance(20) {
				return coretest.Failure(w.Rand().IntN(int(coretest.FailDuringReply) + 1))
			}
			return coretest.FailNone
		}
	}
	w.Run(warmup)
	return w
}

func (w *faultyWorld) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.Rand().Int64N(int64(d) + 1))
}

func (w *faultyWorld) randomNode() *coretest.Node { return w.Nodes[w.Rand().IntN(len(w.Nodes))] }

// startCallers starts jobs at random intervals for d.
func (w *faultyWorld) startCallers(d time.Duration) {
	end := w.Now().Add(d)
	var next func()
	next = func() {
		if w.Now().After(end) {
			return
		}
		w.After(w.randomDuration(400*time.Millisecond), next)
		w.startJob()
	}
	next()
}

func (w *faultyWorld) startJob() {
	j := &job{}
	w.jobs = append(w.jobs, j)
	switch kind := w.Rand().IntN(4); kind {
	case 0:
		j.idempotent = w.chance(50)
		w.scheduleAttempts(j, 1)
	case 1:
		j.key = fmt.Sprintf("plain-%d", len(w.jobs))
		w.scheduleAttempts(j, 4)
	case 2:
		createdMS := w.Now().UnixMilli() // of the UUIDv7 key
		j.key = fmt.Sprintf("%08x-%04x-7000-8000-%012x", createdMS>>16, createdMS&0xffff, len(w.jobs))
		w.scheduleAttempts(j, 4)
	case 3:
		w.RequestTickets(w.randomNode(), coretest.KeyHash(coretest.WorkspaceID(0)), 1, func(a core.TicketReply) {
			if len(a.Tickets) > 0 {
				j.ticket = a.Tickets[0]
				w.scheduleAttempts(j, 4)
			}
		})
	}
}

// scheduleAttempts schedules up to n attempts of a job through random routers within KeyLifetime.
func (w *faultyWorld) scheduleAttempts(j *job, n int) {
	for range 1 + w.Rand().IntN(n) {
		w.After(w.randomDuration(w.randomDuration(40*time.Second)), func() { w.attempt(j) })
	}
}

func (w *faultyWorld) attempt(j *job) {
	n := w.randomNode()
	if !n.Up() {
		return
	}
	a := &attempt{id: w.NextID(), call: w.Now()}
	j.attempts = append(j.attempts, a)
	req := core.CallerRequest{
		ID: a.id, APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Service: coretest.GateService,
		Ticket: j.ticket, IdempotencyKey: j.key, RequestHash: 7, Idempotent: j.idempotent, Deadline: w.Now().Add(500*time.Millisecond + w.randomDuration(9*time.Second)),
	}
	w.Request(n, req, func(f core.Finish) {
		a.finish, a.ret = f, w.Now()
		a.finishes++
		a.ranBefore = j.runs(w.World) > 0
	})
	if w.chance(5) {
		w.After(w.randomDuration(2*time.Second), func() { n.DisconnectCaller(a.id) })
	}
}

// injectFaults injects random router, endpoint and network faults for d.
func (w *faultyWorld) injectFaults(d time.Duration) {
	w.endpointsFail = true
	w.Net.Loss, w.Net.Duplicate, w.Net.Jitter = 0.05, 0.2, 20*time.Millisecond
	end := w.Now().Add(d)
	var next func()
	next = func() {
		if w.Now().After(end) {
			w.endpointsFail = false
			w.Net.Loss, w.Net.Duplicate, w.Net.Jitter = 0, 0, 0
			return
		}
		w.After(w.randomDuration(3*time.Second), next)
		w.injectFault()
	}
	next()
}

func (w *faultyWorld) injectFault() {
	if n := w.randomNode(); n.Up() {
		w.faultKinds[w.Rand().IntN(len(w.faultKinds))](n)
	}
}

const maxFaultDuration = 12 * time.Second

func (w *faultyWorld) pause(n *coretest.Node) {
	n.Pause()
	w.After(w.randomDuration(maxFaultDuration), n.Resume)
}

func (w *faultyWorld) crash(n *coretest.Node) {
	n.Kill()
	w.After(w.randomDuration(maxFaultDuration), n.Start)
}

func (w *faultyWorld) stop(n *coretest.Node) {
	n.Stop()
	w.After(25*time.Second, func() {
		if !n.Up() {
			n.Start()
		}
	})
}

func (w *faultyWorld) cutDataCentre(*coretest.Node) {
	w.IsolateDataCentre("dc1")
	w.After(w.randomDuration(maxFaultDuration), func() { w.ReconnectDataCentre("dc1") })
}

func (w *faultyWorld) cutPeer(n *coretest.Node) {
	m := w.randomNode()
	w.Partition(string(n.ID), string(m.ID))
	w.After(w.randomDuration(maxFaultDuration), func() { w.HealPartition(string(n.ID), string(m.ID)) })
}

func (w *faultyWorld) restartEndpoint(*coretest.Node) {
	id := fleet.EndpointID(fmt.Sprintf("s%03d", 1+w.Rand().IntN(4)))
	w.Endpoints[id].Restart(w.randomDuration(maxFaultDuration))
}

// attemptResult is whether an attempt ran and whether it was reported to its caller as not run.
type attemptResult struct{ ran, notRun bool }

// atMostOnce models a job that runs at most once. Its state is whether the job has run. An
// attempt that ran, or that was reported to its caller as not run, requires a job that has
// not run yet.
var atMostOnce = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran, c := state.(bool), output.(attemptResult)
		return !ran || (!c.ran && !c.notRun), ran || c.ran
	},
}

func (w *faultyWorld) check(t *testing.T, j *job) {
	t.Helper()
	if n := j.runs(w.World); n > 1 && !j.idempotent {
		t.Errorf("job %q%q ran %d times", j.ticket, j.key, n)
	}
	var history []porcupine.Operation
	for i, a := range j.attempts {
		reportedNotRun := a.finish.Outcome == core.NotRun
		ran := w.RunsOf(a.id) > 0
		if a.finishes > 1 || (reportedNotRun && ran) || (reportedNotRun && a.ranBefore) {
			t.Errorf("job %q%q: %d finishes, reported %+v, ran %v, ran before %v", j.ticket, j.key, a.finishes, a.finish, ran, a.ranBefore)
		}
		if a.finishes == 0 {
			a.ret = w.Now()
		}
		if j.ticket+j.key != "" {
			history = append(history, porcupine.Operation{
				ClientId: i, Call: a.call.UnixNano(), Return: a.ret.UnixNano(), Output: attemptResult{ran, reportedNotRun},
			})
		}
	}
	if !porcupine.CheckOperations(atMostOnce, history) {
		t.Errorf("job %q%q is not linearizable", j.ticket, j.key)
	}
}

// TestRunsAtMostOnce repeats non-idempotent requests with tickets and keys through random
// routers, while connections break at each step, endpoints restart, routers pause, crash
// and stop, and links and data centres are partitioned. The history of each job must be
// linearizable with respect to atMostOnce.
func TestRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(*onceSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			w := newFaultyWorld(seed, keySlotWarmup)
			w.injectFaults(90 * time.Second)
			w.startCallers(100 * time.Second)
			w.Run(170 * time.Second)
			outcomes := map[string]int{}
			for _, j := range w.jobs {
				w.check(t, j)
				for _, a := range j.attempts {
					outcomes[fmt.Sprint(a.finish.Outcome, " ", a.finish.Reason)]++
				}
			}
			t.Logf("%d jobs: %v", len(w.jobs), outcomes)
		})
	}
}

// TestOutcomeOfEachFault checks the outcome of a request whose attempt fails at each of its steps.
func TestOutcomeOfEachFault(t *testing.T) {
	fails := func(f coretest.Failure) func(*faultyWorld, *coretest.Node) {
		return func(w *faultyWorld, _ *coretest.Node) {
			left := 1
			for _, e := range w.Endpoints {
				e.Fail = func(*coretest.Endpoint, core.Dispatch) coretest.Failure {
					left--
					if left >= 0 {
						return f
					}
					return coretest.FailNone
				}
			}
		}
	}
	later := func(f func(*faultyWorld, *coretest.Node)) func(*faultyWorld, *coretest.Node) {
		return func(w *faultyWorld, n *coretest.Node) { w.After(500*time.Millisecond, func() { f(w, n) }) }
	}
	endpoints := func(f func(e *coretest.Endpoint)) func(*faultyWorld, *coretest.Node) {
		return func(w *faultyWorld, _ *coretest.Node) {
			for _, e := range w.Endpoints {
				f(e)
			}
		}
	}
	for _, tc := range []struct {
		name                              string
		fault                             func(*faultyWorld, *coretest.Node)
		wantNonIdempotent, wantIdempotent core.Outcome // outcomes of a non-idempotent and an idempotent request
		runs                              int          // of the non-idempotent request
	}{
		{"none", func(*faultyWorld, *coretest.Node) {}, core.Answered, core.Answered, 1},
		{"no connection", fails(coretest.FailConnect), core.Answered, core.Answered, 1},
		{"refused by the endpoint", fails(coretest.FailRefuse), core.Answered, core.Answered, 1},
		{"cut before the run", fails(coretest.FailBeforeRun), core.Unknown, core.Answered, 0},
		{"cut after the run", fails(coretest.FailAfterRun), core.Unknown, core.Answered, 1},
		{"cut during the reply", fails(coretest.FailDuringReply), core.Unknown, core.Unknown, 1},
		{"all endpoints gone", endpoints((*coretest.Endpoint).Crash), core.NotRun, core.NotRun, 0},
		{"endpoint restarts", later(endpoints(func(e *coretest.Endpoint) { e.Restart(0) })), core.Unknown, core.Answered, 1},
		{"owner gone", later(func(w *faultyWorld, n *coretest.Node) {
			for _, x := range w.Nodes {
				if x != n {
					x.Kill()
				}
			}
		}), core.Answered, core.Answered, 1},
		{"pause after the decision", func(w *faultyWorld, n *coretest.Node) {
			w.Net.Latency = 20 * time.Millisecond // delays the first byte, so that the pause falls before it
			n.OnDispatch(func() { n.Pause(); w.After(8*time.Second, n.Resume) })
		}, core.Answered, core.Answered, 1},
	} {
		for _, idempotent := range []bool{false, true} {
			w := newFaultyWorld(3, 10*time.Second)
			for _, e := range w.Endpoints {
				e.Serve = func(*coretest.Endpoint, core.Dispatch, bool) time.Duration { return time.Second }
			}
			n := w.Nodes[0]
			w.fillRetryBudget(n)
			tc.fault(w, n)
			j, a := &job{}, &attempt{id: w.NextID(), call: w.Now()}
			j.attempts = append(j.attempts, a)
			w.Request(n, core.CallerRequest{
				ID: a.id, APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Service: coretest.GateService,
				Idempotent: idempotent, Deadline: w.Now().Add(20 * time.Second),
			}, func(f core.Finish) { a.finish, a.ret = f, w.Now(); a.finishes++ })
			w.Run(30 * time.Second)
			want := tc.wantNonIdempotent
			if idempotent {
				want = tc.wantIdempotent
			}
			if a.finish.Outcome != want {
				t.Errorf("%s, idempotent %v: %v %s, want %v", tc.name, idempotent, a.finish.Outcome, a.finish.Reason, want)
			}
			if got := w.RunsOf(a.id); !idempotent && got != tc.runs {
				t.Errorf("%s: ran %d times, want %d", tc.name, got, tc.runs)
			}
		}
	}
}

// fillRetryBudget sends enough requests for the retry budget to allow a retry.
func (w *faultyWorld) fillRetryBudget(n *coretest.Node) {
	for range 30 {
		w.Request(n, core.CallerRequest{APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Service: coretest.GateService, Idempotent: true}, nil)
		w.Run(300 * time.Millisecond)
	}
	w.Run(3 * time.Second)
}

// TestPlannedStopKeepsRedemptions stops a router and checks that its tickets and the keys
// of its slots are still served: each runs once, and repeated requests get the stored
// response.
func TestPlannedStopKeepsRedemptions(t *testing.T) {
	w := newFaultyWorld(1, keySlotWarmup)
	first, other := w.Nodes[0], w.Nodes[2]
	var jobs []*job
	w.RequestTickets(first, coretest.KeyHash(coretest.WorkspaceID(0)), 40, func(a core.TicketReply) {
		for _, ticket := range a.Tickets {
			jobs = append(jobs, &job{ticket: ticket})
		}
	})
	for i := range 200 {
		jobs = append(jobs, &job{key: fmt.Sprint("plain-", i)})
	}
	send := func(part []*job) {
		for _, j := range part {
			a := &attempt{id: w.NextID(), call: w.Now()}
			j.attempts = append(j.attempts, a)
			w.Request(other, core.CallerRequest{
				ID: a.id, APIKeyHash: coretest.KeyHash(coretest.WorkspaceID(0)), Service: coretest.GateService,
				Ticket: j.ticket, IdempotencyKey: j.key, RequestHash: 7,
			}, func(f core.Finish) { a.finish, a.ret = f, w.Now(); a.finishes++ })
			w.Run(100 * time.Millisecond)
		}
	}
	send(jobs[:20])
	send(jobs[40:100])
	first.Stop()
	if !w.RunUntil(15*time.Second, func() bool { return first.Stopped }) {
		t.Fatal("the router did not stop")
	}
	w.Run(5 * time.Second)
	send(jobs)
	w.Run(10 * time.Second)
	for _, j := range jobs {
		w.check(t, j)
		for _, a := range j.attempts {
			if a.finish.Outcome != core.Answered {
				t.Errorf("job %q%q: %v %s", j.ticket, j.key, a.finish.Outcome, a.finish.Reason)
			}
		}
	}
}
