package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// propagationTime is the time within which all gateways of a large fleet know a report: the bound on the age of counts in
// TestAgeOfCountedLoad.
const propagationTime = 600 * time.Millisecond

// rankedFleet is the largeFleet with the gateways 1 and 2 of each data centre as its aggregators.
func rankedFleet(t *testing.T) *controltest.World {
	t.Logf("seed %d", seed)
	w := controltest.New(seed)
	w.Options = rankGateways
	for dc, n := range []int{24, 20, 19, 20} {
		for i := range n {
			w.AddNode(fleet.DataCentreID(rune('a'+dc)), i+1)
		}
	}
	w.Write(publishedtest.Config(config(1, "key")))
	for i := range 140 {
		e := engine(i, fleet.DataCentreID(rune('a'+i%4)))
		e.ReportsLoad = true
		w.Publish(e)
	}
	w.Run(2 * convergenceTime)
	return w
}

// rankGateways makes the gateways 1 and 2 of a data centre its aggregators.
func rankGateways(o *control.Options) {
	o.Self.CPUMillis = 192
	if n := len(o.Self.ID); o.Self.ID[n-2] == '-' && o.Self.ID[n-1] <= '2' {
		o.Self.CPUMillis = 1000 - uint32(o.Self.ID[n-1]-'0')
	}
}

func nodeOf(w *controltest.World, id fleet.InstanceID) *controltest.Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	panic("no gateway " + id)
}

// report has an engine report a speed with the response to a request of a gateway.
func report(w *controltest.World, n *controltest.Node, e *controltest.Endpoint, speed int) {
	p := n.State.Place(w.Now(), control.PlacementRequest{Service: llm, Among: []fleet.EndpointID{e.ID}})
	n.State.ReportLoad(w.Now(), p.Attempt, control.LoadReport{Running: 1, Speed: speed})
	n.State.AttemptEnded(w.Now(), p.Attempt, control.ResponseComplete)
}

func backlogAt(w *controltest.World, n *controltest.Node, e *controltest.Endpoint) backlog.State {
	s, known := n.State.EndpointBacklog(w.Now(), e.ID)
	if !known {
		panic("no endpoint " + e.ID)
	}
	return s
}

// checkSpeed checks what the running gateways for which include returns true know of a speed reported some time ago.
func checkSpeed(t *testing.T, w *controltest.World, e *controltest.Endpoint, want float64, age time.Duration, include func(*controltest.Node) bool) {
	t.Helper()
	const tolerance = 50 * time.Millisecond // rounding of ages, and the transit of three messages
	for _, n := range w.Nodes {
		if n.State == nil || !include(n) {
			continue
		}
		s := backlogAt(w, n, e)
		if d := s.SpeedAge - age; !s.Known || s.Speed != want || d > tolerance || d < -tolerance {
			t.Errorf("%s: %+v, reported %v ago as %v", n.ID, s, age, want)
		}
	}
}

func all(*controltest.Node) bool { return true }

// TestSpeedIsKnownFleetWide: a speed that an endpoint has reported to one of 83 gateways is known to all others within 0.6 s, with
// its age, and so is its return to the usual one. Without further reports it ages and is forgotten. It guards against speeds that
// stay at the gateway or in its data centre, or that look new at each hop.
func TestSpeedIsKnownFleetWide(t *testing.T) {
	w := rankedFleet(t)
	for i, id := range []fleet.InstanceID{"a-1", "b-2", "c-7", "d-20"} {
		e := w.Endpoints[fleet.EndpointID("engine-"+string(rune('3'+i)))]
		report(w, nodeOf(w, id), e, 250)
		w.Run(propagationTime)
		checkSpeed(t, w, e, 2.5, propagationTime, all)
		report(w, nodeOf(w, "c-9"), e, 100)
		w.Run(propagationTime)
		checkSpeed(t, w, e, 1, propagationTime, all)
		report(w, nodeOf(w, id), e, 9999)
		w.Run(propagationTime)
		checkSpeed(t, w, e, 10, propagationTime, all)
		w.Run(2 * time.Second)
		checkSpeed(t, w, e, 10, propagationTime+2*time.Second, all)
		w.Run(time.Second)
		for _, n := range w.Nodes {
			if s := backlogAt(w, n, e); s.Known || s.Speed != 1 {
				t.Errorf("%s: %+v, 3.6 s after the last report", n.ID, s)
			}
		}
	}
}

