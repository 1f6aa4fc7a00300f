package control

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// lostEvacuationTimeout is how long an evacuation goes on that the store has lost by its return with an older copy, unless the operator
// publishes it again. It ends at last because the operator may have ended it before, in a write that is lost too.
const lostEvacuationTimeout = time.Minute

// tickEvacuations ends the evacuations that the store has lost and the operator has not published again.
func (s *State) tickEvacuations(now boottime.Instant) {
	for dc, since := range s.lostEvacuations {
		if now.Sub(since) >= lostEvacuationTimeout {
			s.adoptEvacuation(now, published.Evacuation{DataCentre: dc, Ended: true}, false)
		}
	}
}

// adoptEvacuation begins or ends an evacuation. One that the store has lost goes on until tickEvacuations.
func (s *State) adoptEvacuation(now boottime.Instant, e published.Evacuation, lost bool) {
	if lost && s.evacuated[e.DataCentre] {
		s.lostEvacuations[e.DataCentre] = now
		s.log(event.EvacuationLost, "data_centre", e.DataCentre, "revision", s.mirror.Revision())
		return
	}
	delete(s.lostEvacuations, e.DataCentre)
	if s.evacuated[e.DataCentre] == !e.Ended {
		return
	}
	s.evacuated[e.DataCentre] = !e.Ended
	s.log(event.DataCentreState, "data_centre", e.DataCentre, "out", !e.Ended, "revision", s.mirror.Revision())
}

// dumpEvacuations returns the evacuated data centres, and those of them whose evacuation the store has lost.
func (s *State) dumpEvacuations() (evacuated, lost []fleet.DataCentreID) {
	for dc, out := range s.evacuated {
		if out {
			evacuated = append(evacuated, dc)
		}
	}
	for dc := range s.lostEvacuations {
		lost = append(lost, dc)
	}
	slices.Sort(evacuated)
	slices.Sort(lost)
	return evacuated, lost
}
