package crasher

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	completionSets = 1024
	completionWays = 4 // traits in each set; the one that completed longest ago makes room
)

// completion is the latest completion of a request with a trait at a software version.
type completion struct {
	Trait
	version uint32
	at      boottime.Instant
}

// completions remembers the latest completions of a bounded number of traits, those that complete often above all.
type completions struct {
	sets [completionSets][completionWays]completion
}

func (c *completions) set(t Trait, version uint32) *[completionWays]completion {
	return &c.sets[fleet.Weight(t.ID, uint64(t.Kind)<<32|uint64(version))%completionSets]
}

// add records a completion.
func (c *completions) add(t Trait, version uint32, at boottime.Instant) {
	set := c.set(t, version)
	oldest := &set[0]
	for i := range set {
		e := &set[i]
		if e.at != 0 && e.Trait == t && e.version == version {
			e.at = max(e.at, at)
			return
		}
		if e.at < oldest.at {
			oldest = e
		}
	}
	*oldest = completion{t, version, at}
}

// last returns the time of the latest completion that is remembered, or 0.
func (c *completions) last(t Trait, version uint32) boottime.Instant {
	set := c.set(t, version)
	for i := range set {
		if e := &set[i]; e.at != 0 && e.Trait == t && e.version == version {
			return e.at
		}
	}
	return 0
}

// recentRequests are the latest requests of this gateway that were sent, or that have completed.
type recentRequests struct {
	ring [32]recentRequest
	next int
}

type recentRequest struct {
	Shares
	version uint32
	at      boottime.Instant
}

func (r *recentRequests) add(s Shares, version uint32, at boottime.Instant) {
	r.ring[r.next] = recentRequest{s, version, at}
	r.next = (r.next + 1) % len(r.ring)
}

// without reports whether there is a request without all of some traits, at a software version or anyVersion, since a time.
func (r *recentRequests) without(traits []Trait, version uint32, since boottime.Instant) bool {
	for i := range r.ring {
		q := &r.ring[i]
		if q.at != 0 && q.at >= since && (version == anyVersion || q.version == version) && !q.hasAll(traits) {
			return true
		}
	}
	return false
}

// TraitCompletion tells other gateways that a request with a trait has completed at a software version.
type TraitCompletion struct {
	Trait
	Version uint32 // 0: the ends until then don't count at any version, by an operator's word
	At      boottime.Instant
}

// retellTime is the time after which the completion of a trait that this gateway has not told yet is told, if no other
// gateway has told one that serves as well.
const retellTime = 30 * time.Millisecond
