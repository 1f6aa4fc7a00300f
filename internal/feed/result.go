package feed

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Outcome says what became of an offered value.
type Outcome uint8

// The outcomes of offering a value.
const (
	Unchanged Outcome = iota + 1 // it is what is in force, or says nothing new
	Adopted                      // it is in force now
	Stale                        // its revision is lower than the one in force
	Conflict                     // same revision, other content: the higher hash is in force now
	Rejected                     // it cannot be decoded or is not what its sender claims
	Deferred                     // it needs an earlier change, which has been asked for
)

// Result reports what became of an offered value.
type Result struct {
	Feed     wire.Feed
	Outcome  Outcome
	Revision fleet.Revision // of the offered value
	Replaced bool           // with Conflict: the offered content is in force now
	Err      error          // with Refused
}
