package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Phases of a play. Requests belong to the phase in which their callers first send them.
const (
	warmupTime   = 5 * time.Second // the usual load, in which gateways learn costs; not checked
	beforeTime   = 3 * time.Second
	overloadTime = 6 * time.Second
	recoveryTime = 2 * time.Second // within which requests are answered in time again
	afterTime    = 4 * time.Second
	endTime      = 12 * time.Second // until every request has ended

	overloadAt  = warmupTime + beforeTime
	overloadEnd = overloadAt + overloadTime
	arrivalsEnd = overloadEnd + recoveryTime + afterTime
)

const (
	playWorkspaces  = 12
	playAffinities  = 40                     // of each kind
	playRestartTime = 300 * time.Millisecond // of a gateway
)

// kind is a kind of request with its usual rate.
type kind struct {
	route     routing.Route
	perSecond float64
	size      cost.Request
	events    int
	limit     time.Duration // that callers give
}

// playKinds are the kinds of request, those of one service in descending order of their urgency.
var playKinds = []kind{
	{playRoute("ask", routing.Streaming, llm, 0, 300), 70, cost.Request{PromptTokens: 800, SharedTokens: 600, MaxOutputTokens: 240, LengthHint: 120}, 10, 6 * time.Second},
	{playRoute("chat", routing.Streaming, llm, 1, 600), 50, cost.Request{PromptTokens: 1600, SharedTokens: 1200, MaxOutputTokens: 240, LengthHint: 144}, 12, 8 * time.Second},
	{playRoute("batch", routing.Streaming, llm, 2, 1200), 30, cost.Request{PromptTokens: 6000, SharedTokens: 3000, MaxOutputTokens: 400, LengthHint: 192}, 16, 10 * time.Second},
	{playRoute("form", routing.Idempotent, desk, 0, 250), 70, cost.Request{}, 0, 4 * time.Second},
	{playRoute("book", routing.NonIdempotent, desk, 1, 500), 30, cost.Request{}, 0, 4 * time.Second},
}

func playRoute(name string, k routing.Kind, service fleet.ServiceID, priority int, milliseconds time.Duration) routing.Route {
	r := routing.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: k, Priority: priority, GoalLatency: milliseconds * time.Millisecond, MaxAttempts: 2,
		Targets: []routing.Target{{Service: service, Weight: 1}},
	}
	if k == routing.Streaming {
		r.Resumable, r.Sticky, r.GoalEventGap = true, true, 250*time.Millisecond
	}
	return r
}

// load is a load and failures to play.
type load struct {
	name     string
	seed     uint64
	rate     func(k, workspace int, at time.Duration) float64 // of a kind and workspace, in multiples of the usual one; nil: 1
	gateways []int                                            // per data centre; nil: 16 gateways, which exchange their loads without aggregators
	hotKind  int                                              // kind of which a quarter has one affinity during the overload; 0: none, as are kinds 0 and without prompts
	events   func(p *play)                                    // schedules failures; may be nil
	repeats  int                                              // of impatient callers, which repeat at once; 0: callers return once, after Retry-After
	expect   func(t *testing.T, p *play)                      // checks the outcomes
	// expectContended checks what TestLoadsUnderContention is about; nil: nothing.
	expectContended func(t *testing.T, p *play)
	samePriority    bool // of all routes
}

// callerRequest is a request of a caller with what became of it, over all its calls.
type callerRequest struct {
	kind, workspace int
	at              time.Duration
	calls           []*controltest.Call
	badRetryAfter   string // a Retry-After that was too long
}

// play is a simulation of one load.
type play struct {
	load
	t        *testing.T
	w        *controltest.World
	start    time.Duration // of the load, in the world's time
	callers  *rand.Rand    // draws what callers do in response to what they get
	requests []*callerRequest
	targets  map[fleet.ServiceID]float64          // of the utilization, the lowest that a gateway has logged
	below    map[fleet.ServiceID]boottime.Instant // since when the utilization is below its target; 0: it is not
	tooEarly map[fleet.ServiceID]int              // refusals for contention while it had been below for long enough to be known
	refusals int                                  // for contention
	samples  map[fleet.EndpointID]int
	arrivals map[fleet.EndpointID]int
	over     int // attempts at endpoints above the load bound
	attempts int

	onAttempt func(*controltest.Call, *controltest.Endpoint) // called with each attempt; may be nil
}

