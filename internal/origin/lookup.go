package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// repeatAfter is the time after which the gateways that have not replied are asked once more. It is
	// several round trips between data centres of a region.
	repeatAfter = 30 * time.Millisecond
	// lookupTimeout is the time after which a lookup waits for no more replies.
	lookupTimeout = 120 * time.Millisecond
)

// Reply is what another gateway knows about a stream.
type Reply struct {
	Recorded bool    // it has a record of the stream
	Version  Version // that began the stream, if it is recorded; 0: not certain
}

// Lookup asks other gateways for the origin of one stream. It ends with the first reply of one that has a record. If none has, or
// after lookupTimeout, it is unrecorded, and to be ended by the caller.
type Lookup struct {
	Stream    StreamID
	Services  []uint32         // of the route, as sent to other gateways
	Version   Version          // that began the stream, once Done is closed; 0: not known
	StartedAt boottime.Instant // when other gateways were asked

	number     uint32
	waiting    map[fleet.InstanceID]bool // gateways that have not replied
	repeated   bool
	unrecorded bool
	done       chan struct{}
}

// Unrecorded reports whether no gateway that was asked has a record, as far as known.
func (l *Lookup) Unrecorded() bool { return l.unrecorded }

// Done is closed when the lookup has ended.
func (l *Lookup) Done() <-chan struct{} { return l.done }

// Ended reports whether the lookup has ended.
func (l *Lookup) Ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// End ends a lookup with a version, or with 0 if it is not known. It must be called once.
func (l *Lookup) End(v Version) {
	l.Version = v
	close(l.done)
}

// NewLookup returns a lookup that asks no gateway; the caller ends it.
func NewLookup(id StreamID) *Lookup { return &Lookup{Stream: id, done: make(chan struct{})} }

// Resolved returns a lookup that has ended with a version, or with 0 if it is not known.
func Resolved(id StreamID, v Version) *Lookup {
	l := NewLookup(id)
	l.End(v)
	return l
}

// Lookups holds the lookups in progress of one gateway.
type Lookups struct {
	last    uint32 // number of the last lookup
	pending map[uint32]*Lookup
}

// Start starts a lookup that asks some gateways and returns its number.
func (s *Lookups) Start(now boottime.Instant, id StreamID, ask []fleet.InstanceID) (uint32, *Lookup) {
	l := &Lookup{Stream: id, StartedAt: now, waiting: map[fleet.InstanceID]bool{}, done: make(chan struct{})}
	if len(ask) == 0 {
		l.unrecorded = true
		return 0, l
	}
	if s.pending == nil {
		s.pending = map[uint32]*Lookup{}
	}
	for _, a := range ask {
		l.waiting[a] = true
	}
	s.last++
	l.number = s.last
	s.pending[s.last] = l
	return s.last, l
}

// Receive handles the reply of a gateway to a lookup. It ignores replies of gateways that were not asked.
func (s *Lookups) Receive(number uint32, from fleet.InstanceID, r Reply) {
	l := s.Asked(number, from)
	if l == nil {
		return
	}
	delete(l.waiting, from)
	switch {
	case r.Recorded:
		delete(s.pending, number)
		l.End(r.Version)
	case len(l.waiting) == 0:
		s.giveUp(number, l)
	}
}

// Asked returns the lookup with a number if it waits for the reply of a gateway, or nil.
func (s *Lookups) Asked(number uint32, from fleet.InstanceID) *Lookup {
	if l := s.pending[number]; l != nil && l.waiting[from] {
		return l
	}
	return nil
}

func (s *Lookups) giveUp(number uint32, l *Lookup) {
	delete(s.pending, number)
	l.unrecorded = true
}

// End ends a lookup before its time. Later replies are ignored.
func (s *Lookups) End(l *Lookup, v Version) {
	delete(s.pending, l.number)
	l.End(v)
}

// Take removes a lookup without ending it, which becomes the duty of the caller. It returns nil if the lookup has
// ended, or if the gateway that replies was not asked.
func (s *Lookups) Take(number uint32, from fleet.InstanceID) *Lookup {
	l := s.Asked(number, from)
	if l != nil {
		delete(s.pending, number)
	}
	return l
}

// Tick gives up the lookups that are overdue, and calls repeat for each gateway that is to be asked once more.
func (s *Lookups) Tick(now boottime.Instant, repeat func(number uint32, l *Lookup, to fleet.InstanceID)) {
	for _, number := range slices.Sorted(maps.Keys(s.pending)) {
		l := s.pending[number]
		if now.Sub(l.StartedAt) >= lookupTimeout {
			s.giveUp(number, l)
			continue
		}
		if l.repeated || now.Sub(l.StartedAt) < repeatAfter {
			continue
		}
		l.repeated = true
		for _, to := range slices.Sorted(maps.Keys(l.waiting)) {
			repeat(number, l, to)
		}
	}
}
