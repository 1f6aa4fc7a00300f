package feed

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Outcome classifies what a State did with offered content: that of a platform read, a delta or a
// digest.
type Outcome uint8

// The outcomes of an offer.
const (
	Unchanged Outcome = iota + 1 // the content equals the current one, or there is none to compare
	Adopted                      // the content is now current
	Stale                        // the revision is lower than the current one
	Conflict                     // same revision with different content: the content with the higher hash stays or becomes current
	Rejected                     // the content cannot be decoded, or does not match its hash, or the feed or revision range is invalid
	Deferred                     // not applicable to the current content; a pull is sent, scheduled or already in flight
)

// Result is the outcome of an offer with its feed, revision and error.
type Result struct {
	Feed     wire.Feed
	Outcome  Outcome
	Revision fleet.Revision // revision of the offered content
	Replaced bool           // the offered content became current (with Conflict only)
	Err      error          // why the content was rejected (with Rejected only)
}