// TestSpeedWithLostAggregators: the first aggregator of one data centre, and both of another, are lost at the time of a report.
// The reporting gateway and its data centre know it as usual; two seconds later reports reach all gateways within 0.6 s again.
func TestSpeedWithLostAggregators(t *testing.T) {
	w := rankedFleet(t)
	e := w.Endpoints["engine-5"]
	for _, id := range []fleet.InstanceID{"b-1", "c-1", "c-2"} {
		nodeOf(w, id).RestartAfter(time.Hour)
	}
	report(w, nodeOf(w, "a-7"), e, 250)
	w.Run(propagationTime)
	checkSpeed(t, w, e, 2.5, propagationTime, func(n *controltest.Node) bool { return n.DataCentre == "a" || n.DataCentre == "d" })
	w.Run(2*time.Second - propagationTime)
	for _, id := range []fleet.InstanceID{"b-7", "c-7", "a-1"} {
		report(w, nodeOf(w, id), e, 400)
		w.Run(propagationTime)
		checkSpeed(t, w, e, 4, propagationTime, all)
		report(w, nodeOf(w, id), e, 250)
		w.Run(propagationTime)
		checkSpeed(t, w, e, 2.5, propagationTime, all)
	}
}

// TestSpeedOfCutDataCentre: reports from beyond a cut age and are forgotten; those of the own side arrive as before.
func TestSpeedOfCutDataCentre(t *testing.T) {
	w := rankedFleet(t)
	mine, beyond := w.Endpoints["engine-1"], w.Endpoints["engine-2"]
	report(w, nodeOf(w, "a-7"), beyond, 250)
	w.Run(propagationTime)
	inB := func(name string) bool { return name[0] == 'b' }
	w.Partitioned = func(a, b string) bool { return inB(a) != inB(b) && a != string(mine.ID) && b != string(mine.ID) }
	report(w, nodeOf(w, "b-7"), mine, 250)
	report(w, nodeOf(w, "a-7"), beyond, 1000)
	w.Run(propagationTime)
	inDataCentreB := func(n *controltest.Node) bool { return n.DataCentre == "b" }
	checkSpeed(t, w, mine, 2.5, propagationTime, inDataCentreB)
	checkSpeed(t, w, beyond, 2.5, 2*propagationTime, inDataCentreB)
	w.Run(2500 * time.Millisecond)
	for _, n := range w.Nodes {
		if s := backlogAt(w, n, beyond); n.DataCentre == "b" && s.Known {
			t.Errorf("%s: %+v, 3.7 s after the last report that it got", n.ID, s)
		}
	}
}

// TestPendingReadsOfFleet: all gateways count the pending prefill times of the whole fleet, each attempt once, while it waits for
// its first event; also after the aggregators of a data centre are lost.
func TestPendingReadsOfFleet(t *testing.T) {
	const read = 120 * time.Millisecond
	w := rankedFleet(t)
	e := w.Endpoints["engine-0"]
	attempts := map[*controltest.Node]*control.Attempt{}
	for i, n := range w.Nodes {
		if i%3 == 0 {
			p := n.State.Place(w.Now(), control.PlacementRequest{Service: llm, Among: []fleet.EndpointID{e.ID}})
			n.State.PromptSent(w.Now(), p.Attempt, read)
			attempts[n] = p.Attempt
		}
	}
	check := func(when string, want time.Duration) {
		t.Helper()
		for _, n := range w.Nodes {
			if n.State == nil {
				continue
			}
			if got := backlogAt(w, n, e).PendingRead; got != want {
				t.Errorf("%s: %s counts %v pending, want %v", when, n.ID, got, want)
			}
		}
	}
	w.Run(propagationTime)
	check("sent", time.Duration(len(attempts))*read)
	for _, id := range []fleet.InstanceID{"b-1", "c-1", "c-2"} {
		delete(attempts, nodeOf(w, id))
		nodeOf(w, id).RestartAfter(time.Hour)
	}
	w.Run(5 * time.Second) // the last messages of the lost ones count for 3 s
	check("aggregators lost", time.Duration(len(attempts))*read)
	for n, a := range attempts {
		n.State.PromptRead(w.Now(), a)
		n.State.AttemptEnded(w.Now(), a, control.ResponseComplete)
		n.State.PromptSent(w.Now(), a, read) // too late
	}
	w.Run(propagationTime)
	check("read", 0)
}

