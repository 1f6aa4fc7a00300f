package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	timerUnit                 = time.Microsecond
	maxTimerValue             = 10 * time.Minute // longer durations are recorded as this value in quantiles
	quantileSignificantDigits = 2
	flushesPerWindow          = int(time.Minute / reportInterval) // a window is one minute
)

var quantiles = []float64{0.5, 0.95, 0.99}

// timer keeps the count and sum of all recorded durations, and their distribution in the
// current and the previous window.
type timer struct {
	mu       *sync.Mutex
	count    int64
	sum      time.Duration
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newTimer(mu *sync.Mutex) *timer {
	return &timer{mu: mu, current: newWindow(), previous: newWindow()}
}

func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTimerValue/timerUnit), quantileSignificantDigits)
}

func (t *timer) record(d time.Duration) {
	t.count++
	t.sum += d
	units := int64(min(max(d, 0), maxTimerValue) / timerUnit)
	if err := t.current.RecordValue(units); err != nil {
		panic(err) // unreachable: the value is within the bounds of the histogram
	}
}

func (t *timer) rotateWindows() {
	t.current, t.previous = t.previous, t.current
	t.current.Reset()
}

// quantile returns a quantile of the current and the previous window together.
func (t *timer) quantile(q float64) time.Duration {
	merged := t.previous.Clone()
	merged.Merge(t.current)
	return time.Duration(merged.ValueAtQuantile(q*100)) * timerUnit
}
