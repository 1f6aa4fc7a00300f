package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	answersLoadTime    = 4 * time.Second // in which callers send requests
	maxCallerTimeout   = 6 * time.Second
	outcomeSlack       = 10 * time.Millisecond // beyond a request's deadline
	configPropagation  = 3 * time.Second       // until all gateways use a configuration
	lateAtStop         = 3 * time.Second       // requests that come later in a planned stop must not be cut
	newConnectionShare = 0.3                   // of the requests; the others come on kept connections
)

// answersFleet is a fleet for TestEveryWholeRequestIsAnsweredOrRefused.
type answersFleet struct {
	gateways  []int // per data centre
	engines   int
	replicas  int
	perSecond float64 // requests
	seeds     []uint64
}

// answersRun is one simulation with the calls of all callers.
type answersRun struct {
	answersFleet
	t     *testing.T
	w     *controltest.World
	calls []*controltest.Call
	*offers
	disruptions
}

// TestEveryWholeRequestIsAnsweredOrRefused guards against whole requests without an answer, refusals of requests that have run,
// and responses cut by the gateway, while configurations, endpoints, gateways and the store change.
func TestEveryWholeRequestIsAnsweredOrRefused(t *testing.T) {
	for _, f := range []answersFleet{
		{gateways: []int{18, 19, 17, 19}, engines: 140, replicas: 4, perSecond: 1000, seeds: []uint64{27001, 27002, 27003, 28002, 28017, 30004}},
		{gateways: hugeFleetSizes, engines: 204, replicas: 6, perSecond: 1000, seeds: []uint64{27101, 27102}},
	} {
		for _, seed := range f.seeds {
			t.Run(fmt.Sprintf("%d engines, seed %d", f.engines, seed), func(t *testing.T) {
				r := newAnswersRun(t, f, seed)
				r.play()
				r.check()
			})
		}
	}
}

func newAnswersRun(t *testing.T, f answersFleet, seed uint64) *answersRun {
	t.Logf("seed %d", seed)
	r := &answersRun{answersFleet: f, t: t, w: controltest.New(seed)}
	r.disruptions = newDisruptions(r.w)
	for dc, n := range f.gateways {
		for i := range n {
			r.w.AddNode(fleet.DataCentreID(rune('a'+dc)), i+1)
		}
	}
	r.publishConfig()
	for i := range f.engines {
		r.w.Publish(r.newEngine(fleet.DataCentreID(rune('a' + i%len(f.gateways)))))
	}
	for i := range f.replicas {
		r.w.Publish(r.newReplica(fleet.DataCentreID(rune('a' + i%len(f.gateways)))))
	}
	r.w.Run(convergenceTime)
	return r
}

// play sends calls amid disruptions, until all have ended or should have.
func (r *answersRun) play() {
	r.offers = observeOffers(r.w)
	r.disrupt()
	r.sendCalls()
	r.w.Run(answersLoadTime)
	for deadline := r.w.Elapsed() + maxCallerTimeout + outcomeSlack; r.unfinished() && r.w.Elapsed() < deadline; {
		r.w.Run(100 * time.Millisecond)
	}
}

// sendCalls sends calls of all kinds to random gateways.
func (r *answersRun) sendCalls() {
	until := r.w.Elapsed() + answersLoadTime
	var next func()
	next = func() {
		if r.w.Elapsed() > until {
			return
		}
		r.sendCall()
		r.w.After(time.Duration(r.w.Rand().ExpFloat64()/r.perSecond*float64(time.Second)), next)
	}
	next()
}

func (r *answersRun) sendCall() {
	rng := r.w.Rand()
	c := &controltest.Call{
		ID:      fleet.RequestID(fmt.Sprintf("call-%06d", len(r.calls))),
		Timeout: maxCallerTimeout/2 + time.Duration(rng.Int64N(int64(maxCallerTimeout/2))),
		Events:  4 + rng.IntN(27),
	}
	c.Host, c.Path, c.Key = "h", answerPaths[rng.IntN(len(answerPaths))], answerKeys[rng.IntN(len(answerKeys))]
	if rng.IntN(2) == 0 {
		c.Affinity = fleet.Hash(fmt.Sprint(rng.IntN(100)))
	}
	if rng.IntN(20) == 0 {
		c.LeaveAt = time.Duration(rng.Int64N(int64(time.Second)))
	}
	r.calls = append(r.calls, c)
	r.gateway().Do(c, func(*controltest.Call) {})
}

