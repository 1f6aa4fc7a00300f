package retry

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// windowSlots is the number of time slots of a Window. A slot expires as a whole, so that the
// counted interval is the window's length plus up to one slot.
const windowSlots = 20

// Window is a sliding-window retry budget of one router for one service: in any interval of the
// window's length, the number of retries is at most a ratio of the requests in it and in the
// slot before it, plus a constant. If the constant is divided among the routers of a fleet, the
// bound with the undivided constant holds for the fleet.
type Window struct {
	length time.Duration
	slots  [windowSlots + 1]slot
}

type slot struct {
	index    int64 // number of the slot, counted from the clock's zero
	requests int
	retries  int
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// CountRequest counts the first attempt of a request.
func (w *Window) CountRequest(now boottime.Instant) { w.slot(now).requests++ }

// AllowRetry counts a retry and returns true if the budget of ratio times the requests plus extra
// allows it.
func (w *Window) AllowRetry(now boottime.Instant, ratio, extra float64) bool {
	requests, retries := w.Counts(now)
	if float64(retries+1) > ratio*float64(requests)+extra {
		return false
	}
	w.slot(now).retries++
	return true
}

// ReturnRetry takes back a retry that AllowRetry counted at a time, because it was not made.
func (w *Window) ReturnRetry(countedAt boottime.Instant) {
	n := w.slotIndex(countedAt)
	if s := &w.slots[n%int64(len(w.slots))]; s.index == n && s.retries > 0 {
		s.retries--
	}
}

// Counts returns the requests and retries in the window up to now.
func (w *Window) Counts(now boottime.Instant) (requests, retries int) {
	oldest := w.slotIndex(now) - windowSlots
	for i := range w.slots {
		if s := &w.slots[i]; s.index >= oldest {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

func (w *Window) slotIndex(now boottime.Instant) int64 {
	return int64(now) / int64(w.length/windowSlots)
}

func (w *Window) slot(now boottime.Instant) *slot {
	n := w.slotIndex(now)
	s := &w.slots[n%int64(len(w.slots))]
	if s.index != n {
		*s = slot{index: n}
	}
	return s
}
