package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/mesh"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// queueingService is a gateway of a service of one endpoint with 20 slots, whose requests run for 500 ms.
type queueingService struct {
	*State
	now  boottime.Instant
	load int // that the endpoint reports
}

func newQueueingService(t *testing.T) *queueingService {
	t.Helper()
	s := New(testStart, Options{
		Self: mesh.Member{ID: "g-1", DataCentre: "a"}, Protocol: publishedtest.Protocol{}, LoadMultiple: 2, RetryWindow: 10 * time.Second,
		AuthStalenessBound: time.Hour, DenialStalenessBound: time.Hour,
	})
	c := &routing.Config{Version: 1, Services: []routing.Service{{ID: "s", Slots: 20}}}
	c.Routes = []routing.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Priority: 1, GoalLatency: 20 * time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}}}
	for i := range 11 {
		id := fmt.Sprint("w-", i)
		c.Workspaces = append(c.Workspaces, routing.Workspace{ID: fleet.WorkspaceID(id), Keys: []string{id}, Priority: 1, HasPriority: true})
	}
	s.ReadDone(testStart, published.Update{Revision: 9, Confirmed: testStart, Items: []published.Item{
		publishedtest.Config(c), publishedtest.Endpoint(fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:80", DataCentre: "a", Capacity: 20}, 1),
	}})
	for range 20 {
		s.costs.Observe(cost.Observation{Request: cost.Request{Service: "s", Route: "chat"}, First: 400 * time.Millisecond, Total: 500 * time.Millisecond})
	}
	return &queueingService{State: s, now: testStart}
}

// run calls visit with the admissions of a time: 20 requests per second of ten workspaces and surge times 10 per second of another
// one. The load grows by the given part of the slots per second.
func (q *queueingService) run(d time.Duration, surge int, growth float64, visit func(workspace int, ad Admission)) {
	begin := float64(q.load)
	for i := range int(d / (50 * time.Millisecond)) {
		q.now = q.now.Add(50 * time.Millisecond)
		q.load = int(begin + 20*growth*0.05*float64(i))
		for _, e := range q.services["s"] {
			e.reported = reportedLoad{LoadReport: LoadReport{Running: min(q.load, 20), Waiting: max(q.load-20, 0)}, at: q.now}
		}
		q.tickContention(q.now)
		senders := []int{1 + i%10}
		if i%2 == 0 {
			for range surge {
				senders = append(senders, 0)
			}
		}
		for _, w := range senders {
			visit(w, q.Admit(q.now, AdmissionRequest{Host: "h", Path: "/chat/x", APIKey: fmt.Sprint("w-", w)}))
		}
	}
}

// TestPriorityAboveShare guards against a workspace that delays the others of its priority, and against figures of workspaces that
// are sent to peers without queues, or missing with queues.
func TestPriorityAboveShare(t *testing.T) {
	q := newQueueingService(t)
	q.load = 16
	within := func(w int, ad Admission) {
		if ad.Reason != ReasonNone || ad.Priority != 0 {
			t.Fatalf("workspace %d without queues: %+v", w, ad)
		}
	}
	q.run(30*time.Second, 1, 0, within)
	if q.serviceLoadOf("s").queuedAt != 0 || q.backlog.ownWorkspaces != nil {
		t.Error("workspaces are reported without queues")
	}
	q.load = 24
	ignoreAdmission := func(int, Admission) {}
	q.run(2*time.Second, 8, 3, ignoreAdmission)
	var all, above [2]int // of the others, of the surging workspace
	q.run(3*time.Second, 8, 3, func(w int, ad Admission) {
		class := 0
		if w == 0 {
			class = 1
		}
		if ad.Reason != ReasonNone {
			t.Fatalf("%+v", ad)
		}
		all[class]++
		above[class] += ad.Priority
	})
	t.Logf("above the share: %d of %d, surging %d of %d", above[0], all[0], above[1], all[1])
	if above[0]*50 >= all[0] || above[1]*2 <= all[1] {
		t.Errorf("the priority is the lower one for %d of %d requests of the others, for %d of %d of the surging workspace", above[0], all[0], above[1], all[1])
	}
	if q.contended("s") || q.backlog.ownWorkspaces == nil {
		t.Errorf("contended %v, workspaces %v", q.contended("s"), q.backlog.ownWorkspaces)
	}
	if x := q.Explain(q.now, ExplainRequest{Host: "h", Path: "/chat/x", Workspace: "w-0"}); x.Priority != 0 {
		t.Errorf("the explanation has the priority %d; it does not know the share", x.Priority)
	}
	q.load = 16
	q.run(2*time.Second, 1, 0, ignoreAdmission)
	q.run(3*time.Second, 1, 0, within)
	if q.backlog.ownWorkspaces == nil {
		t.Error("workspaces are not reported for five seconds after queueing")
	}
	q.run(3*time.Second, 1, 0, within)
	if q.backlog.ownWorkspaces != nil {
		t.Error("workspaces are reported without queues")
	}
}

// TestQueueingEndsWithTheConfiguration guards against a service that counts as queueing or contended for good because the
// configuration takes its latency goal, or the service itself, away meanwhile.
func TestQueueingEndsWithTheConfiguration(t *testing.T) {
	q := newQueueingService(t)
	ignoreAdmission := func(int, Admission) {}
	q.load = 16
	q.run(2*time.Second, 1, 0, ignoreAdmission)
	q.load = 24
	q.run(2*time.Second, 8, 3, ignoreAdmission)
	if !q.serviceLoadOf("s").queueing {
		t.Fatal("the service does not queue requests")
	}
	withoutGoal := *q.table.Config()
	withoutGoal.Routes = []routing.Route{withoutGoal.Routes[0]}
	withoutGoal.Routes[0].GoalLatency = 0
	q.table = routing.NewTable(&withoutGoal)
	q.run(3*time.Second, 8, 0, ignoreAdmission)
	if l := q.serviceLoadOf("s"); l.queueing || l.contended {
		t.Errorf("queueing %t, contended %t without a goal", l.queueing, l.contended)
	}
	q.table = routing.NewTable(&routing.Config{Version: 3})
	q.services["s"] = nil
	q.tickContention(q.now)
	if len(q.serviceLoads) != 0 {
		t.Error("the state of a removed service is kept")
	}
}

// TestRequestsWithoutAWorkspaceShareOne guards against requests without a key that count for no share and displace workspaces, and
// against streams at one service that count against a workspace at another.
func TestRequestsWithoutAWorkspaceShareOne(t *testing.T) {
	keys := map[uint32]bool{workspaceKey("a", ""): true, workspaceKey("a", "w"): true, workspaceKey("b", "w"): true, workspaceKey("b", ""): true}
	if len(keys) != 4 || keys[0] {
		t.Errorf("keys %v", keys)
	}
	q := newQueueingService(t)
	q.table.Config().Routes[0].Public = true
	p := q.Place(q.now, PlacementRequest{Service: "s"})
	q.serviceLoadOf("s").queuedAt = q.now
	q.reportWorkspaces(q.now)
	if n := q.workspaceLoadsOf(q.now, "s")[workspaceKey("s", "")]; n != 1 {
		t.Errorf("%d requests without a workspace, want 1", n)
	}
	q.AttemptEnded(q.now, p.Attempt, Cancelled)
	if n := len(q.serviceLoadOf("s").inFlight); n != 0 {
		t.Errorf("%d workspaces have requests in flight after their end", n)
	}
}
