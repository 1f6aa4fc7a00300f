package control

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
)

// maxListedRequests bounds the requests in a CrashesDump.
const maxListedRequests = 100

// CrashesDump is what is known about requests that crash endpoints.
type CrashesDump struct {
	Blocked     int           `json:"requests_blocked"`   // requests with a block in force
	Suspects    int           `json:"requests_suspected"` // requests that were broken off by the end of a process
	ProcessEnds int           `json:"process_ends"`       // known ends of endpoint processes
	Requests    []SuspectDump `json:"blocked_requests"`   // blocked or on trial; the first maxListedRequests
	Causes      []CauseDump   `json:"crash_causes"`       // what requests of different contents share that crash endpoints
}

// SuspectDump is a request that is blocked or on trial.
type SuspectDump struct {
	Fingerprint  string    `json:"fingerprint"`
	Decision     string    `json:"decision"`       // about an attempt that were made now
	BlockedForMS int64     `json:"blocked_for_ms"` // length of the block, 0 if it is not blocked
	BlockLeftMS  int64     `json:"block_left_ms"`  // until its end
	Chance       float64   `json:"chance"`         // probability of that many ends without its doing
	Ends         []EndDump `json:"ends"`           // that count against it
}

// EndDump is the end of an endpoint's process that broke off a request.
type EndDump struct {
	Endpoint    string `json:"endpoint"` // its ID, or the hash of the ID if it is no longer known
	Incarnation uint64 `json:"incarnation"`
	AgeMS       int64  `json:"age_ms"`
	AfterEvents uint32 `json:"after_events"` // number of the last event of its stream that had arrived
	RanMS       int64  `json:"ran_ms"`       // since the request was sent there
	Others      int    `json:"others"`       // other requests that were broken off, as far as known
}

// DumpCrashes returns what is known about requests that crash endpoints.
func (s *State) DumpCrashes(now boottime.Instant) CrashesDump {
	detector := s.crashes.detector
	d := CrashesDump{Blocked: detector.Blocked(now), Requests: []SuspectDump{}, Causes: s.dumpCauses(now)}
	d.Suspects, d.ProcessEnds = detector.Len()
	for _, suspicion := range detector.List(now, maxListedRequests, s.offers(now)) {
		d.Requests = append(d.Requests, s.dumpSuspicion(now, suspicion))
	}
	return d
}

func (s *State) dumpSuspicion(now boottime.Instant, suspicion crasher.Suspicion) SuspectDump {
	d := SuspectDump{Fingerprint: suspicion.Request.String(), Decision: suspicion.Action.String(), Chance: suspicion.Chance}
	if suspicion.Action == crasher.Blocked {
		d.BlockedForMS, d.BlockLeftMS = suspicion.Length.Milliseconds(), suspicion.Until.Sub(now).Milliseconds()
	}
	d.Ends = s.dumpEnds(now, suspicion.Ends)
	return d
}

// offers returns a function that returns what a service offers, by the hash of its ID.
func (s *State) offers(now boottime.Instant) func(uint32) crasher.Offer {
	known := map[uint32]crasher.Offer{}
	return func(service uint32) crasher.Offer {
		o, found := known[service]
		if !found {
			o = s.offerByHash(now, service)
			known[service] = o
		}
		return o
	}
}

func (s *State) offerByHash(now boottime.Instant, service uint32) crasher.Offer {
	var o crasher.Offer
	for _, e := range s.endpointList {
		if e.serviceHash == service && s.usable(now, e) {
			o.Endpoints++
			o.Software = append(o.Software, e.software())
		}
	}
	return o
}

// CrashEvidence describes the ends that count against a request, for logs.
func (s *State) CrashEvidence(now boottime.Instant, v *crasher.Decision) string {
	return v.Evidence(now, s.endpointName)
}

// endpointName returns the ID of an endpoint, or the hash of the ID if the endpoint is not known.
func (s *State) endpointName(short uint32) string {
	if e := s.endpointByShortID(short); e != nil {
		return string(e.ID)
	}
	return fmt.Sprintf("%08x", short)
}
