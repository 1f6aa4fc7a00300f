package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// dispatch sends an attempt to its endpoint after the network latency.
func (n *Node) dispatch(d core.Dispatch) {
	e := n.w.Endpoints[d.Endpoint]
	if f := n.onDispatch; f != nil {
		n.onDispatch = nil
		f()
	}
	n.schedule(n.w.Net.Latency, func() {
		if n.paused {
			n.deferred = append(n.deferred, func() { n.sendToEndpoint(e, d) })
			return
		}
		n.sendToEndpoint(e, d)
	})
}

// sendToEndpoint delivers the request to the endpoint, or reports that it was not sent or was
// lost: because NotAfter has passed, the endpoint is unreachable or full, or a failure is injected.
func (n *Node) sendToEndpoint(e *Endpoint, d core.Dispatch) {
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
	if e == nil || !e.Up || !n.canReach(e) || fail == FailConnect {
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
	e.accept(n, d, fail)
}

func (e *Endpoint) accept(n *Node, d core.Dispatch, fail Failure) {
	cached := e.touchPrefix(e.w.affinity(d.ID))
	e.Running++
	e.Peak = max(e.Peak, e.Running)
	e.TotalAccepted++
	e.Runs[d.ID]++
	e.w.servedBy[d.ID] = e.ID
	e.LastAccepted = e.w.Now()
	e.sample()
	key := attemptKey{d.ID, n.ID, d.Attempt}
	e.inflight[key] = &attemptRun{node: n, incarnation: e.Incarnation}
	n.step(core.AttemptStarted{ID: d.ID, Attempt: d.Attempt, Incarnation: e.Incarnation})
	e.w.recordPlacement(e, cached)
	e.w.recordWait(d.ID)
	e.w.After(e.Serve(e, d, cached), func() { e.complete(key, d, cached, fail) })
}

func (e *Endpoint) complete(key attemptKey, d core.Dispatch, cached bool, fail Failure) {
	f := e.inflight[key]
	if f == nil || f.incarnation != e.Incarnation {
		return
	}
	delete(e.inflight, key)
	e.Running--
	e.sample()
	switch {
	case !f.node.canReach(e) || fail == FailAfterRun:
		f.node.step(core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset, StreamGone: true})
	case fail == FailDuringReply:
		f.node.step(core.AttemptLost{ID: d.ID, Attempt: d.Attempt, Cause: core.CauseReset, Offset: 1, StreamGone: true})
	default:
		f.node.step(attemptDone(d, cached))
	}
}

func attemptDone(d core.Dispatch, cached bool) core.AttemptDone {
	ev := core.AttemptDone{ID: d.ID, Attempt: d.Attempt, Status: 200, Tokens: 100}
	if cached {
		ev.CachedTokens = 1000
	}
	if d.KeepResponse {
		ev.Response = &wire.StoredResponse{Status: 200, Body: []byte(d.ID)}
	}
	return ev
}

// cancel aborts an attempt at its endpoint.
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

// RunsOf returns the number of times that a request ran, over all endpoints.
func (w *World) RunsOf(id fleet.RequestID) int {
	runs := 0
	for _, e := range w.Endpoints {
		runs += e.Runs[id]
	}
	return runs
}
