package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// surge returns a rate that is a multiple of the usual one during the overload.
func surge(multiple float64) func(int, int, time.Duration) float64 {
	return func(_, _ int, at time.Duration) float64 {
		if during(at) {
			return multiple
		}
		return 1
	}
}

// excess is surge with one workspace at eight times its usual load.
func excess(multiple float64) func(int, int, time.Duration) float64 {
	return func(_, ws int, at time.Duration) float64 {
		if during(at) && ws == greedy {
			return 8
		}
		return surge(multiple)(0, ws, at)
	}
}

// greedy is the workspace of excess.
const greedy = 3

// playLoads are the loads of TestLoads and TestLoadsUnderContention.
var playLoads = []load{
	{name: "calm", seed: 45001, expect: checkUncontended},
	{name: "burst of five times the usual load", seed: 45002, rate: surge(5), expect: checkOrder, expectContended: checkOverload},
	{name: "a quarter of a kind has one affinity", seed: 45003, rate: surge(2), hotKind: 1, expect: checkUncontended},
	{name: "uneven speeds", seed: 45004, rate: surge(2), events: unevenSpeeds, expect: checkUncontended},
	{name: "a third of the endpoints blackholed", seed: 45005, events: blackhole, expect: checkOutage},
	{name: "a third of the endpoints blackholed, twice the usual load", seed: 45105, rate: surge(2), events: blackhole, expect: checkOrder, expectContended: checkOverload},
	{name: "a data centre cut off", seed: 45006, events: isolateDataCentre, expect: checkOutage},
	{name: "impatient callers", seed: 45007, rate: surge(5), repeats: 6, expect: checkOrder, expectContended: checkOverload},
	{name: "all gateways killed", seed: 45008, events: killAll, expect: checkInTimeAgain, expectContended: checkOverload},
	{name: "an aggregator lost under contention", seed: 45009, gateways: []int{28, 28, 27}, rate: surge(5), events: loseAggregator, expect: checkOrder, expectContended: checkOverload},
	{name: "reports of 25 percent", seed: 45010, rate: surge(2), events: lie(func(r *control.LoadReport) { r.Speed = 25 }), expect: checkUncontended},
	{name: "reports of 1,000 percent", seed: 45011, rate: surge(2), events: lie(func(r *control.LoadReport) { r.Speed = 1000 }), expect: checkUncontended},
	{name: "reports of no load", seed: 45012, rate: surge(2), events: lie(func(r *control.LoadReport) { *r = control.LoadReport{Speed: r.Speed} }), expect: checkUncontended},
}

// checkUncontended: the load fits, so nothing is refused for contention, and no endpoint gets too much or nothing.
func checkUncontended(t *testing.T, p *play) {
	p.checkNoneFailed(t)
	p.checkSpread(t)
	p.checkRecovery(t)
	if p.refusals > 0 {
		t.Errorf("%d refusals for contention", p.refusals)
	}
}

func checkOutage(t *testing.T, p *play) {
	p.checkRecovery(t)
	p.checkReturns(t)
	p.checkRefusals(t)
}

func checkOrder(t *testing.T, p *play) { p.checkOrder(t) }

func checkInTimeAgain(t *testing.T, p *play) { p.checkRecovery(t) }

func checkOverload(t *testing.T, p *play) {
	p.checkRefusals(t)
	p.checkRecovery(t)
	p.checkReturns(t)
	if p.events == nil {
		p.checkNoneFailed(t)
	}
}

// TestLoads plays loads and failures against the decision states of a fleet. It guards against overloads that invert the
// order of urgency, a Retry-After that callers cannot keep, outages that outlast their cause, and hot keys, speeds and false
// reports that draw or repel requests.
func TestLoads(t *testing.T) {
	for _, l := range playLoads {
		t.Run(l.name, func(t *testing.T) {
			p := playLoad(t, l)
			p.checkAlways(t)
			l.expect(t, p)
		})
	}
}

// TestLoadsUnderContention guards against refusals for contention without contention, overloads that outlast their cause,
// and requests that are neither answered nor refused.
func TestLoadsUnderContention(t *testing.T) {
	for _, l := range playLoads {
		if l.expectContended != nil {
			t.Run(l.name, func(t *testing.T) { l.expectContended(t, playLoad(t, l)) })
		}
	}
}

// playLoad plays a load and logs its outcomes.
func playLoad(t *testing.T, l load) *play {
	p := newPlay(t, l)
	p.run()
	p.logOutcomes()
	return p
}

