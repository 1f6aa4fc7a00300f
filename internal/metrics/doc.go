// Package metrics collects the counters, gauges, timers and histograms of a tally
// scope and serves them in the Prometheus text format.
//
// Timers are served as summaries: the quantiles come from HDR histograms of the current and the
// previous minute, with two significant digits; count and sum cover the time since the start.
//
// The registry holds at most maxSeries series. Further ones are dropped, and a gauge counts the
// dropped allocations.
package metrics
