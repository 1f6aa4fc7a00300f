package feed

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Outcome is the result of offering a value to a State.
type Outcome uint8

// The outcomes of offering a value.
const (
	Unchanged Outcome = iota + 1 // the content equals the current one, or the message carries no value
	Adopted                      // the value is now current
	Stale                        // the revision is lower than the current one
	Conflict                     // same revision with different content: the content with the higher hash stays or becomes current
	Rejected                     // the value cannot be decoded, or does not match its hash or revision range
	Deferred                     // the value depends on an earlier revision, which was requested
)

// Result describes the outcome of an offered value.
type Result struct {
	Feed     wire.Feed
	Outcome  Outcome
	Revision fleet.Revision // of the offered value
	Replaced bool           // with Conflict: the offered content became current
	Err      error          // with Rejected
}
