package origin

import (
	"maps"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// History holds the versions that endpoints of one service had before their present one, or before they were
// removed.
type History struct {
	since    boottime.Instant             // every version that an endpoint has had since then is present or in replaced
	replaced map[Version]boottime.Instant // last time at which an endpoint had the version
}

// NewHistory returns a history that knows all versions from a time on.
func NewHistory(since boottime.Instant) *History {
	return &History{since: since, replaced: map[Version]boottime.Instant{}}
}

// Since returns the time from which on all versions are known.
func (h *History) Since() boottime.Instant { return h.since }

// Covers reports whether all versions within a period that ends now are known.
func (h *History) Covers(now boottime.Instant, period time.Duration) bool {
	return now.Sub(h.since) >= period
}

// Extend records that all versions since an earlier time are known.
func (h *History) Extend(since boottime.Instant) { h.since = min(h.since, since) }

// Forget records that versions before a time may be unknown.
func (h *History) Forget(before boottime.Instant) { h.since = max(h.since, before) }

// Replaced records that an endpoint had a version until a time.
func (h *History) Replaced(at boottime.Instant, v Version) { h.replaced[v] = max(h.replaced[v], at) }

// Sole returns the only version of a service within a period that ends now, as far as known, given the present versions of its
// endpoints, or 0 if there were several or none. It forgets the versions that were replaced before the period.
func (h *History) Sole(now boottime.Instant, period time.Duration, present []Version) Version {
	maps.DeleteFunc(h.replaced, func(_ Version, at boottime.Instant) bool { return now.Sub(at) > period })
	return h.PeekSole(now, period, present)
}

// PeekSole is Sole without its effect: it forgets no versions.
func (h *History) PeekSole(now boottime.Instant, period time.Duration, present []Version) Version {
	sole := Version(0)
	add := func(v Version) bool {
		if sole == 0 {
			sole = v
		}
		return sole == v
	}
	for _, v := range present {
		if !add(v) {
			return 0
		}
	}
	for v, at := range h.replaced {
		if now.Sub(at) <= period && !add(v) {
			return 0
		}
	}
	return sole
}
