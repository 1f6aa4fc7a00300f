package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/backlog"
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/cost"
	"github.com/dandelionvane/dandelionvane/internal/origin"
)

// Exclusion is why an endpoint of a service is not eligible for a request.
type Exclusion uint8

// Exclusions, in the order in which they are checked. The first one that applies to an endpoint is reported.
const (
	NotExcluded             Exclusion = iota
	ExcludedRemoved                   // it is no longer listed
	ExcludedLeaving                   // it leaves, by its entry or its own word
	ExcludedEvacuated                 // its data centre is out of service
	ExcludedUnconfirmed               // its entry is in an older copy of the store's content, and has not been confirmed
	ExcludedAddrReused                // another endpoint has responded at its address
	ExcludedVersion                   // it has another software version than the request needs, or may have been replaced
	ExcludedNotAmong                  // the request is limited to other endpoints
	ExcludedSoftware                  // the request has crashed endpoints with its software
	ExcludedPaused                    // it wants no requests from this gateway for a time
	ExcludedTried                     // it already had an attempt of the request
	ExcludedDown                      // the last connection to it failed
	ExcludedCold                      // it is cold, and this gateway has sent it what it may
	ExcludedSilent                    // it has shown no progress for too long
	ExcludedVersionUnproven           // it may have been restarted with another version, and cannot report its incarnation
	ExcludedAvoided                   // it failed or refused requests recently, and there are others
	ExcludedBound                     // eligible, but its load is at the load bound
)

var exclusionNames = [...]string{"", "removed", "leaving", "evacuated", "unconfirmed", "moved", "version", "not_among", "software", "paused", "tried", "down",
	"cold", "silent", "version_unproven", "avoided", "bound"}

// String returns the exclusion's stable name in JSON documents, "" for NotExcluded.
func (x Exclusion) String() string {
	if int(x) >= len(exclusionNames) {
		return "invalid"
	}
	return exclusionNames[x]
}

// candidate is an endpoint of a request's service.
type candidate struct {
	*endpoint
	excluded Exclusion
	load     int // estimated requests of the fleet

	// Set by weigh, for the candidates that its rule considers.
	unreported int         // estimated requests of peers that are not part of load
	weight     uint64      // rendezvous weight for the request
	share      float64     // of a random choice, relative to the other shares
	probe      bool        // down, and might be chosen if it were not
	times      *cost.Times // estimated, of the candidates that are weighed by time; nil: it is not one of them
}

// endpointClasses is the classification of a service's endpoints for one request.
type endpointClasses struct {
	candidates    []candidate   // all endpoints of the service, in the order of their IDs
	eligibleCount int           // endpoints that may receive the request now
	eligibleLoad  int           // sum of their loads
	listedCount   int           // listed endpoints of the service, in any state
	listedLoad    int           // sum of the loads of the listed endpoints
	downCount     int           // usable and not tried, but down
	triedCount    int           // usable endpoints that already had an attempt
	pause         time.Duration // until the first of those that want no requests for a time wants some; 0: there is none
}

// eligible reports whether a candidate may receive the request. It may still be above the load bound.
func (c *candidate) eligible() bool { return c.excluded == NotExcluded || c.excluded == ExcludedBound }

// eligible returns the eligible candidates.
func (c *endpointClasses) eligible() []*candidate {
	out := make([]*candidate, 0, c.eligibleCount)
	for i := range c.candidates {
		if x := &c.candidates[i]; x.eligible() {
			out = append(out, x)
		}
	}
	return out
}

func (c *endpointClasses) meanLoad() float64 {
	return float64(c.eligibleLoad) / float64(max(c.eligibleCount, 1))
}

// rejection returns the Placement for a request without an eligible endpoint, with the mean retry-after.
func (s *State) rejection(now boottime.Instant, req PlacementRequest, c *endpointClasses) Placement {
	if req.Version != 0 && !s.offersVersion(now, req.Service, req.Version) {
		return Placement{Reason: ReasonVersionGone, RetryAfter: versionGoneRetryAfter}
	}
	after := noneEligibleRetryAfter
	if c.downCount > 0 && c.triedCount == 0 {
		after = downRetryAfter
	}
	return Placement{Reason: ReasonNoEndpoint, RetryAfter: max(after, c.commonPause())}
}

// commonPause returns a retry-after for the time in which all endpoints want no requests, or 0 if some may want
// one now.
func (c *endpointClasses) commonPause() time.Duration {
	if c.eligibleCount > 0 || c.downCount > 0 {
		return 0
	}
	return c.pause * 4 / 3 // the jitter takes up to a quarter off
}

