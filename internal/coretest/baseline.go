package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/placement"
)

// Policy is a placement policy that a World uses in place of the cores' decisions,
// to compare with. It returns nil to refuse.
type Policy interface {
	Choose(w *World, router fleet.InstanceID, req core.CallerRequest) *Endpoint
	Ended(router fleet.InstanceID, e *Endpoint)
}

// chosen is a request that a Chooser placed.
type chosen struct {
	router fleet.InstanceID
	e      *Endpoint
}

func (w *World) choose(n *Node, req core.CallerRequest) {
	e := w.Policy.Choose(w, n.ID, req)
	if e == nil {
		w.finish(core.Finish{ID: req.ID, Outcome: core.NotRun, Reason: core.ReasonOverloaded})
		return
	}
	w.placed[req.ID] = chosen{n.ID, e}
	w.After(w.Net.Latency, func() { n.handOver(e, core.Dispatch{ID: req.ID, Attempt: 1, NotAfter: w.Now().Add(time.Minute)}) })
}

// observeAttempt ends the requests of a Chooser.
func (w *World) observeAttempt(ev core.Event) {
	switch ev := ev.(type) {
	case core.AttemptDone:
		w.endChosen(ev.ID, core.Answered)
	case core.AttemptLost:
		w.endChosen(ev.ID, core.Unknown)
	case core.AttemptNotSent:
		w.endChosen(ev.ID, core.NotRun)
	}
}

func (w *World) endChosen(id fleet.RequestID, o core.Outcome) {
	c, ok := w.placed[id]
	if !ok {
		return
	}
	delete(w.placed, id)
	w.Policy.Ended(c.router, c.e)
	w.finish(core.Finish{ID: id, Outcome: o, Reason: core.ReasonEndpointFailed})
}

func (w *World) candidates(req core.CallerRequest) []*fleet.Endpoint {
	v := fleet.NewView(w.Platform.config, nil, w.Platform.endpoints)
	pool := fleet.Pool{Region: "region-1", Model: req.Model, Service: req.Service}
	return placement.Rank(v, pool, req.Affinity, "")
}

// Rendezvous places every chat on its best ranked endpoint.
type Rendezvous struct{}

// Choose implements Chooser.
func (Rendezvous) Choose(w *World, _ fleet.InstanceID, req core.CallerRequest) *Endpoint {
	c := w.candidates(req)
	if len(c) == 0 {
		return nil
	}
	return w.Endpoints[c[0].ID]
}

// Ended implements Chooser.
func (Rendezvous) Ended(fleet.InstanceID, *Endpoint) {}

// TwoChoices places a request on the less loaded of two random endpoints, by reports
// that lag.
type TwoChoices struct{}

// Choose implements Chooser.
func (TwoChoices) Choose(w *World, _ fleet.InstanceID, req core.CallerRequest) *Endpoint {
	c := w.candidates(req)
	if len(c) == 0 {
		return nil
	}
	a := w.Endpoints[c[w.rng.IntN(len(c))].ID]
	b := w.Endpoints[c[w.rng.IntN(len(c))].ID]
	if b.report().Running < a.report().Running {
		return b
	}
	return a
}

// Ended implements Chooser.
func (TwoChoices) Ended(fleet.InstanceID, *Endpoint) {}

// LeastReported places a request on the endpoint with the lowest reported load.
type LeastReported struct{}

// Choose implements Chooser.
func (LeastReported) Choose(w *World, _ fleet.InstanceID, req core.CallerRequest) *Endpoint {
	var best *Endpoint
	load := 0
	for _, c := range w.candidates(req) {
		e := w.Endpoints[c.ID]
		if r := e.report().Running; best == nil || r < load {
			best, load = e, r
		}
	}
	return best
}

// Ended implements Chooser.
func (LeastReported) Ended(fleet.InstanceID, *Endpoint) {}

// DividedCaps gives each router an equal part of each endpoint's capacity and places a
// chat on the best ranked endpoint on which the router has some left.
type DividedCaps struct {
	used map[[2]string]int
}

// Choose implements Chooser.
func (d *DividedCaps) Choose(w *World, router fleet.InstanceID, req core.CallerRequest) *Endpoint {
	if d.used == nil {
		d.used = map[[2]string]int{}
	}
	for _, c := range w.candidates(req) {
		part := max(1, c.Capacity/len(w.Nodes))
		key := [2]string{string(router), string(c.ID)}
		if d.used[key] < part {
			d.used[key]++
			return w.Endpoints[c.ID]
		}
	}
	return nil
}

// Ended implements Chooser.
func (d *DividedCaps) Ended(router fleet.InstanceID, e *Endpoint) {
	d.used[[2]string{string(router), string(e.ID)}]--
}
