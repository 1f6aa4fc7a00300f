// Package membership is a failure detector: it decides which of the listed instances are
// alive.
//
// The candidates come from the platform's instance list. A listed instance counts as alive
// until this process has direct evidence of its failure: heartbeats and requests that stayed
// unanswered for long enough. Suspicions of other instances only make this process probe
// earlier. An instance that is gone from the list and one that is silent are different
// states: silence does not prove that a process stopped.
//
// The package is deterministic: it has no I/O, clock or goroutines.
package membership
