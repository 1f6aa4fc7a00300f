package limits

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// dcLimits is a data centre's share of a workspace's limits. A negative value means no limit.
type dcLimits struct {
	requests float64 // per second
	tokens   float64 // per second
	slots    int
}

const unlimited = -1

// dcLimitsOf returns the share of the data centre at index when the limits are divided evenly
// among n data centres. The remainder of the slots goes to the first data centres, one each.
func dcLimitsOf(l fleet.Limits, index, n int) dcLimits {
	lim := dcLimits{requests: unlimited, tokens: unlimited, slots: unlimited}
	if l.RequestsPerSecond > 0 {
		lim.requests = divide(l.RequestsPerSecond, index, n)
	}
	if l.TokensPerSecond > 0 {
		lim.tokens = divide(l.TokensPerSecond, index, n)
	}
	if l.Concurrent > 0 {
		lim.slots = divideSlots(l.Concurrent, index, n)
	}
	return lim
}

func divide(total float64, index, n int) float64 {
	if index < 0 {
		return 0
	}
	return total / float64(n)
}

func divideSlots(total, index, n int) int {
	if index < 0 {
		return 0
	}
	slots := total / n
	if index < total%n {
		slots++
	}
	return slots
}

// transferable returns how many slots may be transferred to other data centres.
func (lim dcLimits) transferable() int { return max(lim.slots, 0) / 4 }

// dataCentres returns the configured data centres, sorted, and the index of self among
// them, -1 when it is not configured.
func dataCentres(cfg *fleet.Configuration, self fleet.DataCentreID) ([]fleet.DataCentreID, int) {
	ids := make([]fleet.DataCentreID, 0, len(cfg.DataCentres))
	for id := range cfg.DataCentres {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids, slices.Index(ids, self)
}

// schedule holds the limits of a data centre across configuration changes. A lower value
// applies at once and a higher one after a delay, during which the other data centres lower theirs.
type schedule struct {
	current dcLimits
	next    dcLimits
	nextAt  time.Time
}

// set adopts the limits of a new configuration.
func (s *schedule) set(now time.Time, lim dcLimits, delay time.Duration) {
	if s.next == lim {
		return
	}
	s.inForce(now)
	s.current = minLimits(s.current, lim)
	s.next = lim
	s.nextAt = now.Add(delay)
}

// inForce returns the limits that apply at now. It replaces current by next once the delay has
// passed.
func (s *schedule) inForce(now time.Time) dcLimits {
	if s.current != s.next && !now.Before(s.nextAt) {
		s.current = s.next
	}
	return s.current
}

func minLimits(a, b dcLimits) dcLimits {
	return dcLimits{
		requests: minLimit(a.requests, b.requests),
		tokens:   minLimit(a.tokens, b.tokens),
		slots:    minLimit(a.slots, b.slots),
	}
}

func minLimit[T int | float64](a, b T) T {
	if a < 0 {
		return b
	}
	if b < 0 {
		return a
	}
	return min(a, b)
}
