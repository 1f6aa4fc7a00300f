package bench

import "time"

// Limits that follow from the targets in docs/DESIGN.md. The tests assert them, except for minMeanLoad, which configures
// a measurement, and maxAttemptsPerRequest, which no test asserts.
const (
	maxLoadMultiple          = 1.5                     // load of an engine as a multiple of the mean load of its pool, rounded up to whole requests
	minMeanLoad              = 4.0                     // pools with a lower mean load are left out of Measures.MaxSkew
	maxControlBytesPerSecond = 5000.0                  // sent by one router
	maxOutOfServiceDelay     = 5 * time.Second         // from taking a data centre out of service until it receives no new requests
	maxConfigDelay           = 5 * time.Second         // from publishing a configuration until all routers have adopted it
	maxAttemptsPerRequest    = 1.1                     // mean over the fleet
	maxP95StartDelay         = 1500 * time.Millisecond // 95th percentile of the time from a caller's request to its start at an endpoint
)
