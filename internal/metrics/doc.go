// Package metrics collects the counters, gauges, timers and histograms of a tally
// scope and serves them in the Prometheus text format. The number of series is bounded.
package metrics