// TestWorkspaceLoadsOfFleet: the requests of the 16 largest workspaces are summed up over the gateways that report them, each once,
// and are gone when these report none. A fleet in which none does sends none.
func TestWorkspaceLoadsOfFleet(t *testing.T) {
	for _, w := range []*controltest.World{smallFleet(t), rankedFleet(t)} {
		loads := map[uint32]int{}
		for workspace := range uint32(20) {
			loads[workspace] = 1 + int(workspace)
		}
		for _, n := range w.Nodes {
			if got := n.State.WorkspaceLoads(w.Now()); got != nil {
				t.Errorf("%s has %v, none is contended", n.ID, got)
			}
		}
		contended := 0
		for i, n := range w.Nodes {
			if i%2 == 0 {
				contended++
				n.State.SetWorkspaceLoads(loads)
			}
		}
		w.Run(propagationTime)
		for _, n := range w.Nodes {
			got := n.State.WorkspaceLoads(w.Now())
			for workspace := uint32(4); workspace < 20; workspace++ {
				if want := contended * (1 + int(workspace)); got[workspace] != want {
					t.Errorf("%s counts %d requests of workspace %d, want %d", n.ID, got[workspace], workspace, want)
				}
			}
		}
		for _, n := range w.Nodes {
			n.State.SetWorkspaceLoads(nil)
		}
		w.Run(propagationTime)
		for _, n := range w.Nodes {
			if got := n.State.WorkspaceLoads(w.Now()); got != nil {
				t.Errorf("%s still has %v", n.ID, got)
			}
		}
	}
}

// TestBacklogBesideOlderVersion: a third of the gateways is of the version before, with the first aggregator of one data centre among
// them. They count all requests in flight and read the store as before; the others know speeds in the other data centres. It guards
// against a message that the version before takes for a change of the store.
func TestBacklogBesideOlderVersion(t *testing.T) {
	w := rankedFleet(t)
	for i, n := range w.Nodes {
		n.NoBacklog = i%3 == 2
	}
	for _, id := range []fleet.InstanceID{"a-1", "b-1", "c-1", "d-1"} {
		nodeOf(w, id).NoBacklog = id == "d-1"
	}
	for _, other := range w.Endpoints {
		other.ServiceTime, other.Speed = time.Minute, 250
	}
	_, _, readsBefore := counts(w)
	revision := w.Nodes[0].State.Revision()
	sendLoad(w, 500, w.Now().Add(4*time.Second), chatRequests(w, 500, 0), ignore)
	w.Run(4 * time.Second)
	e := w.Endpoints["engine-5"]
	reporter := nodeOf(w, "a-4")
	reporter.NoBacklog = false
	report(w, reporter, e, 400)
	w.Run(propagationTime)
	checkSpeed(t, w, e, 4, propagationTime, func(n *controltest.Node) bool { return !n.NoBacklog && n.DataCentre != "d" })
	_, _, reads := counts(w)
	if reads-readsBefore > 4*5 {
		t.Errorf("%d store reads in 4.6 s", reads-readsBefore)
	}
	for _, n := range w.Nodes {
		if n.State.Revision() != revision {
			t.Errorf("%s has revision %d, want %d", n.ID, n.State.Revision(), revision)
		}
		for _, d := range n.State.Dump(w.Now()).Endpoints {
			if got, want := d.Load, w.Endpoints[d.ID].InFlight; got != want {
				t.Errorf("%s (older: %t) counts %d of %d requests at %s", n.ID, n.NoBacklog, got, want, d.ID)
				break
			}
		}
	}
}
