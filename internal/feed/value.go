package feed

import (
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// errHashMismatch reports a delta whose resulting content does not have the hash that the sender
// states.
var errHashMismatch = errors.New("feed: content does not match its hash")

// feedState is the adopted state of one feed.
type feedState struct {
	feed    wire.Feed
	rev     fleet.Revision
	hash    uint64
	size    int
	records records
	history history
	install func(fleet.Revision, records) error // decodes the content and makes it current
	pull    pullState
}

// adopt applies the changes and makes the result current. It changes nothing on failure.
func (v *feedState) adopt(rev fleet.Revision, c changes, hash uint64) error {
	next := v.records.apply(c)
	if next.hash() != hash {
		return errHashMismatch
	}
	if err := v.install(rev, next); err != nil {
		return err
	}
	v.recordChange(rev, v.records.diff(next))
	v.rev, v.hash, v.records, v.size = rev, hash, next, next.size()
	return nil
}

// recordChange adds a change to the history. Different content at the same revision clears the
// history, because its revisions no longer identify a unique content.
func (v *feedState) recordChange(rev fleet.Revision, c changes) {
	switch v.rev {
	case 0:
	case rev:
		v.history.reset()
	default:
		v.history.add(historyEntry{from: v.rev, to: rev, forward: c, undo: v.records.invert(c)})
	}
}

// deltaSince returns the smallest delta that brings a peer from rev to the current revision.
func (v *feedState) deltaSince(rev fleet.Revision) wire.Delta {
	if rev >= v.rev {
		return v.digest()
	}
	d := wire.Delta{Feed: v.feed, To: v.rev, Hash: v.hash}
	c, from, ok := v.history.changesSince(rev)
	if rev == 0 || !ok || c.size() > v.size {
		return v.snapshot()
	}
	d.From = from
	return c.fillDelta(d)
}

// snapshot returns a delta from revision 0 that carries the complete content.
func (v *feedState) snapshot() wire.Delta {
	return changes(v.records).fillDelta(wire.Delta{Feed: v.feed, To: v.rev, Hash: v.hash})
}

// lastDelta returns the delta of the last adopted change, or the digest if there is no earlier
// content that peers could have.
func (v *feedState) lastDelta() wire.Delta {
	n := len(v.history.entries)
	if n == 0 {
		return v.digest()
	}
	return v.deltaSince(v.history.entries[n-1].from)
}

// digest returns an empty delta that states the current revision and content hash.
func (v *feedState) digest() wire.Delta {
	return wire.Delta{Feed: v.feed, From: v.rev, To: v.rev, Hash: v.hash}
}

// changesFor returns the changes that a delta makes to the current content.
func (v *feedState) changesFor(d *wire.Delta) changes {
	c := changesFromDelta(d)
	if d.From == 0 {
		return v.records.diff(records(c))
	}
	if d.From == v.rev {
		return c
	}
	back, ok := v.history.undoTo(d.From)
	if !ok {
		return c // valid only if no other record changed since d.From; the hash check detects a mismatch
	}
	back.merge(c)
	return back
}

func deltaSize(d *wire.Delta) int {
	n := 0
	for i := range d.Upserts {
		n += len(d.Upserts[i].Key) + len(d.Upserts[i].Value) + recordOverheadBytes
	}
	for _, k := range d.Removes {
		n += len(k) + recordOverheadBytes
	}
	return n
}
