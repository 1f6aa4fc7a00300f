package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Endpoint is a simulated endpoint. It runs as many requests at once as it has Slots, each for
// ServiceTime, and queues the others; with Slots 0 it runs every request at once.
type Endpoint struct {
	fleet.Endpoint
	ServiceTime time.Duration
	Slots       int
	Down        bool                      // it refuses connections
	Blackholed  bool                      // it does not reply to anything
	Failing     bool                      // it responds with a failure of its own
	SilentUntil boottime.Instant          // it is sound, but sends nothing before
	ReportsLoad bool                      // it reports its load with its responses
	ReadTime    time.Duration             // in which it prefills each prompt, as gateways estimate; 0: not estimated
	Speed       int                       // reported with its load, in percent of the usual time; 0: not reported
	Slowdown    float64                   // actual time as a multiple of the usual one; 0: 1
	QueueLimit  int                       // requests that may wait for Slots, the most urgent first; it refuses others; 0: any, in their order
	PerEvent    time.Duration             // of a stream, with a QueueLimit
	PerToken    time.Duration             // prefill time per uncached prompt token, with a QueueLimit; one prompt at a time
	Misreport   func(*control.LoadReport) // changes what it reports; may be nil
	InFlight    int
	Arrivals    []boottime.Instant

	slotFreeAt []boottime.Instant // when each slot becomes free
	queue      slotQueue
	onCrash    []func() // break the streams that run
}

// Crash ends the endpoint's process: its streams break, and it refuses connections.
func (e *Endpoint) Crash() {
	e.Down = true
	breakStreams := e.onCrash
	e.onCrash = nil
	for _, f := range breakStreams {
		f()
	}
}

// Request is a request of a caller.
type Request struct {
	Host     string
	Path     string
	Key      string
	Affinity uint64
	Size     cost.Request // its token counts
}

// Outcome is the result of a request.
type Outcome struct {
	Reason   control.Reason // why it was not served
	Endpoint *Endpoint      // endpoint that answered it; nil: none
	Failed   bool           // the answer is a failure of the endpoint
	Attempts int            // requests sent to endpoints
	At       boottime.Instant

	LoadBefore float64 // requests at the endpoint when this one arrived
	MeanBefore float64 // mean over the service's endpoints at that time
}

// maxAttempts is the maximum number of attempts of a request.
const maxAttempts = 4

// Send sends a request to a gateway. It calls done as soon as the gateway refuses the request,
// or when an endpoint has answered it.
func (n *Node) Send(r Request, done func(Outcome)) {
	w := n.World
	n.run(func() {
		ad := n.State.Admit(w.Now(), control.AdmissionRequest{Host: r.Host, Path: r.Path, APIKey: r.Key, Affinity: r.Affinity})
		if ad.Reason != control.ReasonNone {
			done(Outcome{Reason: ad.Reason, At: w.Now()})
			return
		}
		n.place(control.PlacementRequest{Service: ad.Service, Affinity: r.Affinity}, 1, done)
	})
}

func (n *Node) place(req control.PlacementRequest, attemptNumber int, done func(Outcome)) {
	w, process := n.World, n.incarnation
	p := n.State.Place(w.Now(), req)
	if p.Reason != control.ReasonNone || attemptNumber > maxAttempts {
		done(Outcome{Reason: p.Reason, Attempts: attemptNumber - 1, At: w.Now()})
		return
	}
	req.Tried = append(req.Tried, p.Attempt.Endpoint)
	e := w.Endpoints[p.Attempt.Endpoint]
	retry := func(d time.Duration, r control.AttemptResult) {
		w.After(d, func() {
			if n.incarnation != process {
				return
			}
			n.run(func() {
				n.State.AttemptEnded(w.Now(), p.Attempt, r)
				n.place(req, attemptNumber+1, done)
			})
		})
	}
	switch {
	case e.Blackholed || w.partitioned(string(n.ID), string(e.ID)):
		retry(probeTimeout, control.ConnectTimedOut)
	case e.Down:
		retry(2*networkDelay, control.ConnectionRefused)
	default:
		w.After(networkDelay, func() { n.runAt(e, p.Attempt, attemptNumber, done) })
	}
}

func (n *Node) runAt(e *Endpoint, attempt *control.Attempt, attemptNumber int, done func(Outcome)) {
	w, process := n.World, n.incarnation
	if e.ReadTime > 0 {
		n.run(func() { n.State.PromptSent(w.Now(), attempt, e.ReadTime) })
		w.After(e.ReadTime+networkDelay, func() {
			if n.incarnation == process {
				n.run(func() { n.State.PromptRead(w.Now(), attempt) })
			}
		})
	}
	o := Outcome{Endpoint: e, Attempts: attemptNumber, LoadBefore: float64(e.InFlight), MeanBefore: w.mean(e.Service)}
	e.Arrivals = append(e.Arrivals, w.Now())
	e.InFlight++
	e.sendLoadReport(n, attempt)
	w.After(e.enqueue(w.Now()), func() {
		e.InFlight--
		o.At = w.Now()
		result := control.ResponseComplete
		if e.Failing {
			result, o.Failed = control.EndpointFailed, true
		}
		done(o)
		w.After(networkDelay, func() {
			if n.incarnation == process {
				n.run(func() { n.State.AttemptEnded(w.Now(), attempt, result) })
			}
		})
	})
}

// sendLoadReport sends the endpoint's load with the head of the response to an attempt.
func (e *Endpoint) sendLoadReport(n *Node, attempt *control.Attempt) {
	if !e.ReportsLoad {
		return
	}
	w, process := n.World, n.incarnation
	report := control.LoadReport{Running: e.InFlight, Speed: e.Speed}
	if e.QueueLimit > 0 {
		report.Running, report.Waiting = e.queue.running, len(e.queue.waiting)
	}
	if e.Misreport != nil {
		e.Misreport(&report)
	}
	w.After(networkDelay, func() {
		if n.incarnation == process {
			n.run(func() { n.State.ReportLoad(w.Now(), attempt, report) })
		}
	})
}

// enqueue adds a request that arrives at now and returns the time until it is done.
func (e *Endpoint) enqueue(now boottime.Instant) time.Duration {
	if e.Slots == 0 {
		return e.ServiceTime
	}
	if len(e.slotFreeAt) < e.Slots {
		e.slotFreeAt = append(e.slotFreeAt, now.Add(e.ServiceTime))
		return e.ServiceTime
	}
	first := 0
	for i, at := range e.slotFreeAt {
		if at < e.slotFreeAt[first] {
			first = i
		}
	}
	e.slotFreeAt[first] = max(e.slotFreeAt[first], now).Add(e.ServiceTime)
	return e.slotFreeAt[first].Sub(now)
}

// mean returns the mean number of requests at the endpoints of a service.
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

// MaxArrivals returns the highest number of arrivals in any interval of the given length that
// begins at or after from.
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
