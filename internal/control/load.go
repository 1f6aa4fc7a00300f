package control

import (
	"math"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// loads is what peers have in flight at endpoints.
type loads struct {
	version uint64         // rises when what peers are told changes
	stale   bool           // a peer has told something new
	peers   map[uint32]int // requests of all live peers, by the endpoint's short form
}

// load returns the requests that the fleet has at an endpoint, as far as it is known.
func (s *State) load(now boottime.Instant, e *endpoint) int {
	if s.loads.stale || s.loads.peers == nil {
		s.loads.peers = s.mesh.InFlight(now)
		s.loads.stale = false
	}
	return e.inFlight + s.loads.peers[e.short()]
}

// ownInFlight is what peers are told.
func (s *State) ownInFlight() []wire.InFlight {
	var out []wire.InFlight
	for _, e := range s.endpoints {
		if e.inFlight > 0 {
			out = append(out, wire.InFlight{Endpoint: e.short(), Requests: uint16(min(e.inFlight, math.MaxUint16))})
		}
	}
	return out
}
