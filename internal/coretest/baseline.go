package coretest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/placement"
)

// Policy is a baseline placement policy that a World uses in place of the cores, for
// comparison. Choose returns nil to refuse the request. Ended is called when a placed
// request has ended.
type Policy interface {
	Choose(w *World, router fleet.InstanceID, req core.CallerRequest) *Endpoint
	Ended(router fleet.InstanceID, e *Endpoint)
}

// placedRequest is a request that a Policy placed.
type placedRequest struct {
	router   fleet.InstanceID
	endpoint *Endpoint
}

func (w *World) placeByPolicy(n *Node, req core.CallerRequest) {
	e := w.Policy.Choose(w, n.ID, req)
	if e == nil {
		w.finish(core.Finish{ID: req.ID, Outcome: core.NotRun, Reason: core.ReasonOverloaded})
		return
	}
	w.placed[req.ID] = placedRequest{n.ID, e}
	w.After(w.Net.Latency, func() { n.sendToEndpoint(e, core.Dispatch{ID: req.ID, Attempt: 1, NotAfter: w.Now().Add(time.Minute)}) })
}

// endPlacedAttempt finishes the request of an attempt that a Policy placed.
func (w *World) endPlacedAttempt(ev core.Event) {
	switch ev := ev.(type) {
	case core.AttemptDone:
		w.finishPlaced(ev.ID, core.Answered)
	case core.AttemptLost:
		w.finishPlaced(ev.ID, core.Unknown)
	case core.AttemptNotSent:
		w.finishPlaced(ev.ID, core.NotRun)
	}
}

func (w *World) finishPlaced(id fleet.RequestID, o core.Outcome) {
	c, ok := w.placed[id]
	if !ok {
		return
	}
	delete(w.placed, id)
	w.Policy.Ended(c.router, c.endpoint)
	w.finish(core.Finish{ID: id, Outcome: o, Reason: core.ReasonEndpointFailed})
}

func (w *World) rankedEndpoints(req core.CallerRequest) []*fleet.Endpoint {
	v := fleet.NewView(w.Platform.config, nil, w.Platform.endpoints)
	pool := fleet.Pool{Region: "region-1", Model: req.Model, Service: req.Service}
	return placement.Rank(v, pool, req.Affinity, "")
}

// Rendezvous places a chat on its endpoint of highest rank by rendezvous hashing.
type Rendezvous struct{}

// Choose implements Policy.
func (Rendezvous) Choose(w *World, _ fleet.InstanceID, req core.CallerRequest) *Endpoint {
	c := w.rankedEndpoints(req)
	if len(c) == 0 {
		return nil
	}
	return w.Endpoints[c[0].ID]
}

// Ended implements Policy.
func (Rendezvous) Ended(fleet.InstanceID, *Endpoint) {}

// TwoChoices places a request on the less loaded of two random endpoints, according to
// delayed load reports.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(w *World, _ fleet.InstanceID, req core.CallerRequest) *Endpoint {
	c := w.rankedEndpoints(req)
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

// Ended implements Policy.
func (TwoChoices) Ended(fleet.InstanceID, *Endpoint) {}

// LeastReported places a request on the endpoint with the lowest load in the delayed
// load reports.
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(w *World, _ fleet.InstanceID, req core.CallerRequest) *Endpoint {
	var best *Endpoint
	load := 0
	for _, c := range w.rankedEndpoints(req) {
		e := w.Endpoints[c.ID]
		if r := e.report().Running; best == nil || r < load {
			best, load = e, r
		}
	}
	return best
}

// Ended implements Policy.
func (LeastReported) Ended(fleet.InstanceID, *Endpoint) {}

// DividedCaps statically divides each endpoint's capacity equally among the routers. It
// places a chat on the endpoint of highest rank where the router's part is not used up.
type DividedCaps struct {
	used map[[2]string]int
}

// Choose implements Policy.
func (d *DividedCaps) Choose(w *World, router fleet.InstanceID, req core.CallerRequest) *Endpoint {
	if d.used == nil {
		d.used = map[[2]string]int{}
	}
	for _, c := range w.rankedEndpoints(req) {
		part := max(1, c.Capacity/len(w.Nodes))
		key := [2]string{string(router), string(c.ID)}
		if d.used[key] < part {
			d.used[key]++
			return w.Endpoints[c.ID]
		}
	}
	return nil
}

// Ended implements Policy.
func (d *DividedCaps) Ended(router fleet.InstanceID, e *Endpoint) {
	d.used[[2]string{string(router), string(e.ID)}]--
}
