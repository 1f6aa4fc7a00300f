package controltest

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

const (
	// HeartbeatInterval is the time between two heartbeats of an endpoint, see World.Beat.
	HeartbeatInterval = 1200 * time.Millisecond
	// historyRetention is how long the store keeps its writes.
	historyRetention = 20 * time.Second
)

// writeTime is when the store got a revision.
type writeTime struct {
	revision fleet.Revision
	at       boottime.Instant
}

// Write writes items to the store.
func (w *World) Write(items ...published.Item) {
	w.writeTimes = append(w.writeTimes, writeTime{w.Store.Write(items...), w.Now()})
}

// Publish writes the entries of endpoints to the store, as they do when they change.
func (w *World) Publish(es ...*Endpoint) {
	for _, e := range es {
		w.Endpoints[e.ID] = e
		w.Write(publishedtest.Endpoint(e.Endpoint, 0))
	}
}

// Remove deletes an endpoint's entry from the store.
func (w *World) Remove(id fleet.EndpointID) { w.Write(publishedtest.EndpointGone(id)) }

// Beat has the endpoints that are listed write heartbeats until a time.
func (w *World) Beat(until time.Duration) {
	if w.Elapsed() > until {
		return
	}
	w.heartbeats++
	for _, it := range w.Store.Content(true, 0).Items {
		if e := w.listed(it); e != nil {
			w.Write(publishedtest.Endpoint(e.Endpoint, w.heartbeats))
		}
	}
	w.After(HeartbeatInterval, func() { w.Beat(until) })
}

// listed returns the endpoint of an item, or nil if it is not an endpoint's entry or the endpoint is down.
func (w *World) listed(it published.Item) *Endpoint {
	r, err := publishedtest.Protocol{}.DecodeItem(it)
	if e, ok := r.(published.Endpoint); ok && err == nil && !w.Endpoints[e.Endpoint.ID].Down {
		return w.Endpoints[e.Endpoint.ID]
	}
	return nil
}

// history returns the last n writes before a revision that the store has kept.
func (w *World) history(before fleet.Revision, n int) []published.Item {
	oldest := before - min(fleet.Revision(n), published.StoreRevision(before))
	for _, t := range w.writeTimes {
		if w.Now().Sub(t.at) > historyRetention {
			oldest = max(oldest, t.revision)
		}
	}
	return slices.DeleteFunc(w.Store.Update(false, oldest).Items, func(it published.Item) bool { return it.Revision > before })
}