// shorter returns the shorter of two durations, where 0 stands for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// placementInputs are inputs of a placement that are computed when they are first needed and then kept.
type placementInputs struct {
	peerCounts  map[uint32]int // requests of all live peers, by the endpoint's short ID
	soleVersion origin.Version // of the service, for a request that needs a version; see State.soleVersion
	backlog     *backlog.Tracker
}

// inputs returns the inputs of a placement.
func (s *State) inputs(now boottime.Instant, req PlacementRequest) placementInputs {
	in := placementInputs{backlog: s.backlog.tracker}
	if len(s.services[req.Service]) > 0 {
		in.peerCounts = s.peerCounts(now)
	}
	if req.Version != 0 {
		in.soleVersion = s.soleVersion(now, req.Service)
	}
	return in
}

// classify classifies the endpoints of a service for one request. It has no effects.
//
// Endpoints that are avoided for recent failures or refusals are eligible only if there are no others. A request that needs a
// version is sent only after the endpoint has reported its incarnation. Endpoints that cannot, and may have been restarted, are
// eligible like those that are avoided if the service has one version, and not eligible otherwise.
func (s *State) classify(now boottime.Instant, req PlacementRequest, in placementInputs) endpointClasses {
	endpoints := s.services[req.Service]
	c := endpointClasses{candidates: make([]candidate, len(endpoints))}
	lastResort := func(x *candidate) bool {
		return x.excluded == ExcludedAvoided || x.excluded == ExcludedVersionUnproven && in.soleVersion == req.Version
	}
	for i, e := range endpoints {
		x := &c.candidates[i]
		*x = candidate{endpoint: e, load: e.loadAt(now, in.peerCounts), excluded: s.exclusion(now, &req, e)}
		if e.listed {
			c.listedCount++
			c.listedLoad += x.load
		}
		switch x.excluded {
		case NotExcluded:
			c.addEligible(x)
		case ExcludedPaused:
			c.pause = shorter(c.pause, e.noRequestsUntil.Sub(now))
		case ExcludedTried:
			c.triedCount++
		case ExcludedDown:
			c.downCount++
		}
	}
	if c.eligibleCount > 0 {
		return c
	}
	for i := range c.candidates {
		if x := &c.candidates[i]; lastResort(x) {
			x.excluded = NotExcluded
			c.addEligible(x)
		}
	}
	return c
}

// anyEligible reports whether an endpoint is eligible for a request.
func (s *State) anyEligible(now boottime.Instant, req PlacementRequest) bool {
	c := s.classify(now, req, s.inputs(now, req))
	return c.eligibleCount > 0
}

func (c *endpointClasses) addEligible(x *candidate) {
	c.eligibleCount++
	c.eligibleLoad += x.load
}

// exclusion returns why an endpoint is not eligible for a request, apart from its load.
func (s *State) exclusion(now boottime.Instant, req *PlacementRequest, e *endpoint) Exclusion {
	switch {
	case !s.usable(now, e):
		return s.unusable(now, e)
	case req.Version != 0 && (e.version != req.Version || e.replaced(now)):
		return ExcludedVersion
	case len(req.Among) > 0 && !slices.Contains(req.Among, e.ID):
		return ExcludedNotAmong
	case slices.Contains(req.avoid, e.software()):
		return ExcludedSoftware
	case now.Before(e.noRequestsUntil):
		return ExcludedPaused
	case slices.Contains(req.Tried, e.ID):
		return ExcludedTried
	case e.health.down:
		return ExcludedDown
	case !s.admitsColdSend(now, e):
		return ExcludedCold
	case req.maxSilence != 0 && e.silentFor(now, req.maxSilence):
		return ExcludedSilent
	case req.Version != 0 && e.Incarnation == 0 && !s.entryCertain(e):
		return ExcludedVersionUnproven
	case now.Before(e.health.avoidUntil):
		return ExcludedAvoided
	default:
		return NotExcluded
	}
}

// unusable returns why an endpoint is not usable. It must agree with usable.
func (s *State) unusable(now boottime.Instant, e *endpoint) Exclusion {
	switch {
	case e.Leaving, e.announcedLeaving:
		return ExcludedLeaving
	case now.Before(e.unconfirmedUntil):
		return ExcludedUnconfirmed
	case e.addrReused:
		return ExcludedAddrReused
	case s.evacuated[e.DataCentre]:
		return ExcludedEvacuated
	default:
		return ExcludedRemoved
	}
}
