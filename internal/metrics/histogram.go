package metrics

import (
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// histogram counts samples in buckets, which are in ascending order because tally allocates them so.
type histogram struct {
	mu      *sync.Mutex
	buckets []*bucket
}

type bucket struct {
	mu         *sync.Mutex
	upperBound float64
	count      int64
}

// ValueBucket implements tally.CachedHistogram.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	return h.allocateBucket(upper)
}

// DurationBucket implements tally.CachedHistogram.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.allocateBucket(math.Inf(1))
	}
	return h.allocateBucket(upper.Seconds())
}

func (h *histogram) allocateBucket(upperBound float64) *bucket {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.buckets {
		if b.upperBound == upperBound {
			return b
		}
	}
	b := &bucket{mu: h.mu, upperBound: upperBound}
	h.buckets = append(h.buckets, b)
	return b
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count += n
}
