package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Endpoint is a fake endpoint. It runs as many requests as it has Slots at once, each for
// Takes, and the others after them; without Slots it runs every request at once.
type Endpoint struct {
	fleet.Endpoint
	ServiceTime time.Duration
	Slots       int
	Down        bool // its port refuses connections
	Blackholed  bool // it does not answer
	InFlight    int
	Arrivals    []boottime.Instant

	free []boottime.Instant // when each slot is free
}

// Request is one request of a caller.
type Request struct {
	Host     string
	Path     string
	Key      string
	Affinity uint64
}

// Outcome is what became of a request.
type Outcome struct {
	Reason   control.Reason // why it was not placed
	Endpoint *Endpoint      // where it ran last, nil: nowhere
	Sends    int
	At       boottime.Instant

	LoadBefore float64 // requests that the endpoint held when this one arrived
	MeanBefore float64 // of the service's endpoints
}

// maxSends bounds the endpoints that one request is sent to.
const maxSends = 4

// Send sends a request to a gateway. It ends at once if the gateway refuses it, else when
// its endpoint has answered it.
func (n *Node) Send(r Request, done func(Outcome)) {
	w := n.World
	n.do(func() {
		ad := n.State.Admit(w.Now(), control.AdmissionRequest{Host: r.Host, Path: r.Path, Key: r.Key, Affinity: r.Affinity})
		if ad.Reason != control.ReasonNone {
			done(Outcome{Reason: ad.Reason, At: w.Now()})
			return
		}
		n.place(control.PlacementRequest{Service: ad.Service, Affinity: r.Affinity}, 1, done)
	})
}

func (n *Node) place(want control.PlacementRequest, send int, done func(Outcome)) {
	w, process := n.World, n.incarnation
	p := n.State.Place(w.Now(), want)
	if p.Reason != control.ReasonNone || send > maxSends {
		done(Outcome{Reason: p.Reason, Sends: send - 1, At: w.Now()})
		return
	}
	want.Tried = append(want.Tried, p.Attempt.Endpoint)
	e := w.Endpoints[p.Attempt.Endpoint]
	again := func(d time.Duration, r control.Result) {
		w.After(d, func() {
			if n.incarnation != process {
				return
			}
			n.do(func() {
				n.State.AttemptEnded(w.Now(), p.Attempt, r)
				n.place(want, send+1, done)
			})
		})
	}
	switch {
	case e.Blackholed || w.cut(string(n.ID), string(e.ID)):
		again(probeTimeout, control.Unreachable)
	case e.Down:
		again(2*hop, control.ConnectionRefused)
	default:
		w.After(hop, func() { n.runAt(e, p.Attempt, send, done) })
	}
}

func (n *Node) runAt(e *Endpoint, t *control.Attempt, send int, done func(Outcome)) {
	w, process := n.World, n.incarnation
	o := Outcome{Endpoint: e, Sends: send, LoadBefore: float64(e.InFlight), MeanBefore: w.mean(e.Service)}
	e.Arrivals = append(e.Arrivals, w.Now())
	e.InFlight++
	w.After(e.turn(w.Now()), func() {
		e.InFlight--
		o.At = w.Now()
		done(o)
		w.After(hop, func() {
			if n.incarnation == process {
				n.do(func() { n.State.AttemptEnded(w.Now(), t, control.Answered) })
			}
		})
	})
}

// turn returns when a request that arrives now is done.
func (e *Endpoint) turn(now boottime.Instant) time.Duration {
	if e.Slots == 0 {
		return e.ServiceTime
	}
	if len(e.free) < e.Slots {
		e.free = append(e.free, now.Add(e.ServiceTime))
		return e.ServiceTime
	}
	first := 0
	for i, at := range e.free {
		if at < e.free[first] {
			first = i
		}
	}
	e.free[first] = max(e.free[first], now).Add(e.ServiceTime)
	return e.free[first].Sub(now)
}

// mean returns the requests that the endpoints of a service hold on average.
func (w *World) mean(service fleet.ServiceID) float64 {
	total, n := 0, 0
	for _, e := range w.Endpoints {
		if e.Service == service {
			total += e.InFlight
			n++
		}
	}
	return float64(total) / float64(n)
}

// MaxArrivals returns the highest number of arrivals in any span of a length that
// begins at or after a time.
func (e *Endpoint) MaxArrivals(from boottime.Instant, span time.Duration) int {
	most := 0
	for i, at := range e.Arrivals {
		if at < from {
			continue
		}
		n := 0
		for _, later := range e.Arrivals[i:] {
			if later.Sub(at) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
