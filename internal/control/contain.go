package control

import (
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fault"
)

// contain runs a part of an operation. A panic of it is logged, and keeps no other part from being done.
func (s *State) contain(place string, f func(), fields ...any) {
	if p := fault.Catch(f); p != nil {
		s.log(event.PanicContained, append(p.Fields(place), fields...)...)
	}
}