// newPlay returns a play after the fleet has converged.
func newPlay(t *testing.T, l load) *play {
	t.Logf("seed %d", l.seed)
	p := &play{load: l, t: t, w: playWorld(l), callers: rand.New(rand.NewPCG(l.seed, 2)), targets: map[fleet.ServiceID]float64{},
		below: map[fleet.ServiceID]boottime.Instant{}, tooEarly: map[fleet.ServiceID]int{}, samples: map[fleet.EndpointID]int{}, arrivals: map[fleet.EndpointID]int{}}
	p.w.Write(publishedtest.Config(playConfig(l.samePriority)))
	for i := range 12 {
		p.w.Publish(playEngine(i))
	}
	for i := range 3 {
		p.w.Publish(playReplica(i))
	}
	p.w.Run(convergenceTime)
	p.start = p.w.Elapsed()
	return p
}

// at schedules f at a time of the play.
func (p *play) at(at time.Duration, f func()) { p.w.After(p.start+at-p.w.Elapsed(), f) }

// elapsed returns the time of the play.
func (p *play) elapsed() time.Duration { return p.w.Elapsed() - p.start }

func during(at time.Duration) bool { return at >= overloadAt && at < overloadEnd }

// run plays the load until every request has ended. Each kind of each workspace has a generator of its own, so that the requests
// of the others are the same when one sends more.
func (p *play) run() {
	p.w.OnLog = func(_ *controltest.Node, l control.Log) {
		if l.Event == event.ContentionChanged {
			p.noteTarget(l.Fields[1].(fleet.ServiceID), l.Fields[7].(float64))
		}
	}
	p.w.OnAttempt = func(c *controltest.Call, e *controltest.Endpoint) {
		if p.onAttempt != nil {
			p.onAttempt(c, e)
		}
		p.attempts++
		p.arrivals[e.ID]++
		if float64(e.InFlight) > 2*p.meanLoad(e.Service)+3 {
			p.over++
		}
	}
	for k := range playKinds {
		for ws := range playWorkspaces {
			p.send(k, ws, rand.New(rand.NewPCG(p.seed, uint64(100+k*playWorkspaces+ws))))
		}
	}
	if p.events != nil {
		p.events(p)
	}
	p.sample()
	p.w.Run(arrivalsEnd + endTime)
}

// send sends the requests of one kind and workspace.
func (p *play) send(k, ws int, rng *rand.Rand) {
	const most = 9 // multiple of the usual rate; arrivals are thinned to the present one
	usual := playKinds[k].perSecond / playWorkspaces
	p.w.After(time.Duration(rng.ExpFloat64()/(most*usual)*float64(time.Second)), func() {
		if p.elapsed() > arrivalsEnd {
			return
		}
		rate, draw, affinity, hot := 1.0, rng.Float64(), rng.IntN(playAffinities), rng.Float64() < 0.25
		if p.rate != nil {
			rate = p.rate(k, ws, p.elapsed())
		}
		if hot && k == p.hotKind && k > 0 && during(p.elapsed()) {
			affinity = 0
		}
		if draw < rate/most {
			r := &callerRequest{kind: k, workspace: ws, at: p.elapsed()}
			p.requests = append(p.requests, r)
			p.call(r, affinity, 0)
		}
		p.send(k, ws, rng)
	})
}

// call sends a caller's request, or sends it again.
func (p *play) call(r *callerRequest, affinity, again int) {
	kind := &playKinds[r.kind]
	n := p.gateway()
	if n == nil {
		if p.elapsed() < r.at+kind.limit {
			p.w.After(50*time.Millisecond, func() { p.call(r, affinity, again) })
		}
		return
	}
	left := r.at + kind.limit - p.elapsed()
	c := &controltest.Call{
		ID: fleet.RequestID(fmt.Sprintf("%s-%d-%d-%d", kind.route.Name, r.workspace, r.at, again)), Timeout: left, Events: kind.events,
		Patience: max(2*time.Second, 4*kind.route.GoalLatency, 8*kind.route.GoalEventGap),
	}
	c.Host, c.Path, c.Key, c.Size = "h", kind.route.Prefix+"x", fmt.Sprintf("ws-%d", r.workspace), kind.size
	if kind.events > 0 {
		c.Affinity = fleet.Hash(fmt.Sprintf("%s %d", kind.route.Name, affinity))
	}
	r.calls = append(r.calls, c)
	n.Do(c, func(c *controltest.Call) { p.ended(r, c, affinity, again) })
}

