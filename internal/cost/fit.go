package cost

import "math"

const (
	// Prior of the prefill time, in seconds: 10 ms and 20 ms per 1,000 tokens, the order of magnitude
	// of current engines. It counts as two observations.
	priorFixed    = 0.010
	priorPerToken = 20e-6
	priorTokens   = 8000 // prompt length of the second of them

	// The observations are kept by uncached tokens in sizeClasses classes, so that the many short
	// prompts do not displace the few long ones, which determine the time per token.
	sizeClasses      = 4
	samplesPerClass  = 64
	smallestClass    = 512 // upper bound of the first class in tokens
	sizeClassGrowth  = 4
	maxSampleAge     = 4096 // in observations of the service: an older one may be of another software
	refitInterval    = 8    // observations between two fits, once eagerFits are known
	eagerFits        = 16
	fitIterations    = 8
	minRelativeError = 0.05 // smaller residuals count as this, which bounds the weight of a sample
)

// sample is one time to the first event at usual speed.
type sample struct {
	tokens, seconds float32
	number          uint32 // position in the sequence of observations; 0: empty
}

// readFit is the line "fixed + perToken * uncached tokens" for the time to the first event.
//
// It minimises the sum of absolute relative errors over recent samples, by iteratively reweighted
// least squares. At each prompt length this is the median of the times, so that the fit holds while
// less than half of the samples of that length are wrong in the same direction. A least squares fit,
// also with a forgetting factor, is moved by every wrong assumption about the cache, because such a
// sample is wrong by the factor of the prefix to the rest.
type readFit struct {
	fixed, perToken float64
	samples         [sizeClasses][samplesPerClass]sample
	next            [sizeClasses]uint8
	count           uint32
}

func newReadFit() readFit { return readFit{fixed: priorFixed, perToken: priorPerToken} }

// at returns the estimated time in seconds.
func (f *readFit) at(tokens int) float64 { return f.fixed + f.perToken*float64(tokens) }

func (f *readFit) add(tokens int, seconds float64) {
	class := 0
	for bound := smallestClass; class < sizeClasses-1 && tokens >= bound; bound *= sizeClassGrowth {
		class++
	}
	f.count++
	if f.count == 0 {
		f.count = 1 // 0 marks an empty sample
	}
	i := f.next[class]
	f.samples[class][i] = sample{tokens: float32(tokens), seconds: float32(seconds), number: f.count}
	f.next[class] = (i + 1) % samplesPerClass
	if f.count <= eagerFits || f.count%refitInterval == 0 {
		f.refit()
	}
}

func (f *readFit) refit() {
	for range fitIterations {
		var s lineSums
		s.add(0, priorFixed, f.at(0))
		s.add(priorTokens, priorFixed+priorTokens*priorPerToken, f.at(priorTokens))
		for c := range f.samples {
			for i := range f.samples[c] {
				p := &f.samples[c][i]
				if p.number != 0 && f.count-p.number < maxSampleAge {
					x := float64(p.tokens)
					s.add(x, float64(p.seconds), f.fixed+f.perToken*x)
				}
			}
		}
		fixed, perToken := s.solve()
		if math.IsNaN(fixed) || math.IsNaN(perToken) || fixed+perToken <= 0 {
			return
		}
		f.fixed, f.perToken = fixed, perToken
	}
}

// lineSums are the sums of a weighted least squares fit of a line.
type lineSums struct{ w, x, xx, y, xy float64 }

// add adds a point with the weight that turns least squares into least absolute relative errors, given
// the estimate of the previous iteration.
func (s *lineSums) add(x, y, estimate float64) {
	estimate = max(estimate, 1e-6)
	w := 1 / (estimate * max(math.Abs(y-estimate), minRelativeError*estimate))
	s.w += w
	s.x += w * x
	s.xx += w * x * x
	s.y += w * y
	s.xy += w * x * y
}

// solve returns the best line whose intercept and slope are not negative.
func (s *lineSums) solve() (intercept, slope float64) {
	det := s.w*s.xx - s.x*s.x
	if det <= 1e-9*s.w*s.xx {
		return s.y / s.w, 0
	}
	slope = (s.w*s.xy - s.x*s.y) / det
	intercept = (s.y - slope*s.x) / s.w
	switch {
	case slope < 0:
		return s.y / s.w, 0
	case intercept < 0:
		return 0, s.xy / s.xx
	}
	return intercept, slope
}
