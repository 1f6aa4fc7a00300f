package callerconn

import "time"

// drainInterval is the time between two sweeps of a planned stop.
const drainInterval = 50 * time.Millisecond

// Drain stops accepting connections and waits until none is open, but not beyond end. Connections without a request
// are closed as what was announced on them passes, and all of them from idleEnd on. limit is the published idle
// timeout. Drain returns how many connections are still open.
func (l *Listener) Drain(limit time.Duration, idleEnd, end time.Time) int {
	_ = l.Close() // fails only if it is closed already
	for !l.idle() && time.Now().Before(end) {
		l.Sweep(drainReason(idleEnd), limit)
		time.Sleep(min(drainInterval, time.Until(end)))
	}
	return l.Len()
}

func drainReason(idleEnd time.Time) Reason {
	if time.Now().Before(idleEnd) {
		return PlannedStop
	}
	return GraceEnd
}
