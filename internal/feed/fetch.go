package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// snapshotTimeoutFactor is the timeout of a snapshot pull in multiples of the pull timeout.
const snapshotTimeoutFactor = 4

// rejectedRetryDelay is the time before the next pull after a peer's value was rejected.
const rejectedRetryDelay = 2 * time.Second

// pullState tracks the pulls of one feed from peers that have a higher revision.
type pullState struct {
	pendingPeer  fleet.InstanceID // peer that the pull in flight was sent to, "" if none
	nextPullAt   time.Time        // when the pull in flight times out, or the earliest time of the next pull
	wantSnapshot bool             // the next pull requests a snapshot
	sources      []source         // peers with a higher revision, highest first
	rejected     source           // source of the last rejected value
}

// source is a peer with a higher revision.
type source struct {
	id  fleet.InstanceID
	rev fleet.Revision
}

// addSource records a peer with a higher revision, unless its value at that revision was rejected.
func (f *pullState) addSource(id fleet.InstanceID, rev fleet.Revision) {
	if f.rejected == (source{id: id, rev: rev}) {
		return
	}
	f.removeSource(id)
	i := 0
	for i < len(f.sources) && f.sources[i].rev >= rev {
		i++
	}
	if i >= maxSources {
		return
	}
	f.sources = append(f.sources, source{})
	copy(f.sources[i+1:], f.sources[i:])
	f.sources[i] = source{id: id, rev: rev}
	f.sources = f.sources[:min(len(f.sources), maxSources)]
}

func (f *pullState) removeSource(id fleet.InstanceID) {
	for i, src := range f.sources {
		if src.id == id {
			f.sources = append(f.sources[:i], f.sources[i+1:]...)
			return
		}
	}
}

// reject excludes a peer as a source while it has the rejected revision.
func (f *pullState) reject(now time.Time, id fleet.InstanceID, rev fleet.Revision) {
	f.removeSource(id)
	f.rejected = source{id: id, rev: rev}
	f.nextPullAt = now.Add(rejectedRetryDelay)
}

// finishPull ends the pull in flight if it was sent to the given peer.
func (f *pullState) finishPull(id fleet.InstanceID) bool {
	if f.pendingPeer != id {
		return false
	}
	f.pendingPeer = ""
	f.wantSnapshot = false
	f.nextPullAt = time.Time{}
	return true
}

// onAdopted drops the sources that are no longer ahead and ends the pull in flight.
func (f *pullState) onAdopted(rev fleet.Revision) {
	n := 0
	for _, src := range f.sources {
		if src.rev > rev {
			f.sources[n] = src
			n++
		}
	}
	f.sources = f.sources[:n]
	f.pendingPeer = ""
	f.wantSnapshot = false
	f.nextPullAt = time.Time{}
}
