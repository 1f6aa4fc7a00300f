package feed

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// snapshotTimeoutFactor is the timeout of a snapshot pull in multiples of PullTimeout.
const snapshotTimeoutFactor = 4

// rejectedRetryDelay is the time before the next pull after a peer's delta was rejected.
const rejectedRetryDelay = 2 * time.Second

// pullState tracks the pulls of one feed. At most one pull is in flight.
type pullState struct {
	pendingPeer  fleet.InstanceID // peer to which the pull in flight was sent, "" if none
	nextPullAt   time.Time        // no pull from a source is sent before this time: timeout of the pull in flight, retry delay, or PullDelay
	wantSnapshot bool             // the next pull requests a snapshot
	sources      []source         // peers with a higher revision, highest first
	rejected     source           // peer and revision of the last rejected delta
}

// source is a peer with a higher revision.
type source struct {
	id  fleet.InstanceID
	rev fleet.Revision
}

// addSource records a peer with a higher revision, unless that is the last rejected source.
func (p *pullState) addSource(id fleet.InstanceID, rev fleet.Revision) {
	if p.rejected == (source{id: id, rev: rev}) {
		return
	}
	p.removeSource(id)
	i := 0
	for i < len(p.sources) && p.sources[i].rev >= rev {
		i++
	}
	if i >= maxSources {
		return
	}
	p.sources = append(p.sources, source{})
	copy(p.sources[i+1:], p.sources[i:])
	p.sources[i] = source{id: id, rev: rev}
	p.sources = p.sources[:min(len(p.sources), maxSources)]
}

func (p *pullState) removeSource(id fleet.InstanceID) {
	for i, src := range p.sources {
		if src.id == id {
			p.sources = append(p.sources[:i], p.sources[i+1:]...)
			return
		}
	}
}

// reject excludes a peer at this revision as a source until the next rejection, and delays the next
// pull.
func (p *pullState) reject(now time.Time, id fleet.InstanceID, rev fleet.Revision) {
	p.removeSource(id)
	p.rejected = source{id: id, rev: rev}
	p.nextPullAt = now.Add(rejectedRetryDelay)
}

// finishPull ends the pull in flight if it was sent to the given peer, and reports whether it was.
func (p *pullState) finishPull(id fleet.InstanceID) bool {
	if p.pendingPeer != id {
		return false
	}
	p.pendingPeer = ""
	p.wantSnapshot = false
	p.nextPullAt = time.Time{}
	return true
}

// onAdopted drops the sources without a higher revision than rev and ends the pull in flight.
func (p *pullState) onAdopted(rev fleet.Revision) {
	n := 0
	for _, src := range p.sources {
		if src.rev > rev {
			p.sources[n] = src
			n++
		}
	}
	p.sources = p.sources[:n]
	p.pendingPeer = ""
	p.wantSnapshot = false
	p.nextPullAt = time.Time{}
}