// gateway returns a random gateway that takes requests, or nil.
func (p *play) gateway() *controltest.Node {
	for _, i := range p.callers.Perm(len(p.w.Nodes)) {
		if n := p.w.Nodes[i]; n.Accepts() && n.State.Ready(p.w.Now()) {
			return n
		}
	}
	return nil
}

// ended has a caller return after a call without an answer.
func (p *play) ended(r *callerRequest, c *controltest.Call, affinity, again int) {
	kind := &playKinds[r.kind]
	left := r.at + kind.limit - p.elapsed()
	if c.End == controltest.CallRefused {
		p.noteRefusal(c)
		if left > 0 && c.RetryAfter > left/3 {
			r.badRetryAfter = fmt.Sprintf("Retry-After %v with %v left, reason %v", c.RetryAfter, left, c.Reason)
			return
		}
	}
	switch {
	case c.End == controltest.Answered || left <= time.Millisecond:
	case p.repeats > 0 && again < p.repeats:
		p.w.After(time.Millisecond, func() { p.call(r, affinity, again+1) })
	case again == 0 && (c.End == controltest.CallRefused || c.End == controltest.GatewayKilled || !c.Once):
		p.w.After(c.RetryAfter+time.Millisecond, func() { p.call(r, affinity, again+1) })
	}
}

// noteTarget records a target of the utilization of a service.
func (p *play) noteTarget(service fleet.ServiceID, target float64) {
	if old := p.targets[service]; old == 0 || target < old {
		p.targets[service] = target
	}
}

// noteRefusal counts a refusal for contention, and whether the service's utilization had been below its target for the time
// in which all gateways learn of it.
func (p *play) noteRefusal(c *controltest.Call) {
	if c.Reason != control.ReasonContention {
		return
	}
	p.refusals++
	service := playKinds[routeKind(c)].route.Targets[0].Service
	if since := p.below[service]; since != 0 && p.w.Now().Sub(since) > propagationTime {
		p.tooEarly[service]++
	}
}

func routeKind(c *controltest.Call) int {
	for i := range playKinds {
		if playKinds[i].route.Prefix+"x" == c.Path {
			return i
		}
	}
	panic("no kind for " + c.Path)
}

// meanLoad returns the mean number of requests at the endpoints of a service.
func (p *play) meanLoad(service fleet.ServiceID) float64 {
	load, n := 0, 0
	for _, e := range p.w.Endpoints {
		if e.Service == service {
			load, n = load+e.InFlight, n+1
		}
	}
	return float64(load) / float64(n)
}

// sample observes the load of the endpoints every 20 ms.
func (p *play) sample() {
	for _, service := range []fleet.ServiceID{llm, desk} {
		load, slots := 0, 0
		for _, e := range p.w.Endpoints {
			if e.Service == service {
				p.samples[e.ID] += e.InFlight
			}
			if e.Service == service && !e.Blackholed {
				load, slots = load+e.InFlight, slots+e.Slots
			}
		}
		partitioned := p.w.Partitioned != nil // each side has a utilization of its own
		if target := p.targets[service]; target == 0 || partitioned || float64(load) >= target*float64(slots) {
			p.below[service] = 0
		} else if p.below[service] == 0 {
			p.below[service] = p.w.Now()
		}
	}
	if p.elapsed() < arrivalsEnd {
		p.w.After(20*time.Millisecond, p.sample)
	}
}

// startInstant returns the time at which the load began.
func (p *play) startInstant() boottime.Instant { return p.w.Now().Add(p.start - p.w.Elapsed()) }