// TestLoadOfOneWorkspace: one workspace at eight times its usual load leaves the share of the others' requests that is answered
// within 2 percentage points of what it is in the same load without the excess, by kind. It guards against shares that one
// workspace can take from the others.
func TestLoadOfOneWorkspace(t *testing.T) {
	for _, multiple := range []float64{1.8, 2.6} {
		t.Run(fmt.Sprintf("others at %v times the usual", multiple), func(t *testing.T) { playExcess(t, multiple) })
	}
}

// TestLoadOfOneWorkspaceUnderContention is TestLoadOfOneWorkspace with a service that is contended without the excess, too.
func TestLoadOfOneWorkspaceUnderContention(t *testing.T) { playExcess(t, 4) }

func playExcess(t *testing.T, multiple float64) {
	without := playLoad(t, load{seed: 45020, rate: surge(multiple)})
	with := playLoad(t, load{seed: 45020, rate: excess(multiple)})
	with.checkAlways(t)
	for k := -1; k < len(playKinds); k++ {
		others := func(r *callerRequest) bool { return (k < 0 || r.kind == k) && r.workspace != greedy }
		a, b := without.tallyOf(overloadAt, overloadEnd, others), with.tallyOf(overloadAt, overloadEnd, others)
		if b.shareAnswered() < a.shareAnswered()-sameShare {
			name := "all kinds"
			if k >= 0 {
				name = playKinds[k].route.Name
			}
			t.Errorf("%s of the other workspaces: %v, without the excess: %v", name, b, a)
		}
	}
}

// engines returns the model engines in a fixed order.
func (p *play) engines() []*controltest.Endpoint {
	var out []*controltest.Endpoint
	for i := range 12 {
		out = append(out, p.w.Endpoints[fleet.EndpointID(fmt.Sprintf("engine-%d", i))])
	}
	return out
}

// unevenSpeeds slows 15% of the engines down to 2.5 times their time, others every 0.6 s, with reports of four figures.
func unevenSpeeds(p *play) {
	engines := p.engines()
	var next func()
	next = func() {
		for _, e := range engines {
			e.Slowdown, e.Speed = 1, 100
		}
		for _, i := range p.callers.Perm(len(engines))[:2] {
			engines[i].Slowdown, engines[i].Speed = 2.5, 250
		}
		if p.elapsed() < arrivalsEnd {
			p.w.After(600*time.Millisecond, next)
		}
	}
	next()
}

// blackhole has every third endpoint reply to nothing during the overload.
func blackhole(p *play) {
	set := func(blackholed bool) {
		for i, e := range p.engines() {
			e.Blackholed = blackholed && i%3 == 1
		}
		p.w.Endpoints["desk-1"].Blackholed = blackholed
	}
	p.at(overloadAt, func() { set(true) })
	p.at(overloadEnd, func() { set(false) })
}

// isolateDataCentre cuts off data centre b during the overload.
func isolateDataCentre(p *play) {
	beyond := map[string]bool{}
	for _, n := range p.w.Nodes {
		beyond[string(n.ID)] = n.DataCentre == "b"
	}
	for id, e := range p.w.Endpoints {
		beyond[string(id)] = e.DataCentre == "b"
	}
	p.at(overloadAt, func() { p.w.Partitioned = func(a, b string) bool { return beyond[a] != beyond[b] } })
	p.at(overloadEnd, func() { p.w.Partitioned = nil })
}

// killAll kills all gateways a second before the end of the overload. Their callers return together.
func killAll(p *play) {
	p.at(overloadEnd-time.Second, func() {
		for _, n := range p.w.Nodes {
			n.Kill(playRestartTime)
		}
	})
}

// loseAggregator kills the first aggregator of a data centre, and later both of another, while services are contended.
func loseAggregator(p *play) {
	lose := func(at time.Duration, ids ...fleet.InstanceID) {
		p.at(at, func() {
			for _, id := range ids {
				nodeOf(p.w, id).Kill(time.Hour)
			}
		})
	}
	lose(overloadAt+2*time.Second, "a-1")
	lose(overloadAt+4*time.Second, "b-1", "b-2")
}

// lie has two engines and a replica misreport. The engines report four figures.
func lie(misreport func(*control.LoadReport)) func(*play) {
	return func(p *play) {
		for i, e := range p.engines() {
			if e.Speed = 100; i < 2 {
				e.Misreport = misreport
			}
		}
		p.w.Endpoints["desk-0"].Misreport = misreport
	}
}
