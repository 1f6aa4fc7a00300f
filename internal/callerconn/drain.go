package callerconn

import "time"

// drainInterval is the time between two sweeps of a planned stop.
const drainInterval = 50 * time.Millisecond

// Drain stops accepting connections and waits until none is open, but not beyond end. Connections without a request
// are closed as what was announced on them passes, and all of them from idleEnd on. limit is the published idle
// timeout. Drain also waits for connections that linger, but returns only how many others are still open: those that linger have no
// request that could be cut off.
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
