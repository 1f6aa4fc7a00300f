package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	errNoProgress = errors.New("upstream: no progress")
	errDeadline   = errors.New("upstream: deadline passed")

	// ErrCancelled is the context cause for an attempt that the core cancels.
	ErrCancelled = errors.New("upstream: attempt cancelled")
)

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	timer  *time.Timer
	period time.Duration
}

func newWatchdog(period time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{period: period}
	w.timer = time.AfterFunc(period, func() { cancel(errNoProgress) })
	return w
}

// restart restarts the timer with a new period.
func (w *watchdog) restart(period time.Duration) {
	w.period = period
	w.timer.Reset(period)
}

// pause stops the timer, so that time spent waiting for the caller does not count.
func (w *watchdog) pause() { w.timer.Stop() }

func (w *watchdog) stop() { w.timer.Stop() }
