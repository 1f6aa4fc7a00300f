package crasher

import (
	"maps"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

const (
	// soundTime is how long before its first end a request's completion speaks for it.
	soundTime = time.Minute
	// soundEnds is how many more ends it then takes to block the request. Copies of a request that many callers send run
	// at many endpoints, and so are broken off by many ends.
	soundEnds = 3
	// newcomerTime is how long after a gateway has joined others its own completions tell too little: until then it blocks a request
	// after as few ends as usual only if another gateway does.
	newcomerTime = 10 * time.Second
	// maxSound bounds the completions that are kept.
	maxSound = 4096
)

// soundRun names the completions of a request at a software version.
type soundRun struct {
	request Fingerprint
	version uint32
}

// Completed records that a request, suspected or not, has completed at a software version.
func (d *Detector) Completed(now boottime.Instant, f Fingerprint, version uint32) {
	if len(d.sound) >= maxSound {
		maps.DeleteFunc(d.sound, func(_ soundRun, at boottime.Instant) bool { return now.Sub(at) > soundTime })
	}
	if len(d.sound) >= maxSound {
		clear(d.sound)
	}
	d.sound[soundRun{f, version}] = now
}

// endsNeeded returns the number of ends after which a request with the given ends may be blocked.
func (d *Detector) endsNeeded(now boottime.Instant, f Fingerprint, chain []appearance) int {
	newcomer := d.joinedAt != 0 && now.Sub(d.joinedAt) < newcomerTime && d.suspects[f].reportedUntil == 0
	if newcomer || d.soundBefore(f, chain) {
		return minEnds + soundEnds
	}
	return minEnds
}

// soundBefore reports whether a request completed shortly before the first of its ends.
func (d *Detector) soundBefore(f Fingerprint, chain []appearance) bool {
	first := chain[0]
	at, completed := d.sound[soundRun{f, d.ends[first.Process].Version}]
	return completed && first.at.Sub(at) <= soundTime
}

// contests reports whether a request with the given ends may be the deadly one instead of another that they broke off, too. One that
// completed shortly before is broken off often if many send it, and says nothing before it has as many ends as it takes to block it.
func (d *Detector) contests(f Fingerprint, chain []appearance) bool {
	return len(chain) >= minEnds+soundEnds || len(chain) >= minEnds-1 && !d.soundBefore(f, chain)
}