// gateway returns a gateway to which a caller has a kept connection, or gets a new one.
func (r *answersRun) gateway() *controltest.Node {
	for isNew := r.w.Rand().Float64() < newConnectionShare; ; {
		n := r.w.Nodes[r.w.Rand().IntN(len(r.w.Nodes))]
		if n.Accepts() && (!isNew || n.State.Ready(r.w.Now())) {
			return n
		}
	}
}

// unfinished reports whether calls have no outcome yet.
func (r *answersRun) unfinished() bool {
	return slices.ContainsFunc(r.calls, func(c *controltest.Call) bool { return c.End == 0 })
}

// check checks what became of each call.
func (r *answersRun) check() {
	ends, lacked := map[controltest.CallEnd]int{}, 0
	for _, c := range r.calls {
		ends[c.End]++
		if r.lackedFor(c) {
			lacked++
		}
		if fault := r.faultOf(c); fault != "" {
			r.t.Errorf("%s: %s %s after %v of %v: %s (reason %v, %d runs, %d broke off)", fault, c.ID, c.Path, c.EndedAt.Sub(c.ArrivedAt), c.Timeout, c.End, c.Reason, c.Runs, c.BreakOffs)
		}
	}
	r.t.Logf("%d calls: %v, %d refused while their service lacked endpoints", len(r.calls), ends, lacked)
	due := len(r.calls) - ends[controltest.CallRejected] - lacked
	if 4*ends[controltest.Answered] < 3*due {
		r.t.Errorf("%d of %d calls that were allowed and had an endpoint to go to were answered, want three quarters", ends[controltest.Answered], due)
	}
}

// faultOf returns what is wrong with the outcome of a call, or "".
func (r *answersRun) faultOf(c *controltest.Call) string {
	broke := c.BreakOffs > 0
	switch {
	case c.End == 0:
		return "no outcome"
	case c.EndedAt.Sub(c.ArrivedAt) > c.Timeout+outcomeSlack:
		return "outcome after the deadline"
	case c.Once && c.Runs > 1:
		return "run twice"
	case c.End == controltest.CallRefused && c.Runs > 0:
		return "refused although it ran"
	case c.End == controltest.CallRefused && c.Reason == control.ReasonNoEndpoint && !r.lackedFor(c):
		return "refused although all gateways had to know an endpoint for it"
	case c.End == controltest.CallRejected && r.allowed(c):
		return "rejected although each configuration allows it"
	case c.End == controltest.BadGateway && !broke, c.End == controltest.StreamCut && !broke:
		return "ended by the gateway"
	case c.End == controltest.GatewayTimeout && !broke && !c.Silenced:
		return "no response in time"
	case c.End == controltest.CutAtStop && !excusedAtStop(c):
		return "cut at a planned stop"
	}
	return ""
}

// excusedAtStop reports whether a call may be cut at the end of a planned stop. The platform does not count it if it came within
// lateAtStop of the beginning, its own time limit lies after the end, and its endpoint broke off or was still at work on it.
func excusedAtStop(c *controltest.Call) bool {
	stopBegan := c.EndedAt.Add(-controltest.StopTime(stopGrace))
	return (c.AtWork || c.BreakOffs > 0) && c.ArrivedAt.Sub(stopBegan) <= lateAtStop && c.ArrivedAt.Add(c.Timeout) > c.EndedAt
}

// allowed reports whether all configurations allow a call that a gateway may have used when it arrived.
func (r *answersRun) allowed(c *controltest.Call) bool {
	for i, p := range r.configs {
		replacedAt := boottime.Instant(1<<63 - 1)
		if i+1 < len(r.configs) {
			replacedAt = r.configs[i+1].at.Add(configPropagation)
		}
		if p.at <= c.ArrivedAt && c.ArrivedAt <= replacedAt && !p.allows(c) {
			return false
		}
	}
	return true
}
