package controltest

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// slotQueue holds the attempts at an endpoint with a QueueLimit.
type slotQueue struct {
	running       int
	waiting       []*callAttempt  // by priority, then in the order of their arrival
	cached        map[uint64]bool // affinities whose shared prefix is cached
	prefillFreeAt boottime.Instant
}

// full reports whether the endpoint refuses further requests.
func (e *Endpoint) full() bool {
	return e.QueueLimit > 0 && e.queue.running >= e.Slots && len(e.queue.waiting) >= e.QueueLimit
}

// add begins to run an attempt, or queues it.
func (e *Endpoint) add(a *callAttempt) {
	q := &e.queue
	if q.running < e.Slots {
		q.begin(a)
		return
	}
	i := slices.IndexFunc(q.waiting, func(b *callAttempt) bool { return b.admission.Priority > a.admission.Priority })
	if i < 0 {
		i = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, i, a)
}

// begin runs an attempt in a slot.
func (q *slotQueue) begin(a *callAttempt) {
	q.running++
	a.inSlot = true
	a.Runs++
	if a.admission.Route.Kind == routing.Streaming {
		a.sendEvent()
		return
	}
	a.n.World.After(a.endpoint.slowed(a.endpoint.ServiceTime), a.respond)
}

// leave ends an attempt at its endpoint, and begins to run the next one that waits there.
func (a *callAttempt) leave() {
	e, q := a.endpoint, &a.endpoint.queue
	e.InFlight--
	a.running = false
	if !a.inSlot {
		q.waiting = slices.DeleteFunc(q.waiting, func(b *callAttempt) bool { return b == a })
		return
	}
	a.inSlot = false
	q.running--
	if len(q.waiting) > 0 && !e.Down {
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.begin(next)
	}
}

// refuse responds that the endpoint has no room.
func (a *callAttempt) refuse() {
	a.receive(func() {
		a.n.State.ResponseStarted(a.n.World.Now(), a.placed)
		a.ended(control.RequestRefused, true, false)
	})
	a.endpoint.sendLoadReport(a.n, a.placed)
}

// pause returns the time before the next event of a stream, which is the first of the attempt or not.
func (a *callAttempt) pause(first bool) time.Duration {
	e, q, now := a.endpoint, &a.endpoint.queue, a.n.World.Now()
	if e.QueueLimit == 0 {
		return e.ServiceTime / time.Duration(a.Events)
	}
	pause := e.slowed(e.PerEvent)
	if !first {
		return pause
	}
	tokens := a.Size.PromptTokens
	if q.cached[a.Affinity] {
		tokens -= a.Size.SharedTokens
	}
	if q.cached == nil {
		q.cached = map[uint64]bool{}
	}
	q.cached[a.Affinity] = true
	q.prefillFreeAt = max(q.prefillFreeAt, now).Add(e.slowed(time.Duration(tokens) * e.PerToken))
	return q.prefillFreeAt.Sub(now) + pause
}

// slowed returns the time that the endpoint takes at present for work of a usual time.
func (e *Endpoint) slowed(d time.Duration) time.Duration {
	if e.Slowdown > 0 {
		return time.Duration(float64(d) * e.Slowdown)
	}
	return d
}

// noteFirst records the first event of a call, or its response, with the head of which the endpoint reports its load.
func (a *callAttempt) noteFirst() {
	if a.FirstAt == 0 {
		a.FirstAt = a.n.World.Now()
	}
	if a.endpoint.QueueLimit > 0 && !a.loadReported {
		a.loadReported = true
		a.endpoint.sendLoadReport(a.n, a.placed)
	}
}
