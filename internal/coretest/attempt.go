package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// dispatch carries an attempt to its endpoint.
func (n *Node) dispatch(d core.Dispatch) {
	e := n.w.Endpoints[d.Endpoint]
	if f := n.onDispatch; f != nil {
		n.onDispatch = nil
		f()
	}
	n.schedule(n.w.Net.Latency, func() {
		if n.frozen {
			n.held = append(n.held, func() { n.handOver(e, d) })
			return
		}
		n.handOver(e, d)
	})
}

// handOver gives the request to the endpoint, unless the lease has run out.
func (n *Node) handOver(e *Endpoint, d core.Dispatch) {
	notSent := func(cause core.AttemptCause) {
		n.step(core.AttemptNotSent{ID: d.ID, Attempt: d.Attempt, Cause: cause})
	}
	if n.w.Now().After(d.NotAfter) {
		notSent(core.CauseLeaseExpired)
		return
	}
	fail := FailNone
	if e != nil && e.Fail != nil {
		fail = e.Fail(e, d)
	}
	if e == nil || !e.Up || !n.reaches(e) || fail == FailConnect {
		notSent(core.CauseConnect)
		return
	}
	if d.Resume {
		n.step(core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseProtocol, Offset: d.Offset, StreamGone: true})
		return
	}
	if fail == FailRefuse || e.Running >= e.CurrentCapacity() {
		e.Refused++
		notSent(core.CauseRefused)
		return
	}
	if fail == FailBeforeRun {
		n.step(core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset})
		return
	}
	e.take(n, d, fail)
}

func (e *Endpoint) take(n *Node, d core.Dispatch, fail Failure) {
	cached := e.touch(e.w.affinity(d.ID))
	e.Running++
	e.Peak = max(e.Peak, e.Running)
	e.TotalAccepted++
	e.Runs[d.ID]++
	e.w.served[d.ID] = e.ID
	e.LastAccepted = e.w.Now()
	e.sample()
	key := attemptKey{d.ID, n.ID, d.Attempt}
	e.inflight[key] = &inflight{node: n, inc: e.Incarnation}
	n.step(core.AttemptStarted{ID: d.ID, Attempt: d.Attempt, Incarnation: e.Incarnation})
	e.w.observe(e, cached)
	e.w.observeWait(d.ID)
	e.w.After(e.Serve(e, d, cached), func() { e.complete(key, d, cached, fail) })
}

func (e *Endpoint) complete(key attemptKey, d core.Dispatch, cached bool, fail Failure) {
	f := e.inflight[key]
	if f == nil || f.inc != e.Incarnation {
		return
	}
	delete(e.inflight, key)
	e.Running--
	e.sample()
	switch {
	case !f.node.reaches(e) || fail == FailAfterRun:
		f.node.step(core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset, StreamGone: true})
	case fail == FailDuringReply:
		f.node.step(core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset, Offset: 1, StreamGone: true})
	default:
		f.node.step(done(d, cached))
	}
}

func done(d core.Dispatch, cached bool) core.AttemptDone {
	ev := core.AttemptDone{ID: d.ID, Attempt: d.Attempt, Status: 200, Tokens: 100}
	if cached {
		ev.CachedTokens = 1000
	}
	if d.KeepResponse {
		ev.Response = &wire.StoredResponse{Status: 200, Body: []byte(d.ID)}
	}
	return ev
}

// cancel ends an attempt at the endpoint.
func (n *Node) cancel(a core.CancelAttempt) {
	e := n.w.Endpoints[a.Endpoint]
	key := attemptKey{a.ID, n.ID, a.Attempt}
	n.schedule(n.w.Net.Latency+time.Millisecond, func() {
		if e.inflight[key] != nil {
			delete(e.inflight, key)
			e.Running--
			e.sample()
			n.step(core.AttemptLost{ID: a.ID, Attempt: a.Attempt, Cause: core.CauseCancelled})
		}
	})
}

// RunsOf returns how often a request ran at all endpoints together.
func (w *World) RunsOf(id fleet.RequestID) int {
	runs := 0
	for _, e := range w.Endpoints {
		runs += e.Runs[id]
	}
	return runs
}
