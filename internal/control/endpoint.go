package control

import (
	"slices"
	"strings"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// endpoint is what this process knows of one endpoint.
type endpoint struct {
	fleet.Endpoint
	hash      uint64
	coldUntil boottime.Instant
	inFlight  int              // requests of this process there
	shunUntil boottime.Instant // after a failure
	failures  int              // in a row
	misplaced bool             // another endpoint has its address
}

func (s *State) adoptEndpoint(now boottime.Instant, e fleet.Endpoint) {
	old := s.endpoints[e.ID]
	if old == nil {
		old = &endpoint{hash: fleet.Hash(string(e.ID))}
		s.endpoints[e.ID] = old
	}
	if old.Addr != e.Addr || old.Incarnation != e.Incarnation {
		old.misplaced = false
		old.shunUntil = 0
		old.failures = 0
	}
	old.Endpoint = e
	old.coldUntil = now.Add(e.ColdFor)
}

func (s *State) indexServices() {
	clear(s.services)
	for _, e := range s.endpoints {
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, es := range s.services {
		slices.SortFunc(es, func(a, b *endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
}

// usable tells whether new requests may go to an endpoint.
func (s *State) usable(e *endpoint) bool {
	return !e.Leaving && !e.misplaced && !s.evacuated[e.DataCentre]
}
