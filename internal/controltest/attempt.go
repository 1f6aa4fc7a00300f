package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/attempts"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// Timeouts of the gateway's watchdog, as in package ingress.
const (
	probeDelay           = 150 * time.Millisecond
	hangTimeout          = 600 * time.Millisecond // for routes with short latency goals
	overdueCheckInterval = 250 * time.Millisecond
	unreachableSilence   = 350 * time.Millisecond
	watchInterval        = 50 * time.Millisecond
)

// callAttempt is one attempt of a call at an endpoint.
type callAttempt struct {
	*call
	endpoint     *Endpoint
	placed       *control.Attempt
	closed       bool
	running      bool // the endpoint runs the request, or has queued it
	inSlot       bool // it runs in a slot of an endpoint with a QueueLimit
	loadReported bool // such an endpoint has reported its load with the response
	lastProgress boottime.Instant
	suspected    bool             // the endpoint was probed since the last progress
	nextCheck    boottime.Instant // whether to give the attempt up
}

func (c *call) send(placed *control.Attempt) {
	w := c.n.World
	e := w.Endpoints[placed.Endpoint]
	a := &callAttempt{call: c, endpoint: e, placed: placed, lastProgress: w.Now()}
	c.attempt = a
	c.tried = append(c.tried, placed.Endpoint)
	if w.OnAttempt != nil {
		w.OnAttempt(c.Call, e)
	}
	switch {
	case e.Blackholed || w.partitioned(string(c.n.ID), string(e.ID)):
		w.After(probeTimeout, func() { a.fail(control.ConnectTimedOut, false) })
	case e.Down:
		w.After(2*networkDelay, func() { a.fail(control.ConnectionRefused, false) })
	default:
		w.After(networkDelay, a.arrive)
		w.After(watchInterval, a.watch)
	}
}

// arrive begins the run at the endpoint.
func (a *callAttempt) arrive() {
	w, e := a.n.World, a.endpoint
	if a.closed {
		return
	}
	if e.Down {
		a.fail(control.ConnectionRefused, false)
		return
	}
	if e.full() {
		a.refuse()
		return
	}
	a.running = true
	e.Arrivals = append(e.Arrivals, w.Now())
	e.InFlight++
	e.onCrash = append(e.onCrash, a.breakOff)
	if e.QueueLimit > 0 {
		e.add(a)
		return
	}
	a.Runs++
	e.sendLoadReport(a.n, a.placed)
	if a.admission.Route.Kind == routing.Streaming {
		a.sendEvent()
		return
	}
	w.After(e.enqueue(w.Now()), a.respond)
}

// stopped reports whether the endpoint no longer runs the request.
func (a *callAttempt) stopped() bool { return a.closed || !a.running }

// whenSpeaking runs f now, or once the endpoint is no longer silent.
func (a *callAttempt) whenSpeaking(f func()) {
	w := a.n.World
	if a.stopped() {
		return
	}
	if d := a.endpoint.SilentUntil.Sub(w.Now()); d > 0 {
		a.Silenced = true
		w.After(d, func() { a.whenSpeaking(f) })
		return
	}
	f()
}

// respond sends a response that is not a stream.
func (a *callAttempt) respond() {
	a.whenSpeaking(func() {
		a.leave()
		if a.endpoint.Failing {
			a.BreakOffs++
			a.receive(func() { a.ownFailure = true; a.ended(control.EndpointFailed, true, true) })
			return
		}
		a.receive(a.complete)
	})
}

// sendEvent sends the next event of a stream after a pause, and its end after the last one.
func (a *callAttempt) sendEvent() {
	next := a.call.received + 1
	var send func(n int)
	send = func(n int) {
		a.n.World.After(a.pause(n == next), func() {
			a.whenSpeaking(func() {
				if n > a.Events {
					a.leave()
					a.receive(a.complete)
					return
				}
				a.receive(a.event)
				send(n + 1)
			})
		})
	}
	send(next)
}

// receive runs f in the gateway when what the endpoint sends now arrives there.
func (a *callAttempt) receive(f func()) {
	a.n.World.After(networkDelay, func() {
		a.step(func() {
			if !a.closed {
				f()
			}
		})
	})
}

// event forwards an event of a stream to the caller.
func (a *callAttempt) event() {
	now := a.n.World.Now()
	a.lastProgress, a.suspected = now, false
	a.placed.NoteEvent(now)
	a.n.State.ResponseStarted(now, a.placed)
	if a.call.received == 0 && a.admission.Route.Resumable {
		a.n.State.StreamStarted(now, a.ID, a.placed, a.deadline.Sub(now)+time.Second)
	}
	a.call.received++
	a.noteFirst()
}

func (a *callAttempt) complete() {
	a.noteFirst()
	a.n.State.ResponseStarted(a.n.World.Now(), a.placed)
	a.close(control.ResponseComplete)
	a.end(Answered, control.ReasonNone)
}

// breakOff is the end of the endpoint's process.
func (a *callAttempt) breakOff() {
	if a.stopped() {
		return
	}
	a.leave()
	a.fail(control.ResponseBroken, true)
}

// fail ends the attempt because of the endpoint.
func (a *callAttempt) fail(r control.AttemptResult, sent bool) {
	if sent {
		a.BreakOffs++
	}
	a.receive(func() { a.ended(r, sent, sent) })
}

func (a *callAttempt) ended(r control.AttemptResult, maybeSent, mayHaveRun bool) {
	a.close(r)
	a.lastResult = r
	a.attemptEnded(maybeSent, mayHaveRun)
}

// close ends the attempt. An endpoint that still runs the request stops when the close has reached it.
func (a *callAttempt) close(r control.AttemptResult) {
	if a.closed {
		return
	}
	a.closed = true
	if a.running {
		a.leave()
	}
	a.n.State.AttemptEnded(a.n.World.Now(), a.placed, r)
}

// watch is the gateway's watchdog.
func (a *callAttempt) watch() {
	if a.closed || a.End != 0 || a.n.incarnation != a.process {
		return
	}
	a.step(a.checkSilence)
	a.n.World.After(watchInterval, a.watch)
}

func (a *callAttempt) checkSilence() {
	now := a.n.World.Now()
	silence := now.Sub(a.lastProgress)
	if a.closed || silence < probeDelay {
		return
	}
	if !a.suspected {
		a.suspected = true
		a.n.State.Suspect(now, a.placed)
	}
	if attempts.RetryDenied(a.count+1, a.mayHaveRun+1, 0, a.admission.Route) != control.ReasonNone || now < a.nextCheck || silence < unreachableSilence {
		return
	}
	a.nextCheck = now.Add(overdueCheckInterval)
	a.reserved = a.n.State.GiveUp(now, control.SilentAttempt{
		Attempt: a.placed, Silence: silence, HangTimeout: hangTimeout, UnreachableTimeout: unreachableSilence, Retry: a.placementRequest(),
	})
	if a.reserved != nil {
		a.givenUp = append(a.givenUp, a.placed.Endpoint)
		a.ended(a.reserved.Result, true, true)
	}
}
