// Package boottime reads a clock that goes on while the machine is suspended.
//
// Go's monotonic clock stops during a suspension, and the time of day may jump. The age
// of what a process believes, and every limit on it, is measured on this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on the clock: nanoseconds since the machine started. Zero is
// before every reading.
type Instant int64

// Now reads the clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before tells whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }
