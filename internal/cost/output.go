package cost

import "math"

// The bases relative to which the number of output events is learned.
const (
	byHint    = iota // length hint
	byMaximum        // maximum output tokens
	byRoute          // none: the number of events itself
	outputBases
)

// outputPrior is the prior for each base: the logarithm of the events per unit of the base, and the
// mean absolute error of that logarithm. An event holds about 8 tokens, and an answer half of the
// maximum or 256 tokens. Hints are right in the median, so they get the smallest error.
var outputPrior = [outputBases]struct{ mean, deviation float64 }{
	byHint:    {math.Log(1.0 / 8), 0.7},
	byMaximum: {math.Log(0.5 / 8), 1.0},
	byRoute:   {math.Log(256.0 / 8), 1.2},
}

// outputModel learns the number of events of a response relative to each base.
type outputModel [outputBases]robustMean

// logBases returns the logarithms of the bases, and which of them the request has.
func logBases(r *Request) (bases [outputBases]float64, known [outputBases]bool) {
	known[byRoute] = true
	if r.LengthHint > 0 {
		bases[byHint], known[byHint] = math.Log(float64(r.LengthHint)), true
	}
	if r.MaxOutputTokens > 0 {
		bases[byMaximum], known[byMaximum] = math.Log(float64(r.MaxOutputTokens)), true
	}
	return bases, known
}

func (o *outputModel) add(r *Request, events int) {
	bases, known := logBases(r)
	x := math.Log(float64(events))
	for i := range o {
		if known[i] {
			o[i].add(x - bases[i])
		}
	}
}

// predictEvents returns the estimated number of events: the mean of the predictions by each base,
// weighted by the inverse of their squared errors. Route may be nil.
func predictEvents(r *Request, service, route *outputModel) float64 {
	bases, known := logBases(r)
	sum, weights := 0.0, 0.0
	for i := range bases {
		if !known[i] {
			continue
		}
		mean, deviation := service[i].refine(outputPrior[i].mean, outputPrior[i].deviation)
		if route != nil {
			mean, deviation = route[i].refine(mean, deviation)
		}
		w := 1 / (deviation * deviation)
		sum += w * (bases[i] + mean)
		weights += w
	}
	events := math.Exp(sum / weights)
	if r.MaxOutputTokens > 0 {
		events = min(events, float64(r.MaxOutputTokens)) // an event holds at least one token
	}
	return max(events, 1)
}
