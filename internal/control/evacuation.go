package control

import (
	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// tickEvacuations ends the evacuations that the operator has not published again after an older copy lacked them.
func (s *State) tickEvacuations(now boottime.Instant) {
	if s.eraIsNew(now) {
		return
	}
	for dc := range s.unconfirmedEvacuations {
		delete(s.unconfirmedEvacuations, dc)
		s.adoptEvacuation(now, published.Evacuation{DataCentre: dc, Ended: true})
	}
}

// adoptEvacuation begins or ends an evacuation. One that an older copy of the store lacks goes on until tickEvacuations.
func (s *State) adoptEvacuation(now boottime.Instant, e published.Evacuation) {
	if e.Ended && s.eraIsNew(now) {
		s.unconfirmedEvacuations[e.DataCentre] = true
		return
	}
	delete(s.unconfirmedEvacuations, e.DataCentre)
	if s.evacuated[e.DataCentre] == !e.Ended {
		return
	}
	s.evacuated[e.DataCentre] = !e.Ended
	s.log(event.DataCentreState, "data_centre", e.DataCentre, "out", !e.Ended, "revision", s.mirror.Revision())
}
