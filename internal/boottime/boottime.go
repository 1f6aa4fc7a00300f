// Package boottime reads the boot-time clock, which also advances while the machine is suspended.
//
// Go's monotonic clock stops during a suspension, and the wall clock may jump. The staleness of a
// process's data, and every bound on it, is therefore measured with this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock: nanoseconds since the machine booted. The zero Instant is
// before all readings.
type Instant int64

// Now returns the current reading.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant t+d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }
