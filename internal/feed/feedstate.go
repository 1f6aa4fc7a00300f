package feed

import (
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// errHashMismatch reports a delta whose resulting content does not have the hash in the delta.
var errHashMismatch = errors.New("feed: content does not match its hash")

// feedState is the current content of one feed with its history and pulls.
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
func (f *feedState) adopt(rev fleet.Revision, c changes, hash uint64) error {
	next := f.records.apply(c)
	if next.hash() != hash {
		return errHashMismatch
	}
	if err := f.install(rev, next); err != nil {
		return err
	}
	f.recordChange(rev, f.records.diff(next))
	f.rev, f.hash, f.records, f.size = rev, hash, next, next.size()
	return nil
}

// recordChange adds a change to the history. Different content at the same revision clears the
// history, because its revisions no longer identify a unique content.
func (f *feedState) recordChange(rev fleet.Revision, c changes) {
	switch f.rev {
	case 0:
	case rev:
		f.history.reset()
	default:
		f.history.add(historyEntry{from: f.rev, to: rev, forward: c, undo: f.records.invert(c)})
	}
}

// deltaSince returns a delta for a peer at rev: the digest if the peer does not lag, the merged
// changes since the latest recorded revision not above rev, or a snapshot if rev is 0 or older than
// the history, or if the snapshot is smaller.
func (f *feedState) deltaSince(rev fleet.Revision) wire.Delta {
	if rev >= f.rev {
		return f.digest()
	}
	d := wire.Delta{Feed: f.feed, To: f.rev, Hash: f.hash}
	c, from, ok := f.history.changesSince(rev)
	if rev == 0 || !ok || c.size() > f.size {
		return f.snapshot()
	}
	d.From = from
	return c.fillDelta(d)
}

// snapshot returns a delta from revision 0 that carries the complete content.
func (f *feedState) snapshot() wire.Delta {
	return changes(f.records).fillDelta(wire.Delta{Feed: f.feed, To: f.rev, Hash: f.hash})
}

// lastDelta returns the delta of the last adopted change, or the digest if the history is empty.
func (f *feedState) lastDelta() wire.Delta {
	n := len(f.history.entries)
	if n == 0 {
		return f.digest()
	}
	return f.deltaSince(f.history.entries[n-1].from)
}

// digest returns an empty delta that states the current revision and content hash.
func (f *feedState) digest() wire.Delta {
	return wire.Delta{Feed: f.feed, From: f.rev, To: f.rev, Hash: f.hash}
}

// changesFor returns the changes that a delta makes to the current content.
func (f *feedState) changesFor(d *wire.Delta) changes {
	c := changesFromDelta(d)
	if d.From == 0 {
		return f.records.diff(records(c))
	}
	if d.From == f.rev {
		return c
	}
	back, ok := f.history.undoTo(d.From)
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
