package crasher

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Process identifies a process of an endpoint.
type Process struct {
	Endpoint    uint32 // low 32 bits of the hash of the endpoint's ID
	Incarnation fleet.Incarnation
}

// Software identifies what a process ran: hashes of its service and of its software version.
type Software struct {
	Service uint32
	Version uint32
}

// End is the end of a process, as one gateway has seen it.
type End struct {
	Process
	Software
	At     boottime.Instant
	Broken []Broken // requests of that gateway that it broke off
	Cause  []Trait  // what these requests share, if the end is put down to it
}

// Broken is a request that the end of a process broke off.
type Broken struct {
	Request  Fingerprint
	Progress uint32        // number of the last event of its stream that has arrived, 0: none
	Ran      time.Duration // since it was sent to the process
	Shares                 // what it may have in common with other requests
	Events   uint32        // that this attempt has brought
}

// progressSlack is how many events further than at its former ends a request may get that still counts as no further: a
// query of death may crash its endpoints at varying events.
const progressSlack = 8

// endOfProcess is the end of a process, as all gateways together have seen it.
type endOfProcess struct {
	Software
	at           boottime.Instant
	refutedUntil boottime.Instant // last sign of life; an end before is none
	content      Fingerprint      // blocked request that explains the end, 0: none
	requests     int              // broken off, as far as known
	process      Process
	holders      []holder         // the requests with what they may share
	cause        *Cause           // what requests share that explains the end, nil: not known
	toldCause    []Trait          // what another gateway puts it down to
	keptUntil    boottime.Instant // the end counts against traits for longer than sharedTTL
}

// appearance is a request's part in the end of one process.
type appearance struct {
	Process
	at       boottime.Instant
	progress uint32
	ran      time.Duration
}

// suspect is what is known about a request that an end broke off.
type suspect struct {
	appearances   []appearance                // in the order of time; the latest maxAppearances
	exonerations  map[uint32]boottime.Instant // until when ends don't count, by the software version, see anyVersion
	lastSeen      boottime.Instant
	trialUntil    boottime.Instant // another attempt must not begin before
	trialAt       uint32           // low 32 bits of the hash of the ID of the endpoint that runs the attempt on trial
	blockedUntil  boottime.Instant
	blockedFor    time.Duration    // length of the last block
	reportedUntil boottime.Instant // a gateway blocks the request until then, 0: none is known to
}

// clearedUntil returns until when the ends of a request at a software version don't count.
func (s *suspect) clearedUntil(version uint32) boottime.Instant {
	return max(s.exonerations[anyVersion], s.exonerations[version])
}
