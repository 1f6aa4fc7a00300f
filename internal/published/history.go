package published

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// maxHistoryReads limits the reads that look for the oldest write that the store has kept.
const maxHistoryReads = 10

// History is what the store tells of the time before it was read.
type History struct {
	Revision fleet.Revision // of the store
	Present  []Item         // all items
	Writes   []Item         // that the store has kept, in the order of their revisions; the oldest may be missing
}

// History reads the store's items and its kept writes.
func (c *Client) History(ctx context.Context) (History, error) {
	list, err := c.List(ctx)
	if err != nil {
		return History{}, err
	}
	h := History{Revision: list.Revision, Present: list.Items}
	era := EraOf(list.Revision)
	gone, kept := fleet.Revision(0), StoreRevision(list.Revision) // the writes after kept are in h; those after any before gone are not kept
	for reads := 0; reads < maxHistoryReads && gone < kept; reads++ {
		after := (gone + kept) / 2
		p, err := c.Changes(ctx, InEra(era, after))
		switch {
		case errors.Is(err, ErrHistoryGone):
			gone = after + 1
		case err != nil:
			return History{}, err
		default:
			kept, h.Writes = after, writesUpTo(p.Items, list.Revision)
		}
	}
	return h, nil
}

// writesUpTo returns the writes up to a revision.
func writesUpTo(writes []Item, r fleet.Revision) []Item {
	return slices.DeleteFunc(writes, func(it Item) bool { return it.Revision > r })
}
