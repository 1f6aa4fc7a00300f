package controltest

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// historyRetention is how long the store keeps its writes.
const historyRetention = 20 * time.Second

// wallEpoch is the time of the wall clock at which a simulation starts. Endpoints with low incarnations have run for long.
var wallEpoch = time.UnixMilli(1_700_000_000_000)

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

// Wall returns the time of the wall clock of all processes.
func (w *World) Wall() time.Time { return wallEpoch.Add(w.Elapsed()) }

// history returns what the store tells of the time before now.
func (w *World) history() published.History {
	kept := w.Store.Update(false, w.oldestKept())
	present := w.Store.Update(true, 0)
	return published.History{Revision: present.Revision, Present: present.Items, Writes: kept.Items}
}

// oldestKept returns the last revision that the store has not kept.
func (w *World) oldestKept() fleet.Revision {
	oldest := fleet.Revision(0)
	for _, t := range w.writeTimes {
		if w.Now().Sub(t.at) > historyRetention {
			oldest = t.revision
		}
	}
	return max(oldest, w.historyDropped)
}

// keepsHistoryAfter reports whether the store can list the changes after a revision.
func (w *World) keepsHistoryAfter(r fleet.Revision) bool {
	return published.EraOf(r) == w.Store.Era() && published.StoreRevision(r) >= w.historyDropped
}

// DropHistory discards the writes that the store has kept.
func (w *World) DropHistory() {
	w.historyDropped = published.StoreRevision(w.Store.Update(true, 0).Revision)
}

// read simulates a store read. The response is the store's content when the request arrived.
func (n *Node) read(action control.ReadStore) {
	w, process := n.World, n.incarnation
	n.Reads++
	sent := w.Now()
	finish := func(d time.Duration, f func()) {
		w.After(d, func() {
			if n.incarnation == process {
				n.run(f)
			}
		})
	}
	if w.partitioned(string(n.ID), StoreName) {
		finish(storeTimeout, func() { n.State.ReadFailed(w.Now(), errStoreTimeout) })
		return
	}
	if n.StoreRejects {
		finish(storeLatency, func() { n.State.ReadFailed(w.Now(), errStoreBusy) })
		return
	}
	held := delayOf(n, w.StoreDelay)
	w.After(storeLatency/2, func() {
		if !action.Snapshot && !w.keepsHistoryAfter(action.After) {
			finish(storeLatency/2+held, func() { n.State.ReadFailed(w.Now(), published.ErrHistoryGone) })
			return
		}
		u := w.Store.Update(action.Snapshot, action.After)
		u.Confirmed = sent
		finish(storeLatency/2+held, func() { n.State.ReadDone(w.Now(), u) })
	})
}

// readHistory simulates a read of the store's history.
func (n *Node) readHistory() {
	w, process, wall := n.World, n.incarnation, n.World.Wall()
	n.Reads++
	w.After(storeLatency, func() {
		if n.incarnation != process {
			return
		}
		var err error
		if w.partitioned(string(n.ID), StoreName) || n.StoreRejects {
			err = errStoreBusy
		}
		h := w.history()
		n.run(func() { n.State.HistoryRead(w.Now(), wall, h, err) })
	})
}
