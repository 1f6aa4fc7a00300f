package cost

import (
	"math"
	"sort"
)

const (
	// averageWindow is the number of observations over which a robustMean adapts.
	averageWindow = 64
	// clipDeviations is the number of mean deviations beyond which an observation moves a robustMean
	// no further.
	clipDeviations = 2
	minDeviation   = 0.02
	maxDeviation   = 3 // logarithmic: a factor of 20
	// priorWeight is the number of observations that the prior, and the service's value for a route,
	// are worth.
	priorWeight = 4
)

// robustMean is a moving average of logarithms. Outliers are clipped at a multiple of the mean
// absolute deviation, which a lasting change widens, so that the mean follows it. The zero value has
// no observations.
type robustMean struct {
	mean, deviation float64
	n               int32
}

func (a *robustMean) add(x float64) {
	if a.n == 0 {
		a.mean, a.deviation = x, 1
	}
	if a.n < math.MaxInt32 {
		a.n++ // beyond averageWindow, so that the weight of the prior vanishes
	}
	gain := 1 / float64(min(a.n, averageWindow))
	d := x - a.mean
	limit := clipDeviations * a.deviation
	if a.n <= learnedAfter {
		limit = math.MaxFloat64 // a wrong first observation must not make the right ones outliers
	}
	a.mean += gain * min(max(d, -limit), limit)
	// The initial deviation counts as one observation.
	a.deviation += (min(math.Abs(d), maxDeviation) - a.deviation) / float64(min(a.n, averageWindow)+1)
	a.deviation = max(a.deviation, minDeviation)
}

// refine moves a mean and deviation from a less specific source towards a's, by a's observations.
func (a *robustMean) refine(mean, deviation float64) (float64, float64) {
	w := float64(a.n) / (float64(a.n) + priorWeight)
	return mean + w*(a.mean-mean), deviation + w*(a.deviation-deviation)
}

// decayedMean is a moving arithmetic mean. An observation counts for at most holdClip times the mean
// once several are known.
type decayedMean struct {
	mean float64
	n    int32
}

const (
	holdWindow = 256
	// holdClip bounds the effect of a request that hangs. Long outputs hold a slot for several times
	// the mean and must count in full.
	holdClip = 10
)

func (a *decayedMean) add(x float64) {
	if a.n < holdWindow {
		a.n++
	}
	if a.n > learnedAfter {
		x = min(x, holdClip*a.mean)
	}
	a.mean += (x - a.mean) / float64(a.n)
}

const (
	// Bucket i of an errorHistogram ends at errorFirst * errorGrowth^i: 1% to about 1,000%.
	errorBuckets = 32
	errorFirst   = 0.01
	errorGrowth  = 1.25
	// errorWindow is the number of observations after which all counts are halved.
	errorWindow = 1024
)

// errorHistogram counts relative errors, recent ones with more weight.
type errorHistogram struct {
	counts [errorBuckets]float32
	total  float32
}

var errorBounds = func() (b [errorBuckets]float64) {
	for i := range b {
		b[i] = errorFirst * math.Pow(errorGrowth, float64(i))
	}
	return b
}()

func (h *errorHistogram) add(relative float64) {
	if h.total >= errorWindow {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
	i := sort.SearchFloat64s(errorBounds[:], relative)
	h.counts[min(i, errorBuckets-1)]++
	h.total++
}

// quantile interpolates within a bucket. It returns 0 without observations.
func (h *errorHistogram) quantile(q float64) float64 {
	rest, lower := q*float64(h.total), 0.0
	for i, c := range h.counts {
		if c > 0 && rest <= float64(c) {
			return lower + (errorBounds[i]-lower)*rest/float64(c)
		}
		rest -= float64(c)
		lower = errorBounds[i]
	}
	return lower
}
